"""Framing of the bytes that a relay sends through a tunnel.

An answer without a length ends with its connection. The kernel also closes the connections of a
process that was killed in an orderly way, so the end of a tunnel does not show whether the back end
ended its answer or the relay ended. The relay therefore sends frames, and marks the back end's
orderly end with an empty one.

A frame is a length of four bytes, in network byte order, and as many bytes. The bytes from the
daemon to the back end are not framed: the end of a request never depends on its connection.
"""

from __future__ import annotations

import asyncio
import struct

from kitekeel_backends.http_exchange import BackEndConnection

_LENGTH = struct.Struct("!I")

END_FRAME = _LENGTH.pack(0)


def frame(data: bytes) -> bytes:
    """Return the frame of a non-empty piece of data."""
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits received bytes into the pieces that were framed.

    A piece is returned as it arrives, so a frame of any length occupies no memory here.

    Attributes:
        has_ended: whether the empty frame has arrived.
    """

    def __init__(self) -> None:
        self._header = b""
        self._remaining = 0
        self.has_ended = False

    def feed(self, data: bytes) -> list[bytes]:
        """Return the pieces that further received bytes contain; nothing after the end."""
        pieces: list[bytes] = []
        position = 0
        while position < len(data) and not self.has_ended:
            if self._remaining:
                piece = data[position : position + self._remaining]
                self._remaining -= len(piece)
                pieces.append(piece)
            else:
                piece = data[position : position + _LENGTH.size - len(self._header)]
                self._read_header(piece)
            position += len(piece)
        return pieces

    def _read_header(self, piece: bytes) -> None:
        self._header += piece
        if len(self._header) < _LENGTH.size:
            return
        (self._remaining,) = _LENGTH.unpack(self._header)
        self._header = b""
        self.has_ended = not self._remaining


class TunnelStream(asyncio.Protocol):
    """Receives the bytes of a tunnel on behalf of the connection that uses it.

    Args:
        connection: gets the bytes of the back end, and its end.
        is_framed: whether the relay sends frames. The end of a tunnel without them counts as a
            break, because it may be that of a relay that was killed.
    """

    def __init__(self, connection: BackEndConnection, is_framed: bool) -> None:
        self._connection = connection
        self._frames = FrameReader() if is_framed else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pass the transport on; called by asyncio."""
        self._connection.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on the bytes and the end of the back end; called by asyncio."""
        if self._frames is None:
            self._connection.data_received(data)
            return
        for piece in self._frames.feed(data):
            self._connection.data_received(piece)
        if self._frames.has_ended and not self._connection.has_ended:
            self._connection.eof_received()

    def eof_received(self) -> bool:
        """Abort the connection unless the back end has ended its side; called by asyncio."""
        if not self._connection.has_ended:
            self._connection.abort()
        return True

    def pause_writing(self) -> None:
        """Pass the event on; called by asyncio."""
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        """Pass the event on; called by asyncio."""
        self._connection.resume_writing()

    def connection_lost(self, error: Exception | None) -> None:
        """Pass the event on; called by asyncio."""
        self._connection.connection_lost(error)
