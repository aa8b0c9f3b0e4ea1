"""The bytes of a caller's connection: when they arrived, and how much of them is held in memory."""

from __future__ import annotations

import asyncio
from typing import cast

import h11

from kitekeel_callers.arriving_bytes import ArrivingBytes
from kitekeel_callers.memory_budget import MemoryBudget
from kitekeel_callers.slow_readers import (
    CHECK_SECONDS,
    ReadingProgress,
    outstanding_bytes,
)
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.http_stream import ConnectionLostError, HttpEvent, HttpStream
from kitekeel_steering.link_traffic import PROCESS_TRAFFIC
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.tcp_reset import reset

_PAUSE_READING_BYTES = 256 * 1024
_PAUSE_READING_BYTES_WITHOUT_ROOM = 16 * 1024
# Long enough for a caller to read the last answer and to close the connection.
_LINGER_SECONDS = 2.0


class CallerStream(HttpStream):
    """Reads requests, each with a parser of its own, and writes answers.

    Args:
        largest_header: maximum size of the head of a request, in bytes.
        memory: counts what is held for callers.
        metrics: counts connections that were cut because their caller did not read.

    Attributes:
        arriving: the received bytes that the parser has not got yet.
    """

    def __init__(self, largest_header: int, memory: MemoryBudget, metrics: Metrics) -> None:
        super().__init__(h11.SERVER, largest_header)
        self.arriving = ArrivingBytes(memory)
        self._memory = memory
        self._metrics = metrics
        self._lingering: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Make writes wait until the kernel has taken every byte, so that none are held unnoticed.

        Called by asyncio.
        """
        super().connection_made(transport)
        if self.transport is not None:
            self.transport.set_write_buffer_limits(high=0)

    def data_received(self, data: bytes) -> None:
        """Keep the bytes for the parser; called by asyncio."""
        PROCESS_TRAFFIC.received_bytes += len(data)
        if self._lingering is not None:
            return
        self.arriving.append(data, steady_seconds())
        self._wakeup.set()
        limit = (
            _PAUSE_READING_BYTES if self._memory.has_room() else _PAUSE_READING_BYTES_WITHOUT_ROOM
        )
        if self.arriving.waiting_bytes > limit:
            self.pause_reading()

    def eof_received(self) -> bool:
        """Record that the caller closed its side of the connection; called by asyncio."""
        self.has_ended = True
        self.on_peer_closed()
        return self._lingering is None

    def connection_lost(self, error: Exception | None) -> None:
        """Record that the connection was closed or reset; called by asyncio."""
        if self._lingering is not None:
            self._lingering.cancel()
        super().connection_lost(error)

    def linger(self) -> None:
        """Close this side, and drop what the caller sends until it has closed its own.

        Closing a connection with unread bytes resets it, and the caller loses the answers that it
        has not read yet.
        """
        if self.transport is None or self.transport.is_closing() or self._lingering is not None:
            return
        self._lingering = asyncio.get_running_loop().call_later(_LINGER_SECONDS, self.close)
        self._resume_reading()
        try:
            self.transport.write_eof()
        except OSError:
            # The caller has reset the connection, and the event loop has not told it yet.
            self.abort()

    async def next_event(self) -> HttpEvent:
        """Return the next event of the request that is being read.

        Raises:
            ConnectionLostError: the connection was reset or closed.
            h11.RemoteProtocolError: the received bytes are not valid HTTP/1.1.
        """
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Data):
                self.arriving.note_taken(len(event.data))
            if event is not h11.NEED_DATA:
                return cast(HttpEvent, event)
            has_more = self.arriving.feed(self.parser)
            self._resume_reading()
            if has_more:
                continue
            if self.is_lost:
                raise ConnectionLostError("the connection was lost")
            self._wakeup.clear()
            await self._wakeup.wait()

    def start_next_parser(self) -> bool:
        """Start to parse a new request; return whether bytes of it have arrived."""
        unparsed, _ = self.parser.trailing_data
        self.restart_parser(unparsed)
        return bool(unparsed or self.arriving.waiting_bytes)

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until the kernel has taken them.

        Raises:
            ConnectionLostError: the connection was reset or closed, or the caller did not read.
        """
        if self.is_lost or self.transport is None:
            raise ConnectionLostError("the connection was lost")
        PROCESS_TRAFFIC.sent_bytes += len(data)
        with self._memory.holding(len(data)):
            self.transport.write(data)
            if not self._writable.is_set():
                await self._wait_for_reader(self.transport)
        if self.is_lost:
            raise ConnectionLostError("the connection was lost")

    async def _wait_for_reader(self, transport: asyncio.Transport) -> None:
        progress = ReadingProgress(outstanding_bytes(transport), steady_seconds())
        while not self._writable.is_set():
            try:
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._writable.wait()
            except TimeoutError:
                if progress.has_stalled(outstanding_bytes(transport), steady_seconds()):
                    self._metrics.increment("callers.slow-reader-cut")
                    reset(transport)
                    raise ConnectionLostError("the caller did not read its answer") from None
