"""A share that follows its target at a bounded rate.

The inputs that determine how keys are divided among regions change abruptly: counts of daemons and
slots, and observations compared with thresholds. A plan that applied each change immediately would
move all affected keys at once: 0.28 to 0.63 of a region's requests from one window of two seconds
to the next (synthetic traffic of one region, tests/test_region_moves.py). Callers expect at most
0.15 while nothing fails.
"""

from __future__ import annotations

import math

# With this rate, two consecutive windows of two seconds differ by 0.08 on average. The rest of the
# bound of 0.15 is for keys that are requested more often than others.
MAX_CHANGE_PER_SECOND = 0.04
# Share of the keys that change region in one step: one key in a hundred every 0.25 s.
_STEP_SIZE = 0.01
# Maximum time without a request that is credited to the next steps. Otherwise all keys of an idle
# service could move at once with its next request.
_MAX_CREDITED_SECONDS = 1.0


class GradualShare:
    """A share of keys, 0 to 1.

    Args:
        target: the initial value, which applies immediately as no request has been placed yet.
        now: monotonic time in seconds.
    """

    def __init__(self, target: float, now: float) -> None:
        self._value = target
        self._changed_at = now

    def value(self) -> float:
        """Return the share as of the last call of :meth:`follow` or :meth:`lower_to`."""
        return self._value

    def follow(self, target: float, now: float) -> None:
        """Move toward the target in whole steps, as far as the time since the last step allows."""
        missing = target - self._value
        if missing == 0.0:
            self._changed_at = now
            return
        self._changed_at = max(self._changed_at, now - _MAX_CREDITED_SECONDS)
        allowed = MAX_CHANGE_PER_SECOND * (now - self._changed_at)
        if allowed >= abs(missing):
            self._value = target
            self._changed_at = now
            return
        steps = math.floor(allowed / _STEP_SIZE)
        if steps > 0:
            self._value += math.copysign(steps * _STEP_SIZE, missing)
            self._changed_at += steps * _STEP_SIZE / MAX_CHANGE_PER_SECOND

    def lower_to(self, most: float, now: float) -> None:
        """Reduce the value immediately if it is above a maximum."""
        if self._value > most:
            self._value = most
            self._changed_at = now
