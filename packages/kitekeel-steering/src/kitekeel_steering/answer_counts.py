"""Counts recent complete answers by request, in bounded memory."""

from __future__ import annotations

from collections import Counter

from kitekeel_steering.clock import Clock

# Counts expire after one to two periods, or earlier if a period is full.
_PERIOD_SECONDS = 60.0
# Distinct requests per period; 0.12 KB each in memory.
_MAX_REQUESTS = 4_000


class AnswerCounts:
    """Answer counts of the current and the previous period.

    A period ends when its time is over or when it has reached the maximum number of requests.

    Not thread-safe.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._period_started_at = clock.monotonic()
        self._current: Counter[str] = Counter()
        self._previous: Counter[str] = Counter()

    def note(self, identity: str) -> None:
        """Count one answer of a request."""
        self._end_period_if_due()
        self._current[identity] += 1

    def count(self, identity: str) -> int:
        """Return the number of answers to the request in both periods."""
        self._end_period_if_due()
        return self._current[identity] + self._previous[identity]

    def request_count(self) -> int:
        """Return the number of counters in both periods together."""
        return len(self._current) + len(self._previous)

    def _end_period_if_due(self) -> None:
        now = self._clock.monotonic()
        age = now - self._period_started_at
        if age < _PERIOD_SECONDS and len(self._current) < _MAX_REQUESTS:
            return
        is_recent = age < 2 * _PERIOD_SECONDS
        self._previous = self._current if is_recent else Counter()
        self._current = Counter()
        self._period_started_at = now
