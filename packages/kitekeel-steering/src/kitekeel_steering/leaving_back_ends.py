"""Back ends that announced in their answers that they are about to stop.

A back end may announce it before its record in the store says so, or while the store is out of
reach. The announcement holds for one process until its end: neither a record that still says
``ready`` nor the removal of the record cancels it. So the announcements of all daemons can be
merged without any order.

A process that announces its end has replaced all earlier ones of its back end. A record of an
earlier process, which may still be registered because the store's news is late, names a back end
whose requests the announcing process would receive, so it counts as leaving too.

An answer does not say which process sent it. One that announces its end before its record is known
is taken for the former process. So the record of a later process counts as leaving, too, while the
connection on which the end was announced is still open: those of the former process end with it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec
import xxhash

from kitekeel_steering.back_end_limits import process_name
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.process_table import ProcessTable

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_StartTime = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class LeavingRecord(msgspec.Struct, frozen=True, array_like=True):
    """The announcement of one process of a back end.

    Attributes:
        instance: the back end's name.
        started_at_ms: the start time of the process, as in its ``BackEndRecord``.
    """

    instance: _Name
    started_at_ms: _StartTime

    @property
    def identity(self) -> str:
        """Return the process name that identifies this record."""
        return process_name(self.instance, self.started_at_ms)


class LeavingBackEnds:
    """The announcements known to one daemon; used on one event loop.

    Args:
        clock: provides the time of the announcements.
        find_back_end: returns the registered record of a back end by its name.
        on_leaving: called with each process that is found to be leaving, the source of the
            announcement, and the request that was answered with it if the source is this daemon.
        is_announcer_connected: returns whether a connection is still open on which the back end at
            the address of a record has announced its end.
    """

    def __init__(
        self,
        clock: Clock,
        find_back_end: Callable[[str], BackEndRecord | None],
        on_leaving: Callable[[LeavingRecord, str, str], None],
        is_announcer_connected: Callable[[BackEndRecord], bool] = lambda _: False,
    ) -> None:
        self._is_announcer_connected = is_announcer_connected
        self._clock = clock
        self._find_back_end = find_back_end
        self._on_leaving = on_leaving
        self._announced_at: ProcessTable[float] = ProcessTable()

    def is_leaving(self, record: BackEndRecord) -> bool:
        """Return whether a back end's process has announced that it is about to stop."""
        return self.leaving_seconds(record) is not None

    def leaving_seconds(self, record: BackEndRecord) -> float | None:
        """Return the seconds since a back end's process announced its end; ``None`` if never."""
        announced_at = self._announced_at.find_since(record.instance, record.started_at_ms)
        if announced_at is None and self._is_announcer_connected(record):
            announced_at = self._announced_at.latest(record.instance)
        return None if announced_at is None else self._clock.monotonic() - announced_at

    def may_end_with_connection(self, record: BackEndRecord) -> bool:
        """Return whether a process counts as leaving only while a connection is open."""
        return not self._has_announced(record) and self.is_leaving(record)

    def _has_announced(self, record: BackEndRecord) -> bool:
        start = record.started_at_ms
        return self._announced_at.find_since(record.instance, start) is not None

    def note(self, instance: str, started_at_ms: int, source: str, answered: str = "") -> None:
        """Record an announcement; the start time is 0 if unknown."""
        if self._announced_at.find(instance, started_at_ms) is not None:
            return
        current = self._find_back_end(instance)
        if current is not None and 0 < started_at_ms < current.started_at_ms:
            return
        if self._announced_at.store(instance, started_at_ms, self._clock.monotonic()):
            self._on_leaving(LeavingRecord(instance, started_at_ms), source, answered)

    def merge(self, records: Iterable[LeavingRecord], source: str) -> None:
        """Merge announcements known to another daemon."""
        for each in records:
            self.note(each.instance, each.started_at_ms, source)

    def find(self, identity: str) -> LeavingRecord | None:
        """Return the announcement of a process, or ``None`` if there is none."""
        found = self._registered(identity.rpartition("/")[0])
        return found if found is not None and found.identity == identity else None

    def records(self) -> tuple[LeavingRecord, ...]:
        """Return the announcements of all registered back ends.

        Others are kept but not shared, since their process has probably ended.
        """
        registered = (self._registered(instance) for instance, _, _ in self._announced_at)
        return tuple(each for each in registered if each is not None)

    def digest(self) -> int:
        """Return an order-independent hash of the shared announcements; 0 if there are none."""
        value = 0
        for each in self.records():
            value ^= xxhash.xxh64_intdigest(each.identity.encode())
        return value

    def _registered(self, instance: str) -> LeavingRecord | None:
        """Return the announcement that applies to the registered process of a back end."""
        current = self._find_back_end(instance)
        if current is None or not self._has_announced(current):
            return None
        announced_start = self._announced_at.latest_start(instance)
        return LeavingRecord(instance, max(announced_start, current.started_at_ms))

    def needs_comparison(self) -> bool:
        """Return whether the announcements must be compared with other daemons' regularly."""
        return bool(self.records())

    def has_urgent_records(self) -> bool:
        """Return whether any registered back end is leaving."""
        return bool(self.records())
