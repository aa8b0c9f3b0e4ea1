"""A share that follows its target at a bounded rate.

What decides how keys are divided among regions moves by steps: counts of daemons and slots,
observations held against thresholds. A plan that took each step at once would move every key
concerned at one moment: 0.28 to 0.63 of a region's requests from one window of two seconds to the
next (made-up traffic of one region, tests/test_region_moves.py), where callers expect 0.15 at most
while nothing fails.
"""

from __future__ import annotations

import math

# Two windows of two seconds that follow each other then differ by 0.08 in the mean; the rest of the
# bound of 0.15 is for keys that are asked for more often than others.
MOST_CHANGE_A_SECOND = 0.04
# Part of the keys that changes its region at a time; one key of a hundred at 0.25 s intervals.
_STEP = 0.01
# Time without a request that counts toward the next steps: a service that nobody asked for must not
# move all at once with its next request.
_MOST_SAVED_SECONDS = 1.0


class GradualShare:
    """A share of keys, 0 to 1.

    Args:
        target: the first value, taken at once: nothing has been placed by another one yet.
        now: monotonic time in seconds.
    """

    def __init__(self, target: float, now: float) -> None:
        self._value = target
        self._changed_at = now

    def value(self) -> float:
        """Return the share as of the last call of :meth:`follow` or :meth:`lower_to`."""
        return self._value

    def follow(self, target: float, now: float) -> None:
        """Move toward the target by whole steps, as far as the time since the last step allows."""
        missing = target - self._value
        if missing == 0.0:
            self._changed_at = now
            return
        self._changed_at = max(self._changed_at, now - _MOST_SAVED_SECONDS)
        allowed = MOST_CHANGE_A_SECOND * (now - self._changed_at)
        if allowed >= abs(missing):
            self._value = target
            self._changed_at = now
            return
        steps = math.floor(allowed / _STEP)
        if steps > 0:
            self._value += math.copysign(steps * _STEP, missing)
            self._changed_at += steps * _STEP / MOST_CHANGE_A_SECOND

    def lower_to(self, most: float, now: float) -> None:
        """Take a lower value at once."""
        if self._value > most:
            self._value = most
            self._changed_at = now
