"""Counts answers, good and bad, and their mean time, over a window."""

from __future__ import annotations

import msgspec


class AnswerWindow(msgspec.Struct):
    """Answers since a window began; times in seconds, of good answers only."""

    successes: int = 0
    failures: int = 0
    total_seconds: float = 0.0

    @property
    def answers(self) -> int:
        """Return how many answers there were."""
        return self.successes + self.failures

    @property
    def failure_share(self) -> float:
        """Return the share of bad answers, 0 to 1."""
        return self.failures / max(1, self.answers)

    @property
    def mean_seconds(self) -> float:
        """Return the mean time of good answers, 0 where there is none."""
        return self.total_seconds / max(1, self.successes)

    def add(self, successes: int, failures: int, total_seconds: float) -> None:
        """Count some answers."""
        self.successes += successes
        self.failures += failures
        self.total_seconds += total_seconds
