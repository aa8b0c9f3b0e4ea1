"""Stores the requests during which back-end processes ended, as observed by all daemons.

See :mod:`kitekeel_steering.crash_verdicts` for the quarantine rules.

Daemons exchange records and converge to the same state: merging records in any order, or more than
once, gives the same result, because a record only grows, first by its epoch and, within an epoch,
by its ends. A record that one daemon removed as expired is not restored by another, since its age
is counted from the last end, which is part of the record.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from kitekeel_steering.answer_counts import AnswerCounts
from kitekeel_steering.clock import Clock
from kitekeel_steering.crash_records import MAX_TRIES, CrashRecord
from kitekeel_steering.crash_verdicts import find_causes, may_be_cause
from kitekeel_steering.request_identity import target_of

# Recent answers from which a request is considered frequently answered. A request that crashes
# back ends is not expected to reach this count.
_MIN_ANSWERS = 3
# Delay of the first try after the last end. If the request did not cause the ends, the answer to
# the try releases it; if it did, the try costs one more back end.
_FIRST_TRY_AFTER_SECONDS = 10.0
_FIRST_TRY = "after a while"
# A request with one or two old ends was probably unrelated to them; a quarantined request is
# released after a day.
_SUSPECT_LIFE_SECONDS = 600.0
_QUARANTINE_LIFE_SECONDS = 86_400.0
# Records with a later time are rejected. Clocks of daemons differ by seconds at most.
_MAX_AHEAD_SECONDS = 60.0
# A record takes 0.4 KB of memory.
_MAX_RECORDS = 4_000


class LedgerChange(msgspec.Struct, frozen=True):
    """A record that was updated, or whose request was quarantined or released by other records.

    Attributes:
        was_quarantined: whether the request was quarantined before the change.
        source: origin of the change: ``own``, ``operator``, ``store`` or ``peer ADDRESS``.
    """

    record: CrashRecord
    is_quarantined: bool
    was_quarantined: bool
    source: str


OWN = "own"
OPERATOR = "operator"


class CrashLedger:
    """The crash records known to one daemon.

    Args:
        clock: its wall clock determines the age of records.
        on_change: called with each record that was updated or whose quarantine state changed.
    """

    def __init__(
        self, clock: Clock, on_change: Callable[[LedgerChange], None] = lambda _: None
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._answers = AnswerCounts(clock)
        self._records: dict[str, CrashRecord] = {}
        self._targets: Counter[str] = Counter()
        self._quarantined: frozenset[str] = frozenset()

    def may_have_record(self, target: str) -> bool:
        """Return whether a request with this target may have a record.

        A cheap check for the request path; the answer is mostly ``False``.
        """
        return target in self._targets

    def is_empty(self) -> bool:
        """Return whether there are no records."""
        return not self._records

    def has_suspects(self) -> bool:
        """Return whether any request has ends and has not been found harmless since."""
        return any(each.ends for each in self._records.values())

    def needs_comparison(self) -> bool:
        """Return whether the records must be compared regularly with those of other daemons."""
        return self.has_suspects()

    def has_urgent_records(self) -> bool:
        """Return whether any request is quarantined; most suspects are unrelated to the crash."""
        return bool(self.quarantined())

    def is_quarantined(self, identity: str) -> bool:
        """Return whether the request must not be sent to back ends."""
        return identity in self._quarantined

    def is_suspect(self, identity: str) -> bool:
        """Return whether processes have ended while running the request since its last answer."""
        record = self._records.get(identity)
        return record is not None and bool(record.ends)

    def find(self, identity: str) -> CrashRecord | None:
        """Return the record of a request, or ``None``."""
        return self._records.get(identity)

    def records(self) -> tuple[CrashRecord, ...]:
        """Return all records that have not expired."""
        self._remove_expired()
        return tuple(self._records.values())

    def quarantined(self) -> tuple[CrashRecord, ...]:
        """Return the records of the quarantined requests."""
        return tuple(each for each in self.records() if each.identity in self._quarantined)

    def digest(self) -> int:
        """Return a hash of all records, equal on daemons with equal records; 0 if none exist."""
        value = 0
        for each in self.records():
            value ^= xxhash.xxh64_intdigest(msgspec.msgpack.encode(each))
        return value

    def is_old(self, record: CrashRecord) -> bool:
        """Return whether the record has expired, counted from its last end."""
        is_candidate = may_be_cause(record)
        life = _QUARANTINE_LIFE_SECONDS if is_candidate else _SUSPECT_LIFE_SECONDS
        return self._clock.wall() - record.last_end_at > life

    def note_end(self, identity: str, service: str, process: str, version: str) -> None:
        """Record that a back-end process ended while running the request."""
        known = self._records.get(identity) or CrashRecord(identity, service)
        found = CrashRecord(
            identity,
            service,
            known.epoch,
            (process,),
            (version,),
            (),
            self._clock.wall(),
            self._answers.count(identity) >= _MIN_ANSWERS,
        )
        self._merge_records([known.merged(found)], OWN)

    def note_answered(self, identity: str) -> None:
        """Record that a back end answered the request completely, which clears its ends."""
        self._answers.note(identity)
        record = self._records.get(identity)
        if record is not None and record.ends:
            self._merge_records([record.cleared()], OWN)

    def release(self, identity: str) -> bool:
        """Release a request on behalf of an operator; return whether it had any recorded ends."""
        record = self._records.get(identity)
        if record is None or not record.ends:
            return False
        self._merge_records([record.cleared()], OPERATOR)
        return True

    def merge(self, records: Iterable[CrashRecord], source: str) -> None:
        """Merge records received from another daemon or from the store."""
        self._merge_records(records, source)

    def _merge_records(self, records: Iterable[CrashRecord], source: str) -> None:
        updated: list[CrashRecord] = []
        latest = self._clock.wall() + _MAX_AHEAD_SECONDS
        for each in records:
            known = self._records.get(each.identity)
            merged = each if known is None else known.merged(each)
            if merged == known or self.is_old(merged) or merged.last_end_at > latest:
                continue
            self._store(merged)
            updated.append(merged)
        if not updated:
            return
        former = self._quarantined
        self._evict_excess()
        self._update_quarantined()
        states = (self._quarantined, former)
        changed = {each.identity for each in updated} | (former ^ self._quarantined)
        for identity in sorted(changed & self._records.keys()):
            record = self._records[identity]
            is_quarantined, was_quarantined = (identity in each for each in states)
            self._on_change(LedgerChange(record, is_quarantined, was_quarantined, source))

    def _store(self, record: CrashRecord) -> None:
        if record.identity not in self._records:
            self._targets[target_of(record.identity)] += 1
        self._records[record.identity] = record

    def _remove(self, identity: str) -> None:
        del self._records[identity]
        target = target_of(identity)
        self._targets[target] -= 1
        if not self._targets[target]:
            del self._targets[target]

    def _update_quarantined(self) -> None:
        self._quarantined = find_causes(self._records.values())

    def _evict_excess(self) -> None:
        """Remove the records with the fewest and oldest ends when there are too many."""
        excess = len(self._records) - _MAX_RECORDS
        if excess <= 0:
            return
        ordered = sorted(self._records.values(), key=lambda r: (len(r.ends), r.last_end_at))
        for each in ordered[:excess]:
            self._remove(each.identity)

    def _remove_expired(self) -> None:
        old = [each.identity for each in self._records.values() if self.is_old(each)]
        for identity in old:
            self._remove(identity)
        if old:
            self._update_quarantined()


class CarefulTry(msgspec.Struct, frozen=True):
    """A single send of a quarantined request, allowed once in the whole fleet.

    Attributes:
        reason: why the try is allowed, as stored in :attr:`CrashRecord.tries`.
        version: the only software version that the request may be sent to; ``None`` for any.
    """

    reason: str
    version: str | None = None


def find_try(record: CrashRecord, versions: Iterable[str], now: float) -> CarefulTry | None:
    """Return the next careful try of a quarantined request, or ``None`` if none is allowed.

    Args:
        record: the record of the request.
        versions: the software versions of the back ends that the request may be sent to.
        now: wall-clock time in seconds.
    """
    if len(record.tries) >= MAX_TRIES:
        return None
    if _FIRST_TRY not in record.tries and now - record.last_end_at >= _FIRST_TRY_AFTER_SECONDS:
        return CarefulTry(_FIRST_TRY)
    known = {*(f"version {each}" for each in record.versions), *record.tries}
    untried = sorted(each for each in versions if f"version {each}" not in known)
    return CarefulTry(f"version {untried[0]}", untried[0]) if untried else None
