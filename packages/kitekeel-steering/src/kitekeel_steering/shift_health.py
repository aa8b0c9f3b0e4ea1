"""Tells from the answers of moved requests whether a shift's ramp should stop where it is."""

from __future__ import annotations

import msgspec

_WINDOW_SECONDS = 2.0
_LEAST_ANSWERS = 10
_MOST_FAILURES_SHARE = 0.1
_SLOWNESS_FACTOR = 2.0


class _Window(msgspec.Struct):
    """Answers in one window."""

    successes: int = 0
    failures: int = 0
    total_seconds: float = 0.0

    @property
    def answers(self) -> int:
        return self.successes + self.failures

    @property
    def mean_seconds(self) -> float:
        return self.total_seconds / max(1, self.successes)

    def add(self, succeeded: bool, seconds: float) -> None:
        self.successes += int(succeeded)
        self.failures += int(not succeeded)
        self.total_seconds += seconds if succeeded else 0.0


class ShiftHealth:
    """Compares a shift's answers with those of the requests that stayed."""

    def __init__(self) -> None:
        self._started_at = 0.0
        self._moved = _Window()
        self._stayed = _Window()
        self._is_bad = False

    def note(self, moved: bool, succeeded: bool, seconds: float, now: float) -> bool:
        """Count an answer; tell whether the ramp should be held.

        Args:
            moved: the shift moved the request.
            succeeded: the back end answered, without an error of its own.
            seconds: from sending to the end of the answer.
            now: monotonic time.
        """
        (self._moved if moved else self._stayed).add(succeeded, seconds)
        if now - self._started_at > _WINDOW_SECONDS:
            self._judge()
            self._started_at = now
            self._moved = _Window()
            self._stayed = _Window()
        return self._is_bad

    def _judge(self) -> None:
        if self._moved.answers < _LEAST_ANSWERS:
            return
        fails = self._moved.failures / self._moved.answers > _MOST_FAILURES_SHARE
        comparable = self._stayed.successes >= _LEAST_ANSWERS
        slow = self._moved.mean_seconds > _SLOWNESS_FACTOR * self._stayed.mean_seconds
        self._is_bad = fails or (comparable and slow)
