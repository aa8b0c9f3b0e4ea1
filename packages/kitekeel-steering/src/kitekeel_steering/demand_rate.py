"""An exponentially weighted rate of events."""

from __future__ import annotations

import math

_MEMORY_SECONDS = 1.0


class DemandRate:
    """How many events there are a second.

    Args:
        now: monotonic time in seconds.
        memory_seconds: events count by less and less over about this time.
    """

    def __init__(self, now: float, memory_seconds: float = _MEMORY_SECONDS) -> None:
        self._memory_seconds = memory_seconds
        self._weight = 0.0
        self._updated_at = now

    def note(self, count: float, now: float) -> None:
        """Count events."""
        self._weight = self._faded(now) + count
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the rate."""
        return self._faded(now) / self._memory_seconds

    def _faded(self, now: float) -> float:
        return self._weight * math.exp((self._updated_at - now) / self._memory_seconds)
