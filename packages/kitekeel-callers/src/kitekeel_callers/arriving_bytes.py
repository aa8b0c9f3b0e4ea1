"""Received bytes that wait to be parsed, with the times of their arrival."""

from __future__ import annotations

from collections import deque

import h11

from kitekeel_callers.memory_budget import MemoryBudget


class ArrivingBytes:
    """Passes the bytes of one connection to its parsers, one received piece after the other.

    A parser gets the next piece only when it needs it. The piece that completes a head is therefore
    the last one that was passed on, also if the head waited here behind other requests.

    Args:
        memory: counts the bytes as held until a parser needs more than it has got.

    Attributes:
        waiting_bytes: number of bytes that no parser has got yet.
        fed_at: monotonic time at which the piece that was passed on last arrived, in seconds.
    """

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._pieces: deque[tuple[bytes, float]] = deque()
        self._fed_bytes = 0
        self.waiting_bytes = 0
        self.fed_at = 0.0

    def append(self, data: bytes, arrived_at: float) -> None:
        """Add a received piece."""
        self._pieces.append((data, arrived_at))
        self.waiting_bytes += len(data)
        self._memory.add(len(data))

    def feed(self, parser: h11.Connection) -> bool:
        """Pass the oldest piece to a parser that has none left; return whether there was one."""
        self._memory.release(self._fed_bytes)
        self._fed_bytes = 0
        if not self._pieces:
            return False
        data, self.fed_at = self._pieces.popleft()
        self._fed_bytes = len(data)
        self.waiting_bytes -= len(data)
        parser.receive_data(data)
        return True

    def note_taken(self, count: int) -> None:
        """Count bytes of a body no longer, as its reader has got them from the parser."""
        count = min(count, self._fed_bytes)
        self._fed_bytes -= count
        self._memory.release(count)

    def discard(self) -> None:
        """Drop all pieces."""
        self._pieces.clear()
        self._memory.release(self.waiting_bytes + self._fed_bytes)
        self.waiting_bytes = 0
        self._fed_bytes = 0
