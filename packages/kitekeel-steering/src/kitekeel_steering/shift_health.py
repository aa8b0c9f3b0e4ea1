"""Decides from the answers to moved requests whether a shift's ramp should be paused."""

from __future__ import annotations

from kitekeel_steering.answer_window import AnswerWindow

_WINDOW_SECONDS = 2.0
_MIN_ANSWERS = 10
_MAX_FAILURE_SHARE = 0.1
_SLOWNESS_FACTOR = 2.0


class ShiftHealth:
    """Compares the answers to moved requests with those to the requests that were not moved."""

    def __init__(self) -> None:
        self._started_at = 0.0
        self._moved = AnswerWindow()
        self._unmoved = AnswerWindow()
        self._is_unhealthy = False

    def note(self, moved: bool, succeeded: bool, seconds: float, now: float) -> bool:
        """Count an answer; return whether the ramp should be paused.

        Args:
            moved: whether the shift moved the request.
            succeeded: whether the back end answered without an error of its own.
            seconds: time from sending the request to the end of the answer.
            now: monotonic time.
        """
        window = self._moved if moved else self._unmoved
        window.add(int(succeeded), int(not succeeded), seconds if succeeded else 0.0)
        if now - self._started_at > _WINDOW_SECONDS:
            self._update_health()
            self._started_at = now
            self._moved = AnswerWindow()
            self._unmoved = AnswerWindow()
        return self._is_unhealthy

    def _update_health(self) -> None:
        if self._moved.answers < _MIN_ANSWERS:
            return
        fails = self._moved.failure_share > _MAX_FAILURE_SHARE
        comparable = self._unmoved.successes >= _MIN_ANSWERS
        slow = self._moved.mean_seconds > _SLOWNESS_FACTOR * self._unmoved.mean_seconds
        self._is_unhealthy = fails or (comparable and slow)
