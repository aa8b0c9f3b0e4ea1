"""Clocks for measuring durations and for wall-clock time.

A machine may be suspended for seconds. ``CLOCK_MONOTONIC`` does not count that time, so leases and
deadlines would expire too late and data would seem newer than it is; ``CLOCK_BOOTTIME`` does count
it. Code whose time is controlled by tests takes a :class:`Clock`; other code calls
:func:`steady_seconds`. A linter rule forbids Python's own monotonic clock.
"""

from __future__ import annotations

import time
from typing import Protocol

_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return a monotonic time in seconds that includes the time the machine is suspended."""
    return time.clock_gettime(_STEADY_CLOCK)


class Clock(Protocol):
    """Source of monotonic and wall-clock time, both in seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back and includes time spent suspended.

        Only the difference of two values is meaningful.
        """

    def wall(self) -> float:
        """Return seconds since 1970, roughly synchronised between machines."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return the time of :func:`steady_seconds`."""
        return steady_seconds()

    def wall(self) -> float:
        """Return the wall-clock time of the operating system."""
        return time.time()


class ManualClock:
    """A clock that only moves when advanced explicitly, for embedding and tests.

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
        """Move the clock forward by a number of seconds."""
        self._now += seconds
