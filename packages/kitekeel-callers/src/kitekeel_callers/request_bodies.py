"""Reads the bodies of callers' requests, within the limits on their size and on memory."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from http import HTTPStatus

import h11

from kitekeel_callers.memory_budget import HeldBytes, MemoryBudget
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.http_stream import HttpStream
from kitekeel_steering.proxied_messages import MessageBody

BUFFERED_BODY_BYTES = 1024 * 1024
BODY_TIMEOUT_SECONDS = 30.0
# Callers of repeatable requests go elsewhere if a daemon has not read theirs after a second.
ROOM_TIMEOUT_SECONDS = 1.0
# Long enough to receive 12 MB at 50 Mbit/s. The request has been answered by then, so a caller that
# sends nothing more occupies only its connection.
_DISCARD_TIMEOUT_SECONDS = 2.0


class NoMemoryError(KitekeelError):
    """The body of a request does not fit into the memory that is left for callers."""

    code = "no-memory"


class RequestBodyReader:
    """Reads the body of one request; larger ones only up to a size, the rest as a stream.

    Args:
        stream: the caller's connection, whose head has been read.
        length: stated length of the body; ``None`` if it has none or comes in chunks.
        max_length: maximum size in bytes.
        memory: bounds what is held in memory.
        held: counts the bytes of this request.
    """

    def __init__(
        self,
        stream: HttpStream,
        length: int | None,
        max_length: int,
        memory: MemoryBudget,
        held: HeldBytes,
    ) -> None:
        self._stream = stream
        self._length = length
        self._max_length = max_length
        self._memory = memory
        self._held = held
        self._received = 0
        self._timeout: asyncio.Timeout | None = None
        self._has_given_up = False

    def reserve(self) -> None:
        """Reserve memory for a body of known size.

        Raises:
            NoMemoryError: it does not fit.
            h11.RemoteProtocolError: it is larger than allowed.
        """
        if self._length is None:
            return
        if self._length > self._max_length:
            raise _body_too_large_error()
        buffered = min(self._length, BUFFERED_BODY_BYTES)
        if buffered and not self._memory.fits(buffered):
            raise NoMemoryError("the request's body does not fit into memory")
        self._held.add(buffered)

    async def read(self) -> MessageBody:
        """Read the body, or the start of a large one.

        Raises:
            NoMemoryError: there was no room for more of a body of unknown size.
            TimeoutError: the body did not arrive in time.
        """
        try:
            async with asyncio.timeout(BODY_TIMEOUT_SECONDS) as self._timeout:
                if self._length is not None:
                    return await self._read()
                with self._memory.growing(self._give_up):
                    return await self._read()
        except TimeoutError:
            if self._has_given_up:
                raise NoMemoryError("the body gave way to others") from None
            raise

    def _give_up(self) -> None:
        if self._timeout is not None and not self._timeout.expired():
            self._has_given_up = True
            self._held.release()
            self._timeout.reschedule(asyncio.get_running_loop().time())

    async def _read(self) -> MessageBody:
        pieces: list[bytes] = []
        while self._received <= BUFFERED_BODY_BYTES:
            event = await self._stream.next_event()
            if isinstance(event, h11.EndOfMessage):
                return MessageBody(b"".join(pieces), None, self._received)
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
                self._received += len(event.data)
                if self._length is None:
                    self._held.add(len(event.data))
                    await self._wait_for_room()
        return MessageBody(b"".join(pieces), self.rest(), self._length)

    async def rest(self) -> AsyncIterator[bytes]:
        """Return the rest of the body as it arrives."""
        while True:
            event = await self._stream.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                self._received += len(event.data)
                if self._received > self._max_length:
                    raise _body_too_large_error()
                yield bytes(event.data)

    async def _wait_for_room(self) -> None:
        if self._memory.has_room():
            return
        self._memory.make_room_for(self._give_up)
        self._stream.pause_reading()
        try:
            async with asyncio.timeout(ROOM_TIMEOUT_SECONDS):
                await self._memory.wait_for_room()
        except TimeoutError:
            raise NoMemoryError("no memory became free for the request's body") from None


async def discard_body(stream: HttpStream, parser: h11.Connection) -> None:
    """Read and discard the rest of a request body that was answered before it had arrived.

    Closing a connection with unread bytes resets it, and the caller loses the answer. Callers that
    sent bodies of 12 MB lost every rejection without this, and none with it.

    Raises:
        TimeoutError: the rest did not arrive in time.
    """
    if parser.their_state is not h11.SEND_BODY:
        return
    async with asyncio.timeout(_DISCARD_TIMEOUT_SECONDS):
        while parser.their_state is h11.SEND_BODY:
            await stream.next_event()


def _body_too_large_error() -> h11.RemoteProtocolError:
    return h11.RemoteProtocolError(
        "the request body is too large", error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    )
