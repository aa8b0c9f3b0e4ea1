"""Keeps which requests end the back ends that run them, as all daemons together have seen it.

A request is quarantined once three processes have ended under it and it was never answered in
between. When a process ends, everything that ran on it is suspect, so there are two ways out for
those that were only beside:

* A complete answer shows that a request is harmless; its earlier ends do not count any more.
* One request explains the end of a process. Those with the most ends are judged first, and what is
  left for the others must still be two ends. So a request that was wrongly taken for the cause is
  released as soon as the true one has ended one process more.

A request with several recent complete answers before an end is probably harmless. It is judged
last, only by the ends that no other suspect with two or more ends and without such answers
explains, and needs twice as many of them. Otherwise, when many requests end back ends at the same
time, a frequent harmless request reaches its third end before all of them have, and is quarantined
for ends that they caused.

Daemons merge each other's records in any order, also twice, and come to the same: a record only
grows, first by its epoch and within that by its ends. What one daemon has forgotten as too old the
others do not bring back, since the age goes by the last end.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
import xxhash

from kitekeel_steering.answer_counts import AnswerCounts
from kitekeel_steering.clock import Clock
from kitekeel_steering.request_identity import target_of

ENDS_UNTIL_QUARANTINE = 3
_LEAST_UNEXPLAINED_ENDS = 2
ENDS_UNTIL_QUARANTINE_IF_ANSWERED = 6
# A request that ends back ends is not expected to be answered this often.
_LEAST_ANSWERS = 3
# An unanswered suspect with fewer ends does not explain the ends of answered requests.
_LEAST_EXPLAINING_ENDS = 2
# A request that was quarantined for ends that it did not cause is released by the answer to one
# try, which costs one back end more where it did.
_FIRST_TRY_AFTER_SECONDS = 10.0
_FIRST_TRY = "after a while"
# By all daemons together, until an operator releases the request or it is answered.
_MOST_TRIES = 2
# More ends decide nothing.
_MOST_ENDS = 16
_MOST_VERSIONS = 16
# A request that ended one or two processes long ago was probably beside; one that is quarantined
# gets another chance after a day.
_SUSPECT_LIFE_SECONDS = 600.0
_QUARANTINE_LIFE_SECONDS = 86_400.0
# Clocks of daemons differ by seconds at most.
_MOST_AHEAD_SECONDS = 60.0
# 0.4 KB each in memory.
_MOST_RECORDS = 4_000

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_Names = Annotated[tuple[_Name, ...], msgspec.Meta(max_length=_MOST_ENDS)]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one request under which back ends have ended.

    Attributes:
        identity: of the request, see :mod:`kitekeel_steering.request_identity`.
        service: the service whose back ends ended.
        epoch: how often the request was found harmless or released by an operator.
        ends: the processes that ended in this epoch, sorted, each as ``instance/start``.
        versions: their software's versions, sorted.
        tries: what each careful try was allowed for since: a while without it, or a version.
        last_end_at: wall-clock time of the last end in seconds since 1970.
        was_answered: whether a daemon had counted several recent answers when it noted an end.
    """

    identity: _Name
    service: _Name
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)] = 0
    ends: _Names = ()
    versions: _Names = ()
    tries: _Names = ()
    last_end_at: Annotated[float, msgspec.Meta(ge=0.0, lt=1e12)] = 0.0
    was_answered: bool = False

    @property
    def ends_until_quarantine(self) -> int:
        """Return the minimum number of ends for quarantining the request."""
        return ENDS_UNTIL_QUARANTINE_IF_ANSWERED if self.was_answered else ENDS_UNTIL_QUARANTINE

    def merged(self, other: CrashRecord) -> CrashRecord:
        """Return what both know together."""
        if other.epoch != self.epoch:
            return self if self.epoch > other.epoch else other
        return CrashRecord(
            self.identity,
            min(self.service, other.service),
            self.epoch,
            _union(self.ends, other.ends, _MOST_ENDS),
            _union(self.versions, other.versions, _MOST_VERSIONS),
            _union(self.tries, other.tries, _MOST_TRIES),
            max(self.last_end_at, other.last_end_at),
            self.was_answered or other.was_answered,
        )

    def with_try(self, reason: str) -> CrashRecord:
        """Return the record of the request once it may be tried for a reason."""
        tries = _union(self.tries, (reason,), _MOST_TRIES)
        return msgspec.structs.replace(self, tries=tries)

    def cleared(self) -> CrashRecord:
        """Return the record of the request once it was found harmless."""
        return CrashRecord(
            self.identity,
            self.service,
            self.epoch + 1,
            last_end_at=self.last_end_at,
            was_answered=self.was_answered,
        )


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
        is_accused = _may_be_cause(record)
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
        """Find the requests that explain the ends, those with the most ends first."""
        accused = [each for each in self._records.values() if _may_be_cause(each)]
        accused.sort(key=lambda each: (-len(each.ends), each.identity))
        explained: set[str] = set()
        found: set[str] = set()
        for each in accused:
            if each.was_answered:
                continue
            if len(set(each.ends) - explained) >= _LEAST_UNEXPLAINED_ENDS:
                found.add(each.identity)
                explained.update(each.ends)
        answered = [each for each in accused if each.was_answered]
        if answered:
            explained.update(self._ends_explained_by_unanswered())
        for each in answered:
            if len(set(each.ends) - explained) >= each.ends_until_quarantine:
                found.add(each.identity)
                explained.update(each.ends)
        self._quarantined = frozenset(found)

    def _ends_explained_by_unanswered(self) -> set[str]:
        """Return the ends explained by unanswered suspects that have enough of them."""
        suspects = [
            each
            for each in self._records.values()
            if not each.was_answered and len(each.ends) >= _LEAST_EXPLAINING_ENDS
        ]
        return {end for each in suspects for end in each.ends}

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
    if len(record.tries) >= _MOST_TRIES:
        return None
    if _FIRST_TRY not in record.tries and now - record.last_end_at >= _FIRST_TRY_AFTER_SECONDS:
        return CarefulTry(_FIRST_TRY)
    known = {*(f"version {each}" for each in record.versions), *record.tries}
    untried = sorted(each for each in versions if f"version {each}" not in known)
    return CarefulTry(f"version {untried[0]}", untried[0]) if untried else None


def _may_be_cause(record: CrashRecord) -> bool:
    return len(record.ends) >= record.ends_until_quarantine


def _union(some: tuple[str, ...], others: tuple[str, ...], most: int) -> tuple[str, ...]:
    """Return the first names of both in their order, so that the order of merging is no matter."""
    return tuple(sorted({*some, *others})[:most])
