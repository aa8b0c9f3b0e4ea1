"""Counts the daemons that share the limits, by their heartbeats and their registrations."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from kitekeel_peers.member_table import MemberTable
from kitekeel_platform.fleet_store import RegisteredDaemon
from kitekeel_steering.clock import Clock
from kitekeel_steering.shared_limits import DaemonCount, DaemonsByRegion

_COUNT_SECONDS = 0.5


class FleetSize:
    """How many daemons there are, in all and in each region.

    Args:
        regions: the regions of the settings.
        all_start: whether all daemons start together, in which case the store may not list all yet.
    """

    def __init__(self, clock: Clock, regions: Iterable[str], all_start: bool) -> None:
        self._all_start = all_start
        self.daemons = DaemonCount(clock)
        self.by_region = DaemonsByRegion(clock, regions)
        self._registered: tuple[RegisteredDaemon, ...] = ()

    def note_registered(self, daemons: tuple[RegisteredDaemon, ...]) -> None:
        """Take the daemons that the store lists."""
        self._registered = daemons
        self.daemons.observe(len(daemons))

    def registered_addresses(self) -> list[str]:
        """Return the peer addresses of the daemons that the store lists."""
        return [each.peer_address for each in self._registered]

    async def run(self, table: MemberTable) -> None:
        """Count the members that are alive, until cancelled."""
        while True:
            live = table.live()
            self.daemons.observe(max(len(live), len(self._registered)))
            if not self._all_start and len(live) >= max(2, len(self._registered)):
                self.daemons.note_all_found()
            self.by_region.observe(each.region for each in live)
            await asyncio.sleep(_COUNT_SECONDS)
