"""Counts successful and failed answers in a window, with the mean time of the former."""

from __future__ import annotations

import msgspec


class AnswerWindow(msgspec.Struct):
    """Answers since the start of a window; times are in seconds, of successful answers only."""

    successes: int = 0
    failures: int = 0
    total_seconds: float = 0.0

    @property
    def answers(self) -> int:
        """Return the number of answers."""
        return self.successes + self.failures

    @property
    def failure_share(self) -> float:
        """Return the share of failed answers, 0 to 1."""
        return self.failures / max(1, self.answers)

    @property
    def mean_seconds(self) -> float:
        """Return the mean time of successful answers, or 0 if there are none."""
        return self.total_seconds / max(1, self.successes)

    def add(self, successes: int, failures: int, total_seconds: float) -> None:
        """Add answers to the window."""
        self.successes += successes
        self.failures += failures
        self.total_seconds += total_seconds
