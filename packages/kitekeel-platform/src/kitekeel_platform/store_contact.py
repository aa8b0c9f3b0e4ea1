"""Notes when the store answers, and for how long after an outage removals may be lapses.

A back end's record lives only as long as the back end renews it. While the store is away no renewal
succeeds, so the store may come back without the records of back ends that work well; they write
them again at their next heartbeat. Only an outage that is long enough for a record to run out can
do that, and only until that heartbeat: later removals are back ends that have left.
"""

from __future__ import annotations

from kitekeel_steering.clock import Clock

# A record runs out after three heartbeats without one. The last one before the outage may be nearly
# a heartbeat old by then.
_HEARTBEATS_WITHOUT_LAPSES = 2
# After its return to the store, a record's news still has to get here: the longest way between two
# regions and back, and a busy event loop.
_NEWS_SECONDS = 0.4


class StoreContact:
    """When the store answered this daemon, whichever call it was.

    Args:
        heartbeat_seconds: time between two renewals of a back end's record.
    """

    def __init__(self, clock: Clock, heartbeat_seconds: float) -> None:
        self._clock = clock
        self._least_outage_seconds = _HEARTBEATS_WITHOUT_LAPSES * heartbeat_seconds
        self._lapse_seconds = heartbeat_seconds + _NEWS_SECONDS
        self._answered_at: float | None = None
        self._lapses_until = float("-inf")

    def note_answer(self) -> None:
        """Note an answer; the first one after an outage is the store's return."""
        now = self._clock.monotonic()
        last, self._answered_at = self._answered_at, now
        if last is not None and now - last >= self._least_outage_seconds:
            self._lapses_until = now + self._lapse_seconds

    def note_own_pause(self, seconds: float) -> None:
        """Note that this process did not run for so long, which is no outage of the store."""
        if self._answered_at is not None:
            self._answered_at += seconds

    def note_unnoticed_outage(self) -> None:
        """Note that records must have lapsed in an outage that no call of this daemon met."""
        if self.lapse_seconds_left() == 0.0:
            self._lapses_until = self._clock.monotonic() + self._lapse_seconds

    def lapse_seconds_left(self) -> float:
        """Return how much longer a removal may be a lapse; 0 where it cannot be one."""
        return max(0.0, self._lapses_until - self._clock.monotonic())
