"""Stores a value for the latest known process of each back end.

A back end may restart under its name. What its previous process stated does not apply to the new
one, and a late message of the previous process does not replace what is known of the new one.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

import msgspec

from kitekeel_steering.fleet_items import may_be_same_process

# Four times the number of back ends of the largest known fleet with all of them replaced once.
_MAX_PROCESSES = 10_000

Value = TypeVar("Value")


class _Entry(msgspec.Struct, Generic[Value]):
    started_at_ms: int
    value: Value


class ProcessTable(Generic[Value]):
    """The values of the latest processes; the oldest are dropped beyond a fixed number."""

    def __init__(self) -> None:
        self._entries: OrderedDict[str, _Entry[Value]] = OrderedDict()

    def find(self, instance: str, started_at_ms: int) -> Value | None:
        """Return the value of a process, or ``None`` if it has none.

        Args:
            instance: the back end's name.
            started_at_ms: the start time of the process; 0 if unknown.
        """
        entry = self._entries.get(instance)
        if entry is None or not may_be_same_process(entry.started_at_ms, started_at_ms):
            return None
        if not entry.started_at_ms:
            entry.started_at_ms = started_at_ms
        return entry.value

    def find_since(self, instance: str, started_at_ms: int) -> Value | None:
        """Return the value of a process or of a later one, or ``None`` if there is none."""
        entry = self._entries.get(instance)
        if entry is not None and 0 < started_at_ms < entry.started_at_ms:
            return entry.value
        return self.find(instance, started_at_ms)

    def latest_start(self, instance: str) -> int:
        """Return the start time of the latest process of a back end; 0 if it is unknown."""
        entry = self._entries.get(instance)
        return entry.started_at_ms if entry is not None else 0

    def latest(self, instance: str) -> Value | None:
        """Return the value of the latest process of a back end, or ``None`` if there is none."""
        entry = self._entries.get(instance)
        return entry.value if entry is not None else None

    def store(self, instance: str, started_at_ms: int, value: Value) -> bool:
        """Store the value of a process; return ``False`` if a later process is known."""
        entry = self._entries.get(instance)
        if entry is not None and 0 < started_at_ms < entry.started_at_ms:
            return False
        known_start = entry.started_at_ms if entry is not None else 0
        self._entries[instance] = _Entry(max(started_at_ms, known_start), value)
        self._entries.move_to_end(instance)
        if len(self._entries) > _MAX_PROCESSES:
            self._entries.popitem(last=False)
        return True

    def __iter__(self) -> Iterator[tuple[str, int, Value]]:
        """Yield the instance, start time and value of each process."""
        for instance, entry in self._entries.items():
            yield instance, entry.started_at_ms, entry.value
