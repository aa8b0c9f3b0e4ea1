"""Lets back ends that have just become usable take their part of the keys little by little.

Guards against two steps at one moment: where back ends are added in one region, the keys that they
take over would leave all other regions at once (0.18 of a region's requests from one window of two
seconds to the next where six of 24 are added, tests/test_region_moves.py), and a back end whose
cache is empty would be asked for all of its keys at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from kitekeel_steering.placement_policy import Candidate

# Slow enough that back ends that are added cold move a region's requests by less than a shift of
# 0.15 from one window of two seconds to the next.
RAMP_SECONDS = 4.0
# Enough keys to use the rate at which a cold back end may be warmed.
_FIRST_FACTOR = 0.3
_STEPS = 7


class SlowStart:
    """The weights of the back ends of one kind of request."""

    def __init__(self) -> None:
        self._since: dict[str, float] | None = None
        self._cold: frozenset[str] = frozenset()
        self._factors: dict[str, float] = {}
        self._next_step_at = float("inf")

    def is_due(self, now: float) -> bool:
        """Tell whether a weight changes although the back ends stay the same."""
        return now >= self._next_step_at

    def factors(self) -> Mapping[str, float]:
        """Return by which part of its slots a back end counts, for those that do not count whole.

        The same object is returned until one of them changes.
        """
        return self._factors

    def observe(self, members: Sequence[Candidate], now: float) -> None:
        """Follow which back ends may be used, and which of them are cold.

        Those of the first call count whole: nothing is known of keys that they would take over.
        """
        first_since = float("-inf") if self._since is None else now
        known = self._since or {}
        since: dict[str, float] = {}
        for each in members:
            name = each.record.instance
            has_just_warmed = name in self._cold
            is_ramping_anew = each.is_cold or has_just_warmed
            since[name] = now if is_ramping_anew else known.get(name, first_since)
        self._since = since
        self._cold = frozenset(each.record.instance for each in members if each.is_cold)
        self.step(now)

    def step(self, now: float) -> None:
        """Follow the time."""
        begun = self._since or {}
        ramping = {
            name: at for name, at in begun.items() if name in self._cold or now - at < RAMP_SECONDS
        }
        ages = {name: 0.0 if name in self._cold else now - at for name, at in ramping.items()}
        factors = {name: _factor(age) for name, age in ages.items()}
        step_seconds = RAMP_SECONDS / _STEPS
        self._next_step_at = now + step_seconds if ramping else float("inf")
        if factors != self._factors:
            self._factors = factors


def _factor(age_seconds: float) -> float:
    steps = math.floor(age_seconds / RAMP_SECONDS * _STEPS)
    return _FIRST_FACTOR + (1.0 - _FIRST_FACTOR) * steps / _STEPS
