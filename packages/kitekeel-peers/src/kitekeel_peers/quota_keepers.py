"""Selects the daemon of a region that keeps the tokens of a group of tenants.

The selection depends only on the member table. Daemons whose tables differ may temporarily select
different keepers: tokens are then split between two pools, but none is created twice. Daemons that
do not serve yet may be selected as well. Otherwise, after a restart of all daemons, the selection
would change with each one that begins to serve, and the former keeper's tokens would be lost.
"""

from __future__ import annotations

from collections.abc import Callable

import xxhash

from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_steering.clock import Clock
from kitekeel_steering.rendezvous import rank_nodes

# Number of daemons in each region that the calls for tokens are distributed over.
GROUPS = 2
# Covers the time until the member table has noticed that a daemon failed.
_UNRESPONSIVE_SECONDS = 5.0


def group_of(tenant: str, groups: int = GROUPS) -> int:
    """Return the group that a tenant's tokens belong to."""
    return int(xxhash.xxh64_intdigest(tenant.encode())) % groups


class QuotaKeepers:
    """The keeper selection of one daemon; used on the event loop and on the threads of quota calls.

    Args:
        own: returns this daemon's record.
        members: returns the live members, this daemon included.
        key_prefix: prefix of the hash key, so that each kind of exchange has its own keepers.
    """

    def __init__(
        self,
        own: Callable[[], MemberRecord],
        members: Callable[[], list[MemberRecord]],
        clock: Clock,
        key_prefix: str = "quota",
    ) -> None:
        self._key_prefix = key_prefix
        self._own = own
        self._members = members
        self._clock = clock
        self._unresponsive_until: dict[str, float] = {}

    def own_address(self) -> str:
        """Return this daemon's peer address."""
        return self._own().peer_address

    def of_own_region(self, group: int) -> str:
        """Return the peer address of the own region's keeper; this daemon's if none is found."""
        found = self._select(group, self._own().region)
        return found if found is not None else self.own_address()

    def own_region(self) -> str:
        """Return this daemon's region."""
        return self._own().region

    def of_region(self, group: int, region: str) -> str | None:
        """Return the peer address of a region's keeper, or ``None`` if the region has no daemon."""
        return self._select(group, region)

    def first_of_region(self, group: int, region: str) -> str | None:
        """Return the same as :meth:`of_region`, also if that daemon did not answer lately."""
        return self._select(group, region, responsive_only=False)

    def of_other_regions(self, group: int) -> list[str]:
        """Return the peer addresses of the keepers of all other regions."""
        own_region = self._own().region
        regions = sorted({each.region for each in self._members()} - {own_region})
        found = [self._select(group, region) for region in regions]
        return [each for each in found if each is not None]

    def note_failure(self, address: str) -> None:
        """Record that a keeper did not answer, so that another one is used for some time."""
        self._unresponsive_until[address] = self._clock.monotonic() + _UNRESPONSIVE_SECONDS

    def _select(self, group: int, region: str, responsive_only: bool = True) -> str | None:
        now = self._clock.monotonic()
        candidates = {
            each.instance: each.peer_address
            for each in self._members()
            if each.region == region
            and each.state is MemberState.ALIVE
            and each.phase is not MemberPhase.LEAVING
            and not (responsive_only and self._unresponsive_until.get(each.peer_address, 0.0) > now)
        }
        ranked = rank_nodes(f"{self._key_prefix}/{group}", candidates)
        return candidates[ranked[0]] if ranked else None
