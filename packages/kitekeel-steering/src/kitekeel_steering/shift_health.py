"""Tells from the answers of moved requests whether a shift's ramp should stop where it is."""

from __future__ import annotations

from kitekeel_steering.answer_window import AnswerWindow

_WINDOW_SECONDS = 2.0
_MIN_ANSWERS = 10
_MOST_FAILURES_SHARE = 0.1
_SLOWNESS_FACTOR = 2.0


class ShiftHealth:
    """Compares a shift's answers with those of the requests that stayed."""

    def __init__(self) -> None:
        self._started_at = 0.0
        self._moved = AnswerWindow()
        self._stayed = AnswerWindow()
        self._is_bad = False

    def note(self, moved: bool, succeeded: bool, seconds: float, now: float) -> bool:
        """Count an answer; tell whether the ramp should be held.

        Args:
            moved: the shift moved the request.
            succeeded: the back end answered, without an error of its own.
            seconds: from sending to the end of the answer.
            now: monotonic time.
        """
        window = self._moved if moved else self._stayed
        window.add(int(succeeded), int(not succeeded), seconds if succeeded else 0.0)
        if now - self._started_at > _WINDOW_SECONDS:
            self._judge()
            self._started_at = now
            self._moved = AnswerWindow()
            self._stayed = AnswerWindow()
        return self._is_bad

    def _judge(self) -> None:
        if self._moved.answers < _MIN_ANSWERS:
            return
        fails = self._moved.failure_share > _MOST_FAILURES_SHARE
        comparable = self._stayed.successes >= _MIN_ANSWERS
        slow = self._moved.mean_seconds > _SLOWNESS_FACTOR * self._stayed.mean_seconds
        self._is_bad = fails or (comparable and slow)
