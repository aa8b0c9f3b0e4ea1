"""Counts the daemons that share the limits, from the member table and their registrations."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from kitekeel_peers.member_table import MemberTable
from kitekeel_platform.fleet_store import RegisteredDaemon
from kitekeel_steering.clock import Clock
from kitekeel_steering.shared_limits import DaemonCount, DaemonsByRegion

_COUNT_SECONDS = 0.5


class FleetSize:
    """The number of daemons, in total and in each region.

    Args:
        regions: the regions of the settings.
        all_start: whether all daemons start together, in which case the store may not list all yet.
    """

    def __init__(self, clock: Clock, regions: Iterable[str], all_start: bool) -> None:
        self._all_start = all_start
        self.daemons = DaemonCount(clock)
        self.by_region = DaemonsByRegion(clock, regions)
        self._registered: tuple[RegisteredDaemon, ...] = ()
        self._has_read_registrations = False

    def note_registered(self, daemons: tuple[RegisteredDaemon, ...]) -> None:
        """Record the daemons that are registered in the store."""
        self._registered = daemons
        self._has_read_registrations = True
        self.daemons.observe(len(daemons))

    def registered_addresses(self) -> list[str]:
        """Return the peer addresses of the daemons registered in the store."""
        return [each.peer_address for each in self._registered]

    async def run(self, table: MemberTable) -> None:
        """Count the live members periodically, until cancelled."""
        while True:
            live = table.live()
            self.daemons.observe(max(len(live), len(self._registered)))
            if self._are_all_found(len(live)):
                self.daemons.note_all_found()
            self.by_region.observe(each.region for each in live)
            await asyncio.sleep(_COUNT_SECONDS)

    def _are_all_found(self, live_count: int) -> bool:
        """Return whether as many daemons are alive as the store lists, at least two.

        Before the list was read this is false: daemons that restart together during a store outage
        could otherwise each take a large share of the shared limits.
        """
        if self._all_start or not self._has_read_registrations:
            return False
        return live_count >= max(2, len(self._registered))
