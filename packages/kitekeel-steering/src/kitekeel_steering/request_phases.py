"""Measures how long a request spends in each phase, to explain late answers."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from kitekeel_steering.clock import steady_seconds


class Phase(enum.Enum):
    """A phase of a request; the value is its name in counters and log lines."""

    UNREAD = "unread"
    """The request has arrived, but no thread has read it yet."""
    KEY = "key"
    """Looking up the idempotency key, or waiting for an earlier attempt or the key's home."""
    SLOT = "slot"
    """Waiting for a slot of a back end."""
    EXCHANGE = "exchange"
    """Connecting, sending the request and waiting for the head of the answer."""
    ANSWER = "answer"
    """Forwarding the body of the answer."""


class RequestPhases:
    """The phases of one request; used by one thread at a time.

    Args:
        arrived_at: monotonic time of the request's arrival.
    """

    def __init__(self, arrived_at: float) -> None:
        self.arrived_at = arrived_at
        self._seconds: dict[Phase, float] = {}
        self._phase = Phase.UNREAD
        self._entered_at = arrived_at

    @property
    def seconds(self) -> Mapping[Phase, float]:
        """Return the time spent in each phase so far, up to the last call of :meth:`end`."""
        return self._seconds

    def enter(self, phase: Phase) -> None:
        """End the current phase and start another one, or the same one again."""
        self.end()
        self._phase = phase

    def end(self) -> None:
        """End the current phase."""
        now = steady_seconds()
        spent = max(0.0, now - self._entered_at)
        self._seconds[self._phase] = self._seconds.get(self._phase, 0.0) + spent
        self._entered_at = now

    def total_seconds(self) -> float:
        """Return the time from the arrival to the end of the last phase."""
        return sum(self._seconds.values())
