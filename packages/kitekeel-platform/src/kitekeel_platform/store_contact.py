"""Tracks when the store answers, and for how long after an outage removals may be lapses.

A back end's record expires unless the back end renews it. No renewal succeeds during a store
outage, so afterwards the store may lack the records of healthy back ends, which rewrite them at
their next heartbeat. This requires an outage long enough for a record to expire, and lasts only
until that heartbeat: later removals are back ends that have left.

A daemon whose calls the store has answered at shorter intervals knows that there was no such
outage, however many back ends leave at once. One that made no calls for so long does not.
"""

from __future__ import annotations

import enum

from kitekeel_steering.clock import Clock

# A record expires after this many heartbeat intervals without renewal.
SILENT_HEARTBEATS = 3
# The last renewal may be almost one interval old when the outage begins.
_HEARTBEATS_WITHOUT_LAPSES = SILENT_HEARTBEATS - 1
# Time for a rewritten record to reach this daemon: the longest round trip between two regions,
# and a busy event loop.
DELIVERY_SECONDS = 0.4


class RecentOutage(enum.Enum):
    """What a daemon knows about outages after which records may still be missing.

    ``POSSIBLE``: it made no calls for a time in which one would have gone unnoticed. ``NOTICED``:
    the store did not answer its calls, or was restored from a copy.
    """

    NONE = "none"
    POSSIBLE = "possible"
    NOTICED = "noticed"


class StoreContact:
    """Tracks the store's answers to all calls of this daemon.

    Args:
        heartbeat_seconds: interval between renewals of a back end's record.
    """

    def __init__(self, clock: Clock, heartbeat_seconds: float) -> None:
        self._clock = clock
        self._min_outage_seconds = _HEARTBEATS_WITHOUT_LAPSES * heartbeat_seconds
        self._lapse_seconds = heartbeat_seconds + DELIVERY_SECONDS
        self._answered_at: float | None = None
        self._paused_seconds = 0.0
        self._lapses_until = float("-inf")
        self._outage = RecentOutage.NONE

    def note_answer(self) -> None:
        """Record an answer; the first one after an outage starts the period of possible lapses."""
        now = self._clock.monotonic()
        last, self._answered_at = self._answered_at, now
        paused_seconds, self._paused_seconds = self._paused_seconds, 0.0
        if last is None:
            self._begin_lapses(RecentOutage.POSSIBLE)
        elif now - last - paused_seconds >= self._min_outage_seconds:
            self._begin_lapses(RecentOutage.NOTICED)
        elif now - last >= self._min_outage_seconds:
            self._begin_lapses(RecentOutage.POSSIBLE)

    def note_own_pause(self, seconds: float) -> None:
        """Record a pause of this process, in which it could notice no outage."""
        self._paused_seconds += seconds

    def note_restore(self) -> None:
        """Record that the store was restored from a copy, in which records may have expired."""
        self._begin_lapses(RecentOutage.NOTICED)

    def recent_outage(self) -> RecentOutage:
        """Return what is known about an outage whose lapses may still be missing."""
        return self._outage if self.lapse_seconds_left() > 0.0 else RecentOutage.NONE

    def lapse_seconds_left(self) -> float:
        """Return how much longer a removal may be a lapse; 0 if it cannot be one."""
        return max(0.0, self._lapses_until - self._clock.monotonic())

    def _begin_lapses(self, outage: RecentOutage) -> None:
        """Begin the period of possible lapses; a possible outage does not replace a noticed one."""
        if outage is RecentOutage.POSSIBLE and self.recent_outage() is RecentOutage.NOTICED:
            return
        self._outage = outage
        self._lapses_until = self._clock.monotonic() + self._lapse_seconds
