"""Keeps the records of requests that end back ends in the platform's store, for daemons that start.

The daemons tell each other (``kitekeel_peers.crash_exchange``); the store is for the time after all
of them were lost together. A record is written over the revision that was read, merged with it.
So two daemons that write at once, or a write that is done late, lose nothing: the one that comes
second is refused, reads what the other wrote, and merges again.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_platform.fleet_store import (
    DocumentFinding,
    FleetStore,
    RecordChangedError,
    StoredCrashRecord,
)
from kitekeel_steering.crash_ledger import CrashLedger, LedgerChange
from kitekeel_steering.crash_records import CrashRecord
from kitekeel_steering.errors import PlatformError

_NAME = "store/crash-records"
_SOURCE = "store"
_RETRY_SECONDS = 1.0
# Makes up for a daemon that was lost before it had written, and drops what is too old.
_REVIEW_SECONDS = 20.0
# The daemon that found the last end writes at once; by then the others find it written.
_MIN_WAIT_FOR_OTHERS_SECONDS = 1.0
_MAX_WAIT_FOR_OTHERS_SECONDS = 3.0
_MAX_WRITES_OF_ONE_REVIEW = 50
# Ends often come in series; one review writes several.
_MIN_PAUSE_SECONDS = 0.5

DependencyListener = Callable[[str, bool, str], None]


class CrashRecordSync:
    """The task that keeps the store and one daemon's ledger in step.

    Args:
        writes_for_others: tells whether this daemon is to write also what others have found.
        on_dependency: told when the store begins to fail, why, and when it answers again.
        on_finding: told of each document that cannot be read.
        on_failed_claim: told why a claim was not written.
    """

    def __init__(
        self,
        store: FleetStore,
        ledger: CrashLedger,
        writes_for_others: Callable[[], bool],
        generator: random.Random,
        on_dependency: DependencyListener,
        on_finding: Callable[[DocumentFinding], None],
        on_failed_claim: Callable[[str], None],
    ) -> None:
        self._on_finding = on_finding
        self._on_failed_claim = on_failed_claim
        self._store = store
        self._ledger = ledger
        self._writes_for_others = writes_for_others
        self._random = generator
        self._on_dependency = on_dependency
        self._is_failing = False
        self._stored: frozenset[str] = frozenset()
        self._unreadable: frozenset[str] = frozenset()
        self._wanted = asyncio.Event()

    async def run(self) -> None:
        """Read once, then write what is quarantined here, until cancelled."""
        while True:
            try:
                await self._review()
            except RecordChangedError:
                # Another daemon wrote meanwhile; its record is merged next.
                await asyncio.sleep(self._random.uniform(0.0, _RETRY_SECONDS))
                continue
            except PlatformError as error:
                self._note(error.message)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._note("")
            await self._wait()

    def note_found(self, change: LedgerChange) -> None:
        """Note what this daemon or its operator has found."""
        if self._must_last(change):
            self._wanted.set()

    def note_heard(self, change: LedgerChange) -> None:
        """Note what another daemon told, which writes it itself if it must last."""
        if self._must_last(change) and self._writes_for_others():
            seconds = self._random.uniform(
                _MIN_WAIT_FOR_OTHERS_SECONDS, _MAX_WAIT_FOR_OTHERS_SECONDS
            )
            asyncio.get_running_loop().call_later(seconds, self._wanted.set)

    def _must_last(self, change: LedgerChange) -> bool:
        """Tell whether the store is concerned; of mere suspects it knows nothing."""
        return change.is_quarantined or change.record.identity in self._stored

    async def _wait(self) -> None:
        """Wait until there is something to write, or for the next review of what is stored."""
        await asyncio.sleep(_MIN_PAUSE_SECONDS)
        must_review = bool(self._stored) and self._writes_for_others()
        try:
            await asyncio.wait_for(self._wanted.wait(), _REVIEW_SECONDS if must_review else None)
        except TimeoutError:
            pass
        self._wanted.clear()

    async def _review(self) -> None:
        stored = await self._read()
        changes = [each for each in self._wanted_records(stored) if self._is_news(each, stored)]
        for record in changes[:_MAX_WRITES_OF_ONE_REVIEW]:
            former = stored.get(record.identity)
            revision = former.revision if former is not None else 0
            await self._store.write_crash_record(StoredCrashRecord(record, revision))
        for each in stored.values():
            if self._ledger.is_old(each.record):
                await self._store.remove_crash_record(each)
        if len(changes) > _MAX_WRITES_OF_ONE_REVIEW:
            self._wanted.set()

    async def claim_try(self, identity: str, reason: str) -> bool:
        """Claim a careful try, which all daemons together have once for a reason.

        Where the store does not answer, or another daemon was first, there is none here. A claim
        that was written without an answer is used by nobody.
        """
        try:
            stored = await self._read()
            record = self._ledger.find(identity)
            if record is None or reason in record.tries:
                return False
            tried = record.with_try(reason)
            if reason not in tried.tries:
                return False
            former = stored.get(identity)
            revision = former.revision if former is not None else 0
            await self._store.write_crash_record(StoredCrashRecord(tried, revision))
        except PlatformError as error:
            self._on_failed_claim(error.message)
            return False
        self._ledger.merge([tried], _SOURCE)
        return True

    async def _read(self) -> dict[str, StoredCrashRecord]:
        found = await self._store.crash_records()
        for finding in found.findings:
            self._on_finding(finding)
        self._unreadable = frozenset(each.name for each in found.findings)
        self._stored = frozenset(each.record.identity for each in found.records)
        self._ledger.merge((each.record for each in found.records), _SOURCE)
        return {each.record.identity: each for each in found.records}

    def _wanted_records(self, stored: dict[str, StoredCrashRecord]) -> list[CrashRecord]:
        """Return what the store is to have: what is quarantined, and what became of the rest.

        Records that cannot be read are another version's, and are left alone.
        """
        quarantined = {each.identity for each in self._ledger.quarantined()}
        wanted = {*quarantined, *stored} - self._unreadable
        found = (self._ledger.find(each) for each in sorted(wanted))
        return [each for each in found if each is not None]

    def _is_news(self, record: CrashRecord, stored: dict[str, StoredCrashRecord]) -> bool:
        former = stored.get(record.identity)
        return former is None or former.record != record

    def _note(self, failure: str) -> None:
        is_failing = bool(failure)
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            self._on_dependency(_NAME, not is_failing, failure)
