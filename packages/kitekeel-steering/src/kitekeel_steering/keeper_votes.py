"""Determines how much of a pool a keeper may grant, from the votes of the region's entry machines.

Each exchange with an entry machine of the region counts as its vote for a short time. A keeper with
votes from more than half of the region's places may grant the whole pool, since no other keeper can
have as many. With exactly half of the votes it may grant half, since another keeper can have the
other half. With fewer it grants nothing, since another keeper may be granting everything. No store
is needed, and two daemons that both consider themselves the keeper cannot grant more slots in total
than the pool has.
"""

from __future__ import annotations

from kitekeel_steering.clock import Clock


class KeeperVotes:
    """The votes for one keeper of one pool."""

    def __init__(self, clock: Clock, freshness_seconds: float) -> None:
        self._clock = clock
        self._freshness_seconds = freshness_seconds
        self._cast_after: dict[int, float] = {}
        self._after_silence: dict[int, bool] = {}

    def note(self, place: int, cast_after: float, after_silence: bool) -> None:
        """Record an exchange with an entry machine; place 0 is a holder without a vote.

        Args:
            place: the machine's number in its region.
            cast_after: a time of this keeper's monotonic clock after which the vote was cast.
            after_silence: whether the machine switched to this keeper only after its previous
                keeper had not responded for long enough.
        """
        if place > 0:
            self._cast_after[place] = max(cast_after, self._cast_after.get(place, 0.0))
            self._after_silence[place] = after_silence

    def all_after_silence(self) -> bool:
        """Return whether every voter waited for its previous keeper to time out."""
        return all(self._after_silence.values())

    def fresh(self, places: int) -> int:
        """Return how many of the region's places have a current vote."""
        oldest = self._clock.monotonic() - self._freshness_seconds
        return sum(
            place <= places and cast_after >= oldest
            for place, cast_after in self._cast_after.items()
        )

    def authority(self, places: int) -> float:
        """Return the share of the pool that may be granted: 1, 0.5 or 0."""
        doubled = 2 * self.fresh(places)
        if doubled > places:
            return 1.0
        return 0.5 if doubled == places else 0.0
