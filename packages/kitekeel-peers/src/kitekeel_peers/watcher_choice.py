"""Selects the daemons that watch the platform's store and the ones that others get changes from.

Each change of the store completes every pending watch, so if all daemons watched, the number of
calls would grow with changes times daemons. Instead, a few daemons of each zone watch and forward
changes to the rest of their zone. The selection depends only on the member table: there is no
election, no message and no stored state. While the tables of two daemons differ, both may watch,
which costs calls, or neither may. Daemons that receive no changes detect the latter
(:mod:`kitekeel_platform.watch_duty`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_steering.clock import Clock
from kitekeel_steering.rendezvous import rank_nodes

# With two, the zone still gets all changes if one is killed, frozen or disconnected.
WATCHERS_PER_ZONE = 2
# A daemon that did not answer is skipped for this time. By then the member table has noticed its
# failure (a probe within 1 s, a suspicion of 3 s, propagation), so that no second request to it is
# lost: it would take 0.6 s, in which a loss of the store seen by the other watcher goes unnoticed.
_UNRESPONSIVE_SECONDS = 6.0
# A daemon that has lost its connection to the store is skipped for this time.
_STALE_SECONDS = 3.0


def watchers_of_zone(members: Iterable[MemberRecord], zone: str) -> list[MemberRecord]:
    """Return the daemons of a zone that watch the store, in a fixed order.

    Suspected and leaving daemons are skipped, so that others take over early.
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
    """The watcher selection of one daemon; must be used on the event loop only.

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
        self._unresponsive_until: dict[str, float] = {}
        self._stale_until: dict[str, float] = {}
        self._turn = 0

    def is_watcher(self) -> bool:
        """Return whether this daemon is one of the watchers of its zone."""
        own = self._own()
        watchers = watchers_of_zone([*self._members(), own], own.zone)
        return any(each.instance == own.instance for each in watchers)

    def note_failure(self, address: str) -> None:
        """Record that a watcher did not answer, so that it is skipped for some time."""
        self._unresponsive_until[address] = self._clock.monotonic() + _UNRESPONSIVE_SECONDS

    def note_stale(self, address: str) -> bool:
        """Record that a watcher has lost the store; return whether this was not yet known."""
        now = self._clock.monotonic()
        was_known = self._stale_until.get(address, 0.0) > now
        self._stale_until[address] = now + _STALE_SECONDS
        return not was_known

    def next_source(self) -> str | None:
        """Return the address of the daemon to ask next, or ``None`` if there is none.

        Rotates through the watchers of this daemon's zone. If none of them is up to date, it uses
        those of the region's other zones, and then one of each zone in other regions, so that
        traffic rarely crosses zones. If all have lost the store, the nearest ones are asked, to
        notice when it is available again.
        """
        zone = self._own().zone
        members = self._members()
        in_zone = watchers_of_zone(members, zone)
        nearest = self._next_in_turn(self._without_stale(in_zone))
        if nearest is not None:
            # The common case, which avoids ranking the daemons of all zones.
            return nearest
        in_region, elsewhere = self._watchers_of_other_zones(members)
        return (
            self._next_in_turn(self._without_stale(in_region))
            or self._next_in_turn(self._without_stale(elsewhere))
            or self._next_in_turn([*in_zone, *in_region])
            or self._next_in_turn(elsewhere)
        )

    def _watchers_of_other_zones(
        self, members: list[MemberRecord]
    ) -> tuple[list[MemberRecord], list[MemberRecord]]:
        """Return the watchers of the region's other zones, and one per zone of other regions."""
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

    def _next_in_turn(self, watchers: list[MemberRecord]) -> str | None:
        """Return the address of the next watcher that is not known to be unresponsive."""
        now = self._clock.monotonic()
        own_address = self._own().peer_address
        usable = [
            each.peer_address
            for each in watchers
            if each.peer_address != own_address
            and self._unresponsive_until.get(each.peer_address, 0.0) <= now
        ]
        if not usable:
            return None
        self._turn += 1
        return usable[self._turn % len(usable)]
