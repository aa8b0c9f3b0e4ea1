"""Measures in which phases a request spends its time, so that a late answer can be explained."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from kitekeel_steering.clock import steady_seconds


class Phase(enum.Enum):
    """Where a request is; the value names it in counters and log lines."""

    UNREAD = "unread"
    """It has arrived, and no thread has read it yet."""
    KEY = "key"
    """Its idempotency key is looked for, an earlier attempt is waited for, or its home answers."""
    SLOT = "slot"
    """It waits for a back end's slot."""
    EXCHANGE = "exchange"
    """A connection is opened, the request sent, and the answer's head waited for."""
    ANSWER = "answer"
    """The answer's body is passed on."""


class RequestPhases:
    """The phases of one request; used by one thread at a time.

    Args:
        arrived_at: monotonic time at which it arrived.
    """

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self._seconds: dict[Phase, float] = {}
        self._phase = Phase.UNREAD
        self._entered_at = arrived_at

    @property
    def seconds(self) -> Mapping[Phase, float]:
        """Return the time spent in each phase that has ended."""
        return self._seconds

    def enter(self, phase: Phase) -> None:
        """End the present phase and begin another, or the same one again."""
        self.end()
        self._phase = phase

    def end(self) -> None:
        """End the present phase."""
        now = steady_seconds()
        spent = max(0.0, now - self._entered_at)
        self._seconds[self._phase] = self._seconds.get(self._phase, 0.0) + spent
        self._entered_at = now

    def total_seconds(self) -> float:
        """Return the time from the arrival to the end of the latest phase."""
        return sum(self._seconds.values())
