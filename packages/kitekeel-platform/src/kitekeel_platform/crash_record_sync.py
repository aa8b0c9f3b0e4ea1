"""Persists the records of requests that crash back ends in the platform's store.

Running daemons exchange the records directly (``kitekeel_peers.crash_exchange``); the store is
needed by daemons that start after all of them were lost at once. A write merges the record with the
stored one and succeeds only if the stored revision is still the one that was read, in the same era
of the store. Concurrent or delayed writes therefore lose nothing: the later one is rejected, reads
the other's record, and merges again. What a restored store has lost is written again.
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

_DEPENDENCY_NAME = "store/crash-records"
_SOURCE = "store"
_RETRY_SECONDS = 1.0
# The periodic review writes what a failed daemon could not write, and removes expired records.
_REVIEW_SECONDS = 20.0
# The daemon that detected the latest crash writes at once. The others wait this long, so that they
# normally find it written.
_MIN_WAIT_FOR_OTHERS_SECONDS = 1.0
_MAX_WAIT_FOR_OTHERS_SECONDS = 3.0
_MAX_WRITES_PER_REVIEW = 50
# Crashes often come in bursts; one review writes several records.
_MIN_PAUSE_SECONDS = 0.5

DependencyListener = Callable[[str, bool, str], None]


class CrashRecordSync:
    """The task that synchronises the store with one daemon's crash ledger.

    Args:
        writes_for_others: returns whether this daemon also writes what other daemons have found.
        on_dependency: called when the store begins to fail, with the reason, and when it answers
            again.
        on_finding: called with each document that cannot be read.
        on_failed_claim: called with the reason why a claim was not written.
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
        self._read_in_era = 0
        self._write_requested = asyncio.Event()
        store.era.add_listener(self._on_era)

    async def run(self) -> None:
        """Read the records once, then write this daemon's quarantined ones, until cancelled."""
        while True:
            try:
                await self._review()
            except RecordChangedError:
                # Another daemon wrote in between; the next review merges its record.
                await asyncio.sleep(self._random.uniform(0.0, _RETRY_SECONDS))
                continue
            except PlatformError as error:
                self._report_state(error.message)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._report_state("")
            await self._wait()

    def on_local_change(self, change: LedgerChange) -> None:
        """Schedule a write after a change made by this daemon or its operator."""
        if self._must_persist(change):
            self._write_requested.set()

    def on_remote_change(self, change: LedgerChange) -> None:
        """Schedule a delayed write after a change reported by another daemon.

        That daemon normally writes the change itself.
        """
        if self._must_persist(change) and self._writes_for_others():
            self._write_later()

    def _on_era(self, former: int, _era: int) -> None:
        """Schedule a delayed review, as a restored store may have lost records."""
        is_affected = bool(self._stored or self._ledger.quarantined())
        if former and is_affected and self._writes_for_others():
            self._write_later()

    def _must_persist(self, change: LedgerChange) -> bool:
        """Return whether the change belongs in the store, which holds no mere suspects."""
        return change.is_quarantined or change.record.identity in self._stored

    def _write_later(self) -> None:
        seconds = self._random.uniform(_MIN_WAIT_FOR_OTHERS_SECONDS, _MAX_WAIT_FOR_OTHERS_SECONDS)
        asyncio.get_running_loop().call_later(seconds, self._write_requested.set)

    async def _wait(self) -> None:
        """Wait until a write is requested or the next review of the stored records is due."""
        await asyncio.sleep(_MIN_PAUSE_SECONDS)
        must_review = bool(self._stored) and self._writes_for_others()
        try:
            await asyncio.wait_for(
                self._write_requested.wait(), _REVIEW_SECONDS if must_review else None
            )
        except TimeoutError:
            pass
        self._write_requested.clear()

    async def _review(self) -> None:
        stored = await self._read()
        changes = [
            each
            for each in self._records_to_store(stored)
            if self._differs_from_stored(each, stored)
        ]
        for record in changes[:_MAX_WRITES_PER_REVIEW]:
            former = stored.get(record.identity)
            revision = former.revision if former is not None else 0
            changed = StoredCrashRecord(record, revision, self._read_in_era)
            await self._store.write_crash_record(changed)
        for each in stored.values():
            if self._ledger.is_old(each.record):
                await self._store.remove_crash_record(each)
        if len(changes) > _MAX_WRITES_PER_REVIEW:
            self._write_requested.set()

    async def claim_try(self, identity: str, reason: str) -> bool:
        """Claim a careful try, of which there is one per reason across all daemons.

        Returns false if the store does not answer or another daemon claimed it first. If the answer
        to a claim's write is lost, no daemon uses that claim.
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
            claim = StoredCrashRecord(tried, revision, self._read_in_era)
            await self._store.write_crash_record(claim)
        except PlatformError as error:
            self._on_failed_claim(error.message)
            return False
        self._ledger.merge([tried], _SOURCE)
        return True

    async def _read(self) -> dict[str, StoredCrashRecord]:
        found = await self._store.crash_records()
        for finding in found.findings:
            self._on_finding(finding)
        self._read_in_era = found.era
        self._unreadable = frozenset(each.name for each in found.findings)
        self._stored = frozenset(each.record.identity for each in found.records)
        self._ledger.merge((each.record for each in found.records), _SOURCE)
        return {each.record.identity: each for each in found.records}

    def _records_to_store(self, stored: dict[str, StoredCrashRecord]) -> list[CrashRecord]:
        """Return the records the store should hold: quarantined ones, and updates of stored ones.

        Unreadable records were written by another software version and are left unchanged.
        """
        quarantined = {each.identity for each in self._ledger.quarantined()}
        wanted = {*quarantined, *stored} - self._unreadable
        found = (self._ledger.find(each) for each in sorted(wanted))
        return [each for each in found if each is not None]

    def _differs_from_stored(
        self, record: CrashRecord, stored: dict[str, StoredCrashRecord]
    ) -> bool:
        former = stored.get(record.identity)
        return former is None or former.record != record

    def _report_state(self, failure: str) -> None:
        is_failing = bool(failure)
        if is_failing != self._is_failing:
            self._is_failing = is_failing
            self._on_dependency(_DEPENDENCY_NAME, not is_failing, failure)
