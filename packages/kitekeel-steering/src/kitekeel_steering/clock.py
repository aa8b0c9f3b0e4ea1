"""The time by which everything is measured.

A machine may be suspended for seconds. The operating system's monotonic clock does not count them,
so leases, deadlines and ages of news would be believed for so much longer; the clock of its boots
does. Parts that tests move through time take a :class:`Clock`; the others call
:func:`steady_seconds`. A linter rule keeps the operating system's monotonic clock out.
"""

from __future__ import annotations

import time
from typing import Protocol

_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def steady_seconds() -> float:
    """Return seconds that never go back and go on while the machine is suspended."""
    return time.clock_gettime(_STEADY_CLOCK)


class Clock(Protocol):
    """Two readings of time, both in seconds."""

    def monotonic(self) -> float:
        """Return a reading that never goes back and counts time spent suspended.

        Only differences mean anything.
        """

    def wall(self) -> float:
        """Return seconds since 1970, which other machines' clocks roughly share."""


class SystemClock:
    """The machine's own clocks."""

    def monotonic(self) -> float:
        """Return the machine's steady reading."""
        return steady_seconds()

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
