"""Tracks recent answer times, so that a wait can leave enough time for an answer."""

from __future__ import annotations

from collections import deque

# The quantile adapts to a change within this many answers.
_WINDOW_SIZE = 50
# With a long queue, every request is sent when its remaining time is down to this quantile of the
# answer times. Slower answers miss the deadline, and each of them has used a slot that a request
# with more remaining time could have used.
_SLOW_QUANTILE = 0.96


class RecentTimes:
    """The times of the most recent answers of one kind.

    The quantile is accurate from the first answers on. An incremental estimate started at the first
    observed time and stayed too low for about fifty answers: a daemon that had just started sent 5
    requests with half a second left, whose outcomes remained unknown.
    """

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=_WINDOW_SIZE)
        self._sorted: list[float] = []

    def note(self, seconds: float) -> None:
        """Record the time of an answer."""
        self._seconds.append(seconds)
        self._sorted = []

    def slow_seconds(self) -> float:
        """Return the 96th percentile of the recent answer times, or 0 before the first answer."""
        return self.quantile(_SLOW_QUANTILE)

    def quantile(self, quantile: float) -> float:
        """Return a quantile, 0 to below 1, of the recent answer times; 0 before the first one."""
        if not self._seconds:
            return 0.0
        if not self._sorted:
            self._sorted = sorted(self._seconds)
        return self._sorted[int(len(self._sorted) * quantile)]
