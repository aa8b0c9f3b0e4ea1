"""Which daemons watch the platform's store for all, and whom the others hear the changes from.

Each change of the store wakes every watch, so where all daemons watch, calls grow with changes
times daemons. Instead a few daemons of each zone watch and tell the rest of their zone. Who does
follows from the member table alone: no election, no messages, nothing kept. Two daemons whose
tables differ for a moment may both watch, which costs calls, or neither, which those that hear
nothing find out (:mod:`kitekeel_platform.watch_duty`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_steering.clock import Clock
from kitekeel_steering.rendezvous import rank_nodes

# With two, one that is killed, frozen or cut off keeps no change from its zone: the other tells it.
WATCHERS_PER_ZONE = 2
# A daemon that did not answer is passed over for this time. Until then the member table has noticed
# that it is gone (a probe within 1 s, a suspicion of 3 s, the news of it), so that no question is
# lost to it a second time: that would take 0.6 s in which the other watcher's doubt goes unheard.
_SILENT_SECONDS = 6.0
# A daemon that had lost the store is passed over for this time.
_STALE_SECONDS = 3.0


def watchers_of_zone(members: Iterable[MemberRecord], zone: str) -> list[MemberRecord]:
    """Return the daemons of a zone that watch the store, in a fixed order.

    Daemons that are suspected or leaving are passed over, so that others take their place early.
    """
    candidates = {
        each.instance: each
        for each in members
        if each.zone == zone
        and each.state is MemberState.ALIVE
        and each.phase is not MemberPhase.LEAVING
    }
    ranked = rank_nodes(f"watch/{zone}", candidates)
    return [candidates[name] for name in ranked[:WATCHERS_PER_ZONE]]


class WatcherChoice:
    """The choice as one daemon makes it; used by the event loop alone.

    Args:
        own: returns this daemon's record.
        members: returns the live members, this daemon included.
    """

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: Callable[[], list[MemberRecord]],
        clock: Clock,
    ) -> None:
        self._own = own
        self._members = members
        self._clock = clock
        self._silent_until: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}
        self._turn = 0

    def is_watcher(self) -> bool:
        """Tell whether this daemon is among the watchers of its zone."""
        own = self._own()
        watchers = watchers_of_zone([*self._members(), own], own.zone)
        return any(each.instance == own.instance for each in watchers)

    def note_failure(self, address: str) -> None:
        """Note that a watcher did not answer, so that another is asked for a while."""
        self._silent_until[address] = self._clock.monotonic() + _SILENT_SECONDS

    def note_stale(self, address: str) -> bool:
        """Note that a watcher has lost the store; tell whether that was not known."""
        now = self._clock.monotonic()
        was_known = self._stale_until.get(address, 0.0) > now
        self._stale_until[address] = now + _STALE_SECONDS
        return not was_known

    def next_source(self) -> str | None:
        """Return the address of the daemon to hear from next, ``None`` where there is none.

        The watchers of the own zone take turns. Only where none of them has fresh news, those of
        the other zones of the region do, and then one of each zone elsewhere, so that news seldom
        crosses zones. Where all have lost the store, the nearest ones are asked for its return.
        """
        zone = self._own().zone
        members = self._members()
        in_zone = watchers_of_zone(members, zone)
        nearest = self._take_turn(self._without_stale(in_zone))
        if nearest is not None:
            # The usual case, without a look at the daemons of all zones.
            return nearest
        in_region, elsewhere = self._watchers_of_other_zones(members)
        return (
            self._take_turn(self._without_stale(in_region))
            or self._take_turn(self._without_stale(elsewhere))
            or self._take_turn([*in_zone, *in_region])
            or self._take_turn(elsewhere)
        )

    def _watchers_of_other_zones(
        self, members: list[MemberRecord]
    ) -> tuple[list[MemberRecord], list[MemberRecord]]:
        """Return the watchers of the region's other zones, and one of each zone elsewhere."""
        own = self._own()
        in_region: list[MemberRecord] = []
        elsewhere: list[MemberRecord] = []
        for zone, region in sorted({(each.zone, each.region) for each in members}):
            watchers = watchers_of_zone(members, zone) if zone != own.zone else []
            if region == own.region:
                in_region += watchers
            else:
                elsewhere += watchers[:1]
        return in_region, elsewhere

    def _without_stale(self, watchers: list[MemberRecord]) -> list[MemberRecord]:
        now = self._clock.monotonic()
        return [each for each in watchers if self._stale_until.get(each.peer_address, 0.0) <= now]

    def _take_turn(self, watchers: list[MemberRecord]) -> str | None:
        """Return the address of the next one that answers, as far as is known."""
        now = self._clock.monotonic()
        own_address = self._own().peer_address
        usable = [
            each.peer_address
            for each in watchers
            if each.peer_address != own_address
            and self._silent_until.get(each.peer_address, 0.0) <= now
        ]
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]
