"""Slow start: gradually increases the share of keys of back ends that have just become usable.

This prevents two abrupt changes. When back ends are added in one region, the keys that they take
over would leave all other regions at once: 0.18 of a region's requests from one window of two
seconds to the next when six back ends are added to make 24 (tests/test_region_moves.py). Also, a
back end with an empty cache would receive requests for all of its keys at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from kitekeel_steering.placement_policy import Candidate

# Slow enough that adding cold back ends moves less than 0.15 of a region's requests from one window
# of two seconds to the next.
RAMP_SECONDS = 4.0
# Enough keys to make use of the request rate allowed for a cold back end.
_FIRST_FACTOR = 0.3
_STEPS = 7


class SlowStart:
    """The slow-start weights of the back ends for one kind of request."""

    def __init__(self) -> None:
        self._since: dict[str, float] | None = None
        self._cold: frozenset[str] = frozenset()
        self._factors: dict[str, float] = {}
        self._next_step_at = float("inf")

    def is_due(self, now: float) -> bool:
        """Return whether a weight is due to change without any change of the back ends."""
        return now >= self._next_step_at

    def factors(self) -> Mapping[str, float]:
        """Return the weights, 0 to 1, of the back ends whose slots do not count in full.

        The same object is returned until one of the weights changes.
        """
        return self._factors

    def observe(self, members: Sequence[Candidate], now: float) -> None:
        """Record which back ends may be used, and which of them are cold.

        Warm back ends in the first call count in full, as they take over no keys that are known to
        be served elsewhere.
        """
        first_since = float("-inf") if self._since is None else now
        known = self._since or {}
        since: dict[str, float] = {}
        for each in members:
            name = each.record.instance
            has_just_warmed = name in self._cold
            restarts_ramp = each.is_cold or has_just_warmed
            since[name] = now if restarts_ramp else known.get(name, first_since)
        self._since = since
        self._cold = frozenset(each.record.instance for each in members if each.is_cold)
        self.step(now)

    def step(self, now: float) -> None:
        """Update the weights to the given time."""
        ramp_starts = self._since or {}
        ramping = {
            name: at
            for name, at in ramp_starts.items()
            if name in self._cold or now - at < RAMP_SECONDS
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
