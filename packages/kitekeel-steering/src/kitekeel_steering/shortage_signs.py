"""Detects at one daemon that a pool of back ends may be short of room.

Load: a fleet of 6 to 1,000 daemons of which each sees a small part of a service's requests. Signs
only start the exchange of the figures that decide. A false one costs a few messages, so each must
exceed what random arrivals cause at an ordinary load.
"""

from __future__ import annotations

import math

# Share of answers whose back end has requests waiting.
_MIN_QUEUED_SHARE = 0.5
_MIN_ANSWERS = 2.0
# Own requests in flight relative to the own part of the slots, and beyond it.
_MIN_LOAD_SHARE = 1.25
_MIN_EXTRA_IN_FLIGHT = 0.5
_TIME_CONSTANT_SECONDS = 1.0
_HELD_SECONDS = 3.0


class ShortageSigns:
    """Signs that a pool is short of room, as seen by one daemon; times are monotonic seconds."""

    def __init__(self) -> None:
        self._answers = 0.0
        self._queued = 0.0
        self._in_flight = 0.0
        self._updated_at: float | None = None
        self._last_sign_at = float("-inf")

    def note_answer(self, is_queueing: bool) -> None:
        """Count an answer; ``is_queueing`` if its back end reported waiting requests."""
        self._answers += 1.0
        self._queued += is_queueing

    def note_full(self, now: float) -> None:
        """Record that a back end rejected a request, or that all were believed full."""
        self._last_sign_at = now

    def are_seen(self, in_flight: int, own_slots: float, now: float) -> bool:
        """Return whether there was a sign lately; called at regular intervals.

        Args:
            in_flight: own requests in flight.
            own_slots: the pool's slots divided by the number of daemons.
            now: monotonic time in seconds.
        """
        self._decay(in_flight, now)
        has_queues = self._queued >= _MIN_QUEUED_SHARE * self._answers
        is_loaded = self._in_flight > _MIN_LOAD_SHARE * own_slots + _MIN_EXTRA_IN_FLIGHT
        if is_loaded or (has_queues and self._answers >= _MIN_ANSWERS):
            self._last_sign_at = now
        return now - self._last_sign_at < _HELD_SECONDS

    def _decay(self, in_flight: int, now: float) -> None:
        seconds = now - self._updated_at if self._updated_at is not None else 0.0
        kept = math.exp(-seconds / _TIME_CONSTANT_SECONDS)
        self._answers *= kept
        self._queued *= kept
        self._in_flight += (1.0 - kept) * (in_flight - self._in_flight)
        self._updated_at = now
