"""Clocks handed to every part that measures time, so that none reads a global one."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Two readings of time, both in seconds."""

    def monotonic(self) -> float:
        """Return a reading that never goes back; only differences mean anything."""

    def wall(self) -> float:
        """Return seconds since 1970, which other machines' clocks roughly share."""


class SystemClock:
    """The machine's own clocks."""

    def monotonic(self) -> float:
        """Return the machine's monotonic reading."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the machine's wall-clock reading."""
        return time.time()


class ManualClock:
    """A clock that moves only when told to, for embedding and tests.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(1.5)
        >>> clock.monotonic()
        1.5
    """

    def __init__(self) -> None:
        self._now = 0.0

    def monotonic(self) -> float:
        """Return the time advanced so far."""
        return self._now

    def wall(self) -> float:
        """Return the time advanced so far."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now += seconds
