"""Limits the number of log lines that a daemon writes per second."""

from __future__ import annotations

from collections import deque

from kitekeel_steering.clock import steady_seconds


class LineBudget:
    """Allows ``per_second`` lines within any one-second window, wherever it begins."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._taken_at: deque[float] = deque()

    def try_take(self, lines: int, reserved: int = 0) -> bool:
        """Take lines if at least ``reserved`` remain afterwards; return whether they were taken."""
        now = steady_seconds()
        while self._taken_at and self._taken_at[0] <= now - 1.0:
            self._taken_at.popleft()
        if len(self._taken_at) + lines > self._per_second - reserved:
            return False
        self._taken_at.extend([now] * lines)
        return True
