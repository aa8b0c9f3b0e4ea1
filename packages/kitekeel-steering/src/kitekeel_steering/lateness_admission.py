"""Decides how many requests a daemon takes while its event loop runs late.

Load: a machine that is too slow for the requests that arrive there, or whose processor others use.
Each request then waits for the loop several times, and all are answered late or not at all. A
refusal costs a tenth of a request's work or less, so a daemon that refuses some at once answers the
rest in time.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from kitekeel_steering.fair_shares import fair_shares
from kitekeel_steering.service_demand import DemandKey

# A loop that is late by this share of the objective has lost a third of it within three steps.
_LATE_SHARE = 0.1
# A request waits for the loop at least when it is read, when it is sent and when it is answered.
_STEPS_PER_REQUEST = 3
# Lateness is averaged over about a second. Shorter periods would react to the same one repeatedly.
_PERIOD_SECONDS = 0.5
# Changes of the level in a period. Less lateness than in the period before shows that an earlier
# fall has its effect.
_MAX_FALL = 0.6
_FALLING_SHARE = 0.95
_RISE = 1.1
_MIN_LEVEL = 0.05
# The level has risen from the lowest one to 1 after fewer periods.
_MAX_PERIODS = 40.0


class LatenessAdmission:
    """The part of the requests that is admitted; times are monotonic seconds.

    Attributes:
        level: the part of all requests, from 0.05 to 1.
    """

    def __init__(self) -> None:
        self.level = 1.0
        self._updated_at = float("-inf")
        self._lateness_seconds = 0.0
        self._asked: dict[int, int] = {}
        self._levels: dict[int, float] = {}

    def is_due(self, now: float) -> bool:
        """Return whether the level should be updated."""
        return now - self._updated_at >= _PERIOD_SECONDS

    def update(self, lateness_seconds: float, objective_seconds: float, now: float) -> None:
        """Change the level by how late the loop is.

        It falls the more the later the loop is, by at most two fifths in a period, and rises by a
        tenth in each period in which the loop was on time.

        Args:
            lateness_seconds: lasting lateness of the event loop.
            objective_seconds: shortest objective of the configuration; 0 if there is none.
            now: monotonic time.
        """
        bound = _LATE_SHARE * objective_seconds
        if bound <= 0.0 or lateness_seconds <= bound:
            self.level = min(1.0, self.level * _RISE ** self._periods_until(now))
        elif lateness_seconds >= _FALLING_SHARE * self._lateness_seconds:
            fall = max(_MAX_FALL, math.sqrt(bound / lateness_seconds))
            self.level = max(_MIN_LEVEL, self.level * fall)
        self._lateness_seconds = lateness_seconds
        self._updated_at = now
        self._levels = _levels_by_priority(self.level, self._asked)
        self._asked = {}

    def _periods_until(self, now: float) -> float:
        """Return the periods since the last update, at least 1; there is none without requests."""
        return max(1.0, min(_MAX_PERIODS, (now - self._updated_at) / _PERIOD_SECONDS))

    def level_of(self, priority: int) -> float:
        """Return the part of the requests of a priority that is admitted."""
        if self.level >= 1.0:
            return 1.0
        known = self._levels.get(priority)
        return self._uncounted_level(priority) if known is None else known

    def _uncounted_level(self, priority: int) -> float:
        """Return the level of a priority of which no request arrived in the last period.

        A few requests leave the others nearly all of the room, so those before less urgent ones
        are admitted.
        """
        more_urgent = [level for each, level in self._levels.items() if each < priority]
        precedes_others = any(each > priority for each in self._levels)
        return min([1.0 if precedes_others else self.level, *more_urgent])

    def note_asked(self, priority: int) -> None:
        """Count a request that arrived while the level is below 1."""
        self._asked[priority] = self._asked.get(priority, 0) + 1


def is_out_of_reach(remaining_seconds: float, lateness_seconds: float) -> bool:
    """Return whether a request's deadline passes while it waits for the event loop."""
    return remaining_seconds < _STEPS_PER_REQUEST * lateness_seconds


def _levels_by_priority(level: float, asked: Mapping[int, int]) -> dict[int, float]:
    """Return the level of each priority, so that the most urgent requests are refused last."""
    rates = {DemandKey(priority): float(count) for priority, count in asked.items()}
    shares = fair_shares(max(1.0, level * sum(rates.values())), rates)
    return {key.priority: min(1.0, share / rates[key]) for key, share in shares.items()}
