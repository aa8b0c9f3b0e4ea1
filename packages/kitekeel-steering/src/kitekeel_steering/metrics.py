"""Interface for counters; the daemon connects it to statsd."""

from __future__ import annotations

import threading
from collections import Counter
from typing import Protocol


class Metrics(Protocol):
    """Receives increments of named counters."""

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""


class MemoryMetrics:
    """Counters kept in memory, for status reports and tests."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        with self._lock:
            self._counts[name] += count

    def snapshot(self) -> dict[str, int]:
        """Return the values of all counters by name."""
        with self._lock:
            return dict(self._counts)
