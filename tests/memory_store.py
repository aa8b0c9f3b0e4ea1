"""The platform's store as an object in memory, with the faults that tests ask for."""

import asyncio
from collections import Counter
from collections.abc import Iterable

import msgspec

from kitekeel_platform.fleet_store import (
    FleetItems,
    HistoryLostError,
    LeaseEndedError,
    RecordChangedError,
    RegisteredDaemon,
    StoredCrashRecord,
    StoredCrashRecords,
)
from kitekeel_platform.store_era import StoreEra
from kitekeel_steering.errors import PlatformUnavailableError
from kitekeel_steering.fleet_items import BackEndRecord, FleetPart, ItemKind, ViewItem, part_of
from kitekeel_steering.routing import RoutingConfiguration


class StoreCopy(msgspec.Struct, frozen=True):
    """A copy of a store, from which it may be restored."""

    revision: int
    oldest: int
    items: dict[tuple[ItemKind, str], ViewItem]
    history: list[ViewItem]
    daemons: dict[str, RegisteredDaemon]
    crash_records: dict[str, StoredCrashRecord]


class MemoryStore:
    """The platform's store as one object; daemons may be turned away by name.

    Attributes:
        is_silent: watches that are sent now get no answer, also once the store is back.
        deaf: the next watch of a daemon on a part is kept waiting although there may be news, until
            the part's next change after its begin.
        era: how often the store was restored from a copy, from 1.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 0
        self.items: dict[tuple[ItemKind, str], ViewItem] = {}
        self.history: list[ViewItem] = []
        self.oldest = 0
        self.daemons: dict[str, RegisteredDaemon] = {}
        self.crash_records: dict[str, StoredCrashRecord] = {}
        self.turned_away: set[str] = set()
        self.is_silent = False
        self.deaf: set[tuple[str, FleetPart]] = set()
        self.cuts = 0
        self.forgotten = 0
        self.changed = asyncio.Condition()
        self.calls_by_name: Counter[str] = Counter()

    async def put(self, item: ViewItem) -> None:
        async with self.changed:
            self.revision += 1
            stamped = ViewItem(
                item.kind,
                item.name,
                self.revision,
                item.configuration,
                item.back_end,
                item.removed,
            )
            key = (item.kind, item.name)
            if item.removed:
                self.items.pop(key, None)
            else:
                self.items[key] = stamped
            self.history.append(stamped)
            self.changed.notify_all()

    async def put_back_end(self, record: BackEndRecord) -> None:
        await self.put(ViewItem(ItemKind.BACK_END, record.instance, 0, back_end=record))

    async def remove_back_end(self, instance: str) -> None:
        await self.put(ViewItem(ItemKind.BACK_END, instance, 0, removed=True))

    async def put_configuration(self, configuration: RoutingConfiguration) -> None:
        await self.put(ViewItem(ItemKind.CONFIGURATION, "", 0, configuration=configuration))

    async def forget_history(self) -> None:
        async with self.changed:
            self.oldest = self.revision
            self.history.clear()
            self.changed.notify_all()

    def copy(self) -> StoreCopy:
        return StoreCopy(
            self.revision,
            self.oldest,
            dict(self.items),
            list(self.history),
            dict(self.daemons),
            dict(self.crash_records),
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and its revisions are reused."""
        async with self.changed:
            self.era += 1
            self.revision, self.oldest = copy.revision, copy.oldest
            self.items, self.history = dict(copy.items), list(copy.history)
            self.daemons, self.crash_records = dict(copy.daemons), dict(copy.crash_records)
            self.cuts += 1
            self.changed.notify_all()

    def has_changed(self, part: FleetPart, after: int) -> bool:
        """Tell whether anything of a part was written or removed after a revision."""
        return bool(self.changes(part, after))

    def changes(self, part: FleetPart, after: int) -> list[ViewItem]:
        """Return what of a part was written or removed after a revision."""
        return [
            each for each in self.history if each.revision > after and part_of(each.kind) is part
        ]

    def forget_waiting_watches(self) -> None:
        """Never answer the watches that wait now, as where their connections lead nowhere."""
        self.forgotten += 1

    async def cut_watches(self) -> None:
        """End every waiting watch without an answer."""
        async with self.changed:
            self.cuts += 1
            self.changed.notify_all()

    def open_for(self, name: str) -> "StoreView":
        return StoreView(self, name)


def _in_era(items: Iterable[ViewItem], era: int) -> tuple[ViewItem, ...]:
    """Return items as a store reports them, which states its present era for all of them."""
    return tuple(msgspec.structs.replace(each, era=era) for each in items)


class StoreView:
    """The store as one daemon sees it."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store
        self._name = name
        self.era = StoreEra()

    def _check(self) -> None:
        self._store.calls_by_name[self._name] += 1
        self.era.note(self._store.era)
        if self._name in self._store.turned_away:
            raise PlatformUnavailableError("turned away")

    async def read(self, part: FleetPart) -> FleetItems:
        self._check()
        found = [each for each in self._store.items.values() if part_of(each.kind) is part]
        return FleetItems(
            _in_era(found, self._store.era), self._store.revision, (), self._store.era
        )

    async def watch(self, part: FleetPart, after: int, wait_seconds: float) -> FleetItems:
        self._check()
        store = self._store
        if store.is_silent:
            await asyncio.sleep(wait_seconds)
            raise PlatformUnavailableError("no answer in time")
        cuts, forgotten = store.cuts, store.forgotten
        told_from = after
        if (self._name, part) in store.deaf:
            store.deaf.discard((self._name, part))
            told_from = store.revision

        def arrived() -> bool:
            if store.forgotten != forgotten:
                return False
            if told_from > after and not store.has_changed(part, told_from):
                return store.cuts != cuts
            is_over = store.cuts != cuts or self._is_refused(after)
            return is_over or store.has_changed(part, after)

        try:
            async with asyncio.timeout(wait_seconds), store.changed:
                await store.changed.wait_for(arrived)
        except TimeoutError:
            return FleetItems((), after, (), store.era)
        return self._told(part, after, is_cut=store.cuts != cuts)

    def _told(self, part: FleetPart, after: int, is_cut: bool) -> FleetItems:
        self._check()
        if is_cut:
            raise PlatformUnavailableError("the watch was cut")
        if self._has_lost(after):
            raise HistoryLostError("history lost")
        found = self._store.changes(part, after)
        found = _in_era(found, self._store.era)
        return FleetItems(found, found[-1].revision, (), self._store.era)

    def _is_refused(self, after: int) -> bool:
        """Tell whether a watch is to end without an answer: its history or its store is gone."""
        return self._has_lost(after) or self._name in self._store.turned_away

    def _has_lost(self, after: int) -> bool:
        """Tell whether a watch cannot start after a revision, which the store may not have yet."""
        return not self._store.oldest <= after <= self._store.revision

    async def probe(self, seconds: float) -> None:
        self._check()
        if self._store.is_silent:
            await asyncio.sleep(seconds)
            raise PlatformUnavailableError("no answer in time")

    async def grant_lease(self, life_seconds: float) -> int:
        self._check()
        return 1

    async def renew_lease(self, lease: int) -> None:
        self._check()
        if self._name not in self._store.daemons:
            raise LeaseEndedError("the lease is over")

    async def end_lease(self, lease: int) -> None:
        self._check()
        self._store.daemons.pop(self._name, None)

    async def register(self, daemon: RegisteredDaemon, lease: int) -> None:
        self._check()
        self._store.daemons[self._name] = daemon

    async def registered_daemons(self) -> tuple[RegisteredDaemon, ...]:
        self._check()
        return tuple(self._store.daemons.values())

    async def crash_records(self) -> StoredCrashRecords:
        self._check()
        era = self._store.era
        records = self._store.crash_records.values()
        found = tuple(msgspec.structs.replace(each, era=era) for each in records)
        return StoredCrashRecords(found, era=era)

    async def write_crash_record(self, stored: StoredCrashRecord) -> None:
        self._check()
        self._check_revision(stored)
        self._store.revision += 1
        written = StoredCrashRecord(stored.record, self._store.revision, self._store.era)
        self._store.crash_records[stored.record.identity] = written

    async def remove_crash_record(self, stored: StoredCrashRecord) -> None:
        self._check()
        self._check_revision(stored)
        del self._store.crash_records[stored.record.identity]

    def _check_revision(self, stored: StoredCrashRecord) -> None:
        if stored.era != self._store.era:
            raise RecordChangedError("the store was restored since the record was read")
        known = self._store.crash_records.get(stored.record.identity)
        if stored.revision != (known.revision if known is not None else 0):
            raise RecordChangedError("the record has changed")
