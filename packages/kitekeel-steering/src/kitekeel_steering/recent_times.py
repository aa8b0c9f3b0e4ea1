"""How long the latest answers took, so that a wait can leave enough time for one more."""

from __future__ import annotations

from collections import deque

# Window size: the quantile adapts to a change within this many answers.
_REMEMBERED = 50
# With a long queue every request is sent with only this quantile of the answer times left. Slower
# answers miss the deadline, and each has taken a slot from a request that had more time left.
_SLOW_QUANTILE = 0.96


class RecentTimes:
    """The times of the latest answers of one kind.

    It is right from the first answers on. An estimate that approaches the quantile step by step
    began at the first time it met and stayed too low for some fifty answers: a daemon that had just
    started sent 5 requests with half a second to go that ended as unknown.
    """

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=_REMEMBERED)

    def note(self, seconds: float) -> None:
        """Count the time of one answer."""
        self._seconds.append(seconds)

    def slow_seconds(self) -> float:
        """Return the 96th percentile of the recent answer times, or 0 before the first answer."""
        if not self._seconds:
            return 0.0
        return sorted(self._seconds)[int(len(self._seconds) * _SLOW_QUANTILE)]
