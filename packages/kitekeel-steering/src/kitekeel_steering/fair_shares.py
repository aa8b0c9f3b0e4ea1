"""Divides the room of a service among priority classes and, within a class, among tenants.

Load: 2 to 80 tenants and several priorities ask for 1.1 to 10 times what the back ends answer in
time. Callers of an urgent class, and tenants that ask for little, must not notice the others.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping

from kitekeel_steering.ordered_allocation import Claim, allocate_in_order
from kitekeel_steering.service_demand import DemandKey

# No class is served less than a quarter of the mean; the difference is a margin for late figures.
_GUARANTEED_SHARE_OF_MEAN = 0.3


_ONE_TENANT_EACH: Mapping[DemandKey, int] = {}


def fair_shares(
    room: float,
    asked: Mapping[DemandKey, float],
    tenants: Mapping[DemandKey, int] = _ONE_TENANT_EACH,
) -> dict[DemandKey, float]:
    """Return how many requests a second each key may have admitted.

    Each class is guaranteed a part of the mean served share. The rest goes to the classes in the
    order of their priority. What a class gets is divided by max-min fairness: nobody gets more
    than it asks for, and what a tenant does not ask for goes to the others.

    Args:
        room: requests a second that may be admitted, above 0.
        asked: requests a second by key.
        tenants: number of tenants that a key counts together, if it is not 1.

    Example:
        >>> one, other = DemandKey(1, "one"), DemandKey(1, "other")
        >>> fair_shares(20.0, {one: 5.0, other: 40.0}) == {one: 5.0, other: 15.0}
        True
    """
    classes: dict[int, dict[DemandKey, float]] = defaultdict(dict)
    for key, rate in asked.items():
        classes[key.priority][key] = rate
    ordered = [classes[priority] for priority in sorted(classes)]
    class_shares = _class_shares(room, [sum(each.values()) for each in ordered])
    shares: dict[DemandKey, float] = {}
    for share, each_asked in zip(class_shares, ordered, strict=True):
        shares.update(max_min_shares(share, each_asked, tenants))
    return shares


def max_min_shares(
    room: float,
    asked: Mapping[DemandKey, float],
    tenants: Mapping[DemandKey, int] = _ONE_TENANT_EACH,
) -> dict[DemandKey, float]:
    """Return the max-min fair division: the smallest shares are as large as possible.

    A key that counts several tenants together has the parts of all of them.
    """
    counts = {key: max(1, tenants.get(key, 1)) for key in asked}
    shares: dict[DemandKey, float] = {}
    rest = room
    remaining = sum(counts.values())
    for key in sorted(asked, key=lambda key: (asked[key] / counts[key], key)):
        equal_part = rest * (counts[key] / remaining)
        shares[key] = min(asked[key], max(0.0, equal_part))
        rest -= shares[key]
        remaining -= counts[key]
    return shares


def _class_shares(room: float, asked: list[float]) -> list[float]:
    """Return the share of each class, the most urgent first."""
    mean_served = room / max(sum(asked), room)
    claims = [Claim(_GUARANTEED_SHARE_OF_MEAN * mean_served * each, each) for each in asked]
    return allocate_in_order(room, claims)
