"""An exponentially weighted rate of events."""

from __future__ import annotations

import math

_TIME_CONSTANT_SECONDS = 1.0


class DemandRate:
    """The number of events per second.

    Args:
        now: monotonic time in seconds.
        memory_seconds: time constant of the exponential decay.
    """

    def __init__(self, now: float, memory_seconds: float = _TIME_CONSTANT_SECONDS) -> None:
        self._memory_seconds = memory_seconds
        self._weight = 0.0
        self._updated_at = now

    def note(self, count: float, now: float) -> None:
        """Count events."""
        self._weight = self._decayed(now) + count
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the rate."""
        return self._decayed(now) / self._memory_seconds

    def _decayed(self, now: float) -> float:
        return self._weight * math.exp((self._updated_at - now) / self._memory_seconds)
