"""Rate limits that back ends advertise in their answers, as known to one daemon.

A limit applies to one process of a back end until an answer advertises another limit or none.
Records from several daemons can be merged; the record with the later stamp wins.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
import xxhash

from kitekeel_steering.events import HybridClock, Stamp

OWN = "own"

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_Rate = Annotated[float, msgspec.Meta(ge=0.0, lt=1e21)]


class LimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit of one process of a back end.

    Attributes:
        instance: the back end's name.
        started_at_ms: the start time of the process, as in its ``BackEndRecord``.
        rate: requests per second from all daemons together; ``None`` if no limit is advertised.
        stamp: when a daemon first received this rate in an answer.
    """

    instance: _Name
    started_at_ms: int
    rate: _Rate | None
    stamp: Stamp

    @property
    def identity(self) -> str:
        """Return the process name that identifies this record."""
        return process_name(self.instance, self.started_at_ms)

    def has_same_limit_as(self, other: LimitRecord) -> bool:
        """Return whether both records have the same limit for the same process."""
        return self.identity == other.identity and self.rate == other.rate


def process_name(instance: str, started_at_ms: int) -> str:
    """Return a name that is unique to one process of a back end."""
    return f"{instance}/{started_at_ms}"


class BackEndLimits:
    """The rate limits known to one daemon; used on one event loop.

    Args:
        clock: stamps the records that this daemon creates from answers.
        is_current: returns whether the process with this name and start time is registered.
        on_change: called with each changed record, the record that it replaces or ``None``, and
            its source, ``own`` or another daemon.
    """

    def __init__(
        self,
        clock: HybridClock,
        is_current: Callable[[str, int], bool],
        on_change: Callable[[LimitRecord, LimitRecord | None, str], None],
    ) -> None:
        self._clock = clock
        self._is_current = is_current
        self._on_change = on_change
        self._records: dict[str, LimitRecord] = {}

    def needs_comparison(self) -> bool:
        """Return whether the records must be compared with other daemons' regularly."""
        return bool(self._records)

    def has_urgent_records(self) -> bool:
        """Return whether any back end has a rate limit."""
        return any(each.rate is not None for each in self._records.values())

    def current_record(self, instance: str) -> LimitRecord | None:
        """Return the record of a back end's current process, or ``None`` if there is none."""
        return self._records.get(instance)

    def rate(self, instance: str) -> float | None:
        """Return a back end's limit in requests per second, or ``None`` if it has none."""
        record = self._records.get(instance)
        return record.rate if record is not None else None

    def in_force(self) -> list[LimitRecord]:
        """Return the records that have a limit."""
        return [each for each in self._records.values() if each.rate is not None]

    def note_answer(self, instance: str, started_at_ms: int, rate: float | None) -> None:
        """Record the limit in an answer from a back end, if it has changed."""
        if self.rate(instance) == rate or not self._is_current(instance, started_at_ms):
            return
        self._keep(LimitRecord(instance, started_at_ms, rate, self._clock.tick()), OWN)

    def merge(self, records: Iterable[LimitRecord], source: str) -> None:
        """Merge records from another daemon; the later stamp wins."""
        for each in records:
            known = self._records.get(each.instance)
            if known is not None and known.stamp >= each.stamp:
                continue
            if self._clock.observe(each.stamp) < each.stamp:
                # Implausible stamp: no later record from another daemon could replace this one.
                continue
            if not self._is_current(each.instance, each.started_at_ms):
                continue
            if known is not None and known.has_same_limit_as(each):
                # Several daemons may learn the same limit; avoids announcing it once for each.
                self._records[each.instance] = each
            else:
                self._keep(each, source)

    def forget(self, instance: str) -> None:
        """Discard the limit of a back end that was removed or restarted."""
        self._records.pop(instance, None)

    def find(self, identity: str) -> LimitRecord | None:
        """Return the record of a process, or ``None`` if there is none."""
        record = self._records.get(identity.rpartition("/")[0])
        return record if record is not None and record.identity == identity else None

    def records(self) -> tuple[LimitRecord, ...]:
        """Return all records, including those of back ends that no longer have a limit."""
        return tuple(self._records.values())

    def digest(self) -> int:
        """Return an order-independent hash of all records, for comparing daemons; 0 if empty."""
        value = 0
        for each in self._records.values():
            # Excludes the stamp, which differs when several daemons learn the same limit.
            value ^= xxhash.xxh64_intdigest(msgspec.msgpack.encode((each.identity, each.rate)))
        return value

    def _keep(self, record: LimitRecord, source: str) -> None:
        previous = self._records.get(record.instance)
        self._records[record.instance] = record
        self._on_change(record, previous, source)
