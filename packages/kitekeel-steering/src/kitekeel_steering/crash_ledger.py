"""Keeps which requests end the back ends that run them, as all daemons together have seen it.

See :mod:`kitekeel_steering.crash_verdicts` for the quarantine rules.

Daemons merge each other's records in any order, also twice, and come to the same: a record only
grows, first by its epoch and within that by its ends. What one daemon has forgotten as too old the
others do not bring back, since the age goes by the last end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from kitekeel_steering.answer_counts import AnswerCounts
from kitekeel_steering.clock import Clock
from kitekeel_steering.crash_records import MOST_TRIES, CrashRecord
from kitekeel_steering.crash_verdicts import find_causes, may_be_cause
from kitekeel_steering.request_identity import target_of

# A request that ends back ends is not expected to be answered this often.
_LEAST_ANSWERS = 3
# A request that was quarantined for ends that it did not cause is released by the answer to one
# try, which costs one back end more where it did.
_FIRST_TRY_AFTER_SECONDS = 10.0
_FIRST_TRY = "after a while"
# A request that ended one or two processes long ago was probably beside; one that is quarantined
# gets another chance after a day.
_SUSPECT_LIFE_SECONDS = 600.0
_QUARANTINE_LIFE_SECONDS = 86_400.0
# Clocks of daemons differ by seconds at most.
_MOST_AHEAD_SECONDS = 60.0
# 0.4 KB each in memory.
_MOST_RECORDS = 4_000


class LedgerChange(msgspec.Struct, frozen=True):
    """A record that has grown, or of which others tell now whether it is quarantined.

    Attributes:
        was_quarantined: whether it was before.
        source: whose news it was: ``own``, ``operator``, ``store`` or ``peer ADDRESS``.
    """

    record: CrashRecord
    is_quarantined: bool
    was_quarantined: bool
    source: str


OWN = "own"
OPERATOR = "operator"


class CrashLedger:
    """The records of one daemon.

    Args:
        clock: its wall clock tells the ages of records.
        on_change: called with each record that has grown or is judged otherwise than before.
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

    def may_know(self, target: str) -> bool:
        """Tell whether a request with this target may have a record; cheap, and mostly no."""
        return target in self._targets

    def is_empty(self) -> bool:
        """Tell whether there is no record at all."""
        return not self._records

    def has_suspects(self) -> bool:
        """Tell whether there is a request that was not found harmless since its last end."""
        return any(each.ends for each in self._records.values())

    def needs_comparison(self) -> bool:
        """Return whether the records must be compared with other daemons' regularly."""
        return self.has_suspects()

    def has_urgent_records(self) -> bool:
        """Return whether any request is quarantined; most suspects are unrelated to the crash."""
        return bool(self.quarantined())

    def is_quarantined(self, identity: str) -> bool:
        """Tell whether the request is not to be sent to back ends."""
        return identity in self._quarantined

    def is_suspect(self, identity: str) -> bool:
        """Tell whether processes have ended under the request since it was last answered."""
        record = self._records.get(identity)
        return record is not None and bool(record.ends)

    def find(self, identity: str) -> CrashRecord | None:
        """Return a request's record."""
        return self._records.get(identity)

    def records(self) -> tuple[CrashRecord, ...]:
        """Return every record that is not too old."""
        self._forget_old()
        return tuple(self._records.values())

    def quarantined(self) -> tuple[CrashRecord, ...]:
        """Return the records of the requests that are not to be sent to back ends."""
        return tuple(each for each in self.records() if each.identity in self._quarantined)

    def digest(self) -> int:
        """Return a hash over all records, the same at daemons that know the same; 0 for none."""
        value = 0
        for each in self.records():
            value ^= xxhash.xxh64_intdigest(msgspec.msgpack.encode(each))
        return value

    def is_old(self, record: CrashRecord) -> bool:
        """Tell whether the last end of a record was so long ago that it does not count."""
        is_accused = may_be_cause(record)
        life = _QUARANTINE_LIFE_SECONDS if is_accused else _SUSPECT_LIFE_SECONDS
        return self._clock.wall() - record.last_end_at > life

    def note_end(self, identity: str, service: str, process: str, version: str) -> None:
        """Note that a back end's process ended while it ran the request."""
        known = self._records.get(identity) or CrashRecord(identity, service)
        found = CrashRecord(
            identity,
            service,
            known.epoch,
            (process,),
            (version,),
            (),
            self._clock.wall(),
            self._answers.count(identity) >= _LEAST_ANSWERS,
        )
        self._take([known.merged(found)], OWN)

    def note_answered(self, identity: str) -> None:
        """Note that a back end answered the request and lived."""
        self._answers.note(identity)
        record = self._records.get(identity)
        if record is not None and record.ends:
            self._take([record.cleared()], OWN)

    def release(self, identity: str) -> bool:
        """Release a request for an operator; tell whether there was a record of ends."""
        record = self._records.get(identity)
        if record is None or not record.ends:
            return False
        self._take([record.cleared()], OPERATOR)
        return True

    def merge(self, records: Iterable[CrashRecord], source: str) -> None:
        """Take over what another daemon or the store knows."""
        self._take(records, source)

    def _take(self, records: Iterable[CrashRecord], source: str) -> None:
        grown: list[CrashRecord] = []
        latest = self._clock.wall() + _MOST_AHEAD_SECONDS
        for each in records:
            known = self._records.get(each.identity)
            merged = each if known is None else known.merged(each)
            if merged == known or self.is_old(merged) or merged.last_end_at > latest:
                continue
            self._keep(merged)
            grown.append(merged)
        if not grown:
            return
        former = self._quarantined
        self._bound()
        self._judge()
        verdicts = (self._quarantined, former)
        changed = {each.identity for each in grown} | (former ^ self._quarantined)
        for identity in sorted(changed & self._records.keys()):
            record = self._records[identity]
            is_quarantined, was_quarantined = (identity in each for each in verdicts)
            self._on_change(LedgerChange(record, is_quarantined, was_quarantined, source))

    def _keep(self, record: CrashRecord) -> None:
        if record.identity not in self._records:
            self._targets[target_of(record.identity)] += 1
        self._records[record.identity] = record

    def _drop(self, identity: str) -> None:
        del self._records[identity]
        target = target_of(identity)
        self._targets[target] -= 1
        if not self._targets[target]:
            del self._targets[target]

    def _judge(self) -> None:
        self._quarantined = find_causes(self._records.values())

    def _bound(self) -> None:
        """Drop the least suspect and oldest beyond the bound, so that many cost no others."""
        excess = len(self._records) - _MOST_RECORDS
        if excess <= 0:
            return
        ordered = sorted(self._records.values(), key=lambda r: (len(r.ends), r.last_end_at))
        for each in ordered[:excess]:
            self._drop(each.identity)

    def _forget_old(self) -> None:
        old = [each.identity for each in self._records.values() if self.is_old(each)]
        for identity in old:
            self._drop(identity)
        if old:
            self._judge()


class CarefulTry(msgspec.Struct, frozen=True):
    """A send that a quarantined request may have, once in the whole fleet.

    Attributes:
        reason: what it is allowed for, as :attr:`CrashRecord.tries` keeps it.
        version: the only software version it may be sent to; ``None`` for any.
    """

    reason: str
    version: str | None = None


def find_try(record: CrashRecord, versions: Iterable[str], now: float) -> CarefulTry | None:
    """Return the next try of a quarantined request, if there is a reason for one.

    Args:
        record: what is known of it.
        versions: the software versions of the back ends that it may go to.
        now: wall-clock time in seconds.
    """
    if len(record.tries) >= MOST_TRIES:
        return None
    if _FIRST_TRY not in record.tries and now - record.last_end_at >= _FIRST_TRY_AFTER_SECONDS:
        return CarefulTry(_FIRST_TRY)
    known = {*(f"version {each}" for each in record.versions), *record.tries}
    untried = sorted(each for each in versions if f"version {each}" not in known)
    return CarefulTry(f"version {untried[0]}", untried[0]) if untried else None
