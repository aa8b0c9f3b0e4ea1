"""Counts the bytes that a process holds for callers, and bounds them.

Load: many callers that send large bodies, or do not read their answers, at a daemon with little
memory. Counted are request bodies in memory, received bytes that are not parsed yet, and answers
that are not written yet. A request whose body does not fit is refused before it is read; a body of
unknown size is read only while there is room, and the one that began last gives way to the others.
Back ends are not read while a caller does not read.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from collections.abc import Callable, Iterator
from pathlib import Path

# Callers get half of what is free at the start; the rest is for what the daemon itself learns.
_CALLERS_SHARE = 0.5
# Room for a few bodies of the largest size that is kept in memory.
_MIN_LIMIT_BYTES = 4 * 1024 * 1024
# The bound counts as left only well below it, so that the state does not change with each request.
_LEFT_SHARE = 0.75
_STATM = Path("/proc/self/statm")


def limit_for(memory_bytes: int, used_bytes: int) -> int:
    """Return the limit of a budget in bytes.

    Args:
        memory_bytes: memory limit of the process; 0 if unknown.
        used_bytes: memory that the process uses without callers.
    """
    if not memory_bytes:
        return 0
    return max(_MIN_LIMIT_BYTES, int((memory_bytes - used_bytes) * _CALLERS_SHARE))


def resident_bytes() -> int:
    """Return how much memory the process uses; its peak where the present value is unknown."""
    try:
        return int(_STATM.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class MemoryBudget:
    """The bytes held for callers by one process; used on one event loop.

    Args:
        limit_bytes: upper bound; 0 for none, the bytes are counted nevertheless.
        on_state: called with whether the limit is reached, and the bytes held, at each change.

    Attributes:
        held_bytes: the bytes held at present.
    """

    def __init__(
        self,
        limit_bytes: int = 0,
        on_state: Callable[[bool, int], None] = lambda _is_reached, _held: None,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._on_state = on_state
        self._is_reached = False
        self._has_room = asyncio.Event()
        self._has_room.set()
        self._growing: list[Callable[[], None]] = []

    def fits(self, count: int) -> bool:
        """Return whether a number of bytes may be added within the limit."""
        return not self.limit_bytes or self.held_bytes + count <= self.limit_bytes

    def has_room(self) -> bool:
        """Return whether the limit is not reached."""
        return self._has_room.is_set()

    async def wait_for_room(self) -> None:
        """Wait until fewer bytes are held than the limit."""
        await self._has_room.wait()

    @contextlib.contextmanager
    def growing(self, give_up: Callable[[], None]) -> Iterator[None]:
        """Register a body of unknown size within the context.

        Args:
            give_up: releases what is held of the body, if it has to give way to earlier ones.
        """
        self._growing.append(give_up)
        try:
            yield
        finally:
            if give_up in self._growing:
                self._growing.remove(give_up)

    def make_room_for(self, give_up: Callable[[], None]) -> None:
        """Make bodies that began later than one give way, the last first, until there is room."""
        while not self.has_room() and self._growing and self._growing[-1] != give_up:
            self._growing.pop()()

    def add(self, count: int) -> None:
        """Count bytes as held, also beyond the limit."""
        self.held_bytes += count
        if self.limit_bytes and self.held_bytes >= self.limit_bytes:
            self._has_room.clear()
            self._set_reached(True)

    def release(self, count: int) -> None:
        """Count bytes as held no longer."""
        self.held_bytes -= count
        if self.held_bytes < self.limit_bytes:
            self._has_room.set()
        if self.held_bytes < self.limit_bytes * _LEFT_SHARE:
            self._set_reached(False)

    @contextlib.contextmanager
    def holding(self, count: int) -> Iterator[None]:
        """Count bytes as held within the context."""
        self.add(count)
        try:
            yield
        finally:
            self.release(count)

    def _set_reached(self, is_reached: bool) -> None:
        if is_reached is not self._is_reached:
            self._is_reached = is_reached
            self._on_state(is_reached, self.held_bytes)


class HeldBytes:
    """Bytes that are held for one request and released together."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.count = 0

    def add(self, count: int) -> None:
        """Hold more bytes."""
        self.count += count
        self._budget.add(count)

    def remove(self, count: int) -> None:
        """Release some of the bytes."""
        self.count -= count
        self._budget.release(count)

    def release(self) -> None:
        """Release all bytes."""
        self.remove(self.count)
