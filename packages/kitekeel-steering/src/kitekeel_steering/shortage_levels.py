"""Admission levels: the part of each key's requests that is admitted during a shortage.

Load: shares that change each half second, from figures that are up to a second old. The levels
depend on nothing but the figures, so all daemons that share them come to the same levels.
"""

from __future__ import annotations

from collections.abc import Mapping

from kitekeel_steering.service_demand import DemandKey, KeyDemand, ServiceDemand

# Bounds of admitted requests relative to those expected from the level. More are admitted than
# expected if callers return by appointment; beyond the bounds the figures are noise.
_MIN_ADMITTED_RATIO = 0.5
_MAX_ADMITTED_RATIO = 4.0
# Requests a second of a key that count as much as the ratio of all keys.
_COMMON_RATIO_REQUESTS = 1.0
_MIN_LEVEL = 0.001


def admission_levels(
    demand: ServiceDemand, shares: Mapping[DemandKey, float]
) -> dict[DemandKey, float]:
    """Return the level of each key, from 0.001 to 1; a key that asks for less than its share has 1.

    Args:
        demand: the figures of all daemons.
        shares: requests a second of each key that may be admitted.
    """
    common = _common_ratio([each for each in demand.keys if shares[each.key] < each.asked])
    return {
        each.key: _level(shares[each.key], each.asked, _admitted_ratio(each, common))
        for each in demand.keys
    }


def _common_ratio(restricted: list[KeyDemand]) -> float:
    """Return the requests admitted of all keys relative to those expected from their levels."""
    expected = sum(each.level * each.asked for each in restricted)
    return sum(each.admitted for each in restricted) / expected if expected > 0.0 else 1.0


def _admitted_ratio(demand: KeyDemand, common: float) -> float:
    """Return the requests admitted of a key relative to those expected from its level.

    Corrections of a level up to 1 raise low levels more than high ones. The ratio of a key with few
    requests is nearly the common one.
    """
    admitted = demand.admitted + _COMMON_RATIO_REQUESTS * common
    expected = demand.level * demand.asked + _COMMON_RATIO_REQUESTS
    return min(_MAX_ADMITTED_RATIO, max(_MIN_ADMITTED_RATIO, admitted / expected))


def _level(share: float, asked: float, ratio: float) -> float:
    """Return the level that admits a share of the requests."""
    if share >= asked:
        return 1.0
    return min(1.0, max(_MIN_LEVEL, share / asked / ratio))
