"""A token bucket that keeps a daemon's calls to the platform within its share."""

from __future__ import annotations

import threading

from kitekeel_steering.clock import Clock


class RateBudget:
    """Limits the rate of calls, allowing a burst.

    Args:
        clock: time source for refilling the bucket.
        per_second: calls added to the budget each second.
        burst: maximum number of calls at once.
    """

    def __init__(self, clock: Clock, per_second: float, burst: float) -> None:
        self._clock = clock
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.monotonic()
        self._lock = threading.Lock()

    def try_take(self) -> bool:
        """Take one call from the budget; return whether one was available."""
        with self._lock:
            now = self._clock.monotonic()
            refill = (now - self._refilled_at) * self._per_second
            self._tokens = min(self._burst, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
