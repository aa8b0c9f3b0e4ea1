"""Counts a daemon's calls to the platform's store by kind, since every call has a price."""

from __future__ import annotations

from collections.abc import Callable

from kitekeel_platform.fleet_store import (
    FleetItems,
    FleetStore,
    RegisteredDaemon,
    StoredCrashRecord,
    StoredCrashRecords,
)
from kitekeel_steering.fleet_items import FleetPart


class CountedStore:
    """Wraps a :class:`FleetStore` and counts its calls.

    A read of many items counts as one call, although the store may answer it in several pages.

    Args:
        store: the store that makes the calls.
        count: called with the kind of each call before it is made.
    """

    def __init__(self, store: FleetStore, count: Callable[[str], None]) -> None:
        self._store = store
        self._count = count
        self.era = store.era

    async def read(self, part: FleetPart) -> FleetItems:
        """Count and read."""
        self._count("read")
        return await self._store.read(part)

    async def watch(self, part: FleetPart, after: int, wait_seconds: float) -> FleetItems:
        """Count and watch."""
        self._count("watch")
        return await self._store.watch(part, after, wait_seconds)

    async def probe(self, seconds: float) -> None:
        """Count and probe."""
        self._count("probe")
        await self._store.probe(seconds)

    async def grant_lease(self, life_seconds: float) -> int:
        """Count and create a lease."""
        self._count("grant-lease")
        return await self._store.grant_lease(life_seconds)

    async def renew_lease(self, lease: int) -> None:
        """Count and renew a lease."""
        self._count("renew-lease")
        await self._store.renew_lease(lease)

    async def end_lease(self, lease: int) -> None:
        """Count and end a lease."""
        self._count("end-lease")
        await self._store.end_lease(lease)

    async def register(self, daemon: RegisteredDaemon, lease: int) -> None:
        """Count and register."""
        self._count("register")
        await self._store.register(daemon, lease)

    async def registered_daemons(self) -> tuple[RegisteredDaemon, ...]:
        """Count and list the daemons."""
        self._count("list-daemons")
        return await self._store.registered_daemons()

    async def crash_records(self) -> StoredCrashRecords:
        """Count and read the crash records."""
        self._count("read-crash-records")
        return await self._store.crash_records()

    async def write_crash_record(self, stored: StoredCrashRecord) -> None:
        """Count and write a crash record."""
        self._count("write-crash-record")
        await self._store.write_crash_record(stored)

    async def remove_crash_record(self, stored: StoredCrashRecord) -> None:
        """Count and remove a crash record."""
        self._count("remove-crash-record")
        await self._store.remove_crash_record(stored)
