"""Connects other daemons to back ends that they cannot reach themselves.

The relaying daemon forwards bytes and decides nothing about requests: the other daemon chooses the
back end, applies all limits and handles failures as on a direct connection. A relay only opens
direct connections, so tunnels are never chained.
"""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import h11

from kitekeel_backends import tunnel_messages
from kitekeel_backends.tcp_options import close_when_idle_and_silent
from kitekeel_backends.tunnel_frames import END_FRAME, frame
from kitekeel_backends.tunnel_messages import connect_answer, has_frames
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.proxied_messages import find_header
from kitekeel_steering.tcp_reset import reset

# With the buffers below, tunnels take 32 MB at most.
_MAX_TUNNELS = 512
_BUFFER_BYTES = 32 * 1024
_HANDSHAKE_SECONDS = 2.0
_CONNECT_TIMEOUT_SECONDS = 0.5


class RelayLinks(Protocol):
    """The state of the relaying daemon's own links; see ``LinkHealth``."""

    def is_lost(self, back_end: str, service: str) -> bool:
        """Return whether this daemon cannot connect to a back end."""

    def note_connected(self, back_end: str, service: str) -> None:
        """Record that this daemon connected to a back end."""

    def note_failed(self, back_end: str, service: str) -> None:
        """Record that this daemon could not connect to a back end."""


class _Side(asyncio.Protocol):
    """One side of a tunnel; forwards what it receives to the other side."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=_BUFFER_BYTES)
        # A user time-out would also end the tunnel of a back end that reads a large body slowly.
        close_when_idle_and_silent(transport)

    def other_transport(self) -> asyncio.Transport | None:
        """Return the transport of the other side, or ``None`` if it was never connected."""
        return self.other.transport if self.other is not None else None

    def reset_other(self) -> None:
        """Reset the other side, if there is one."""
        other = self.other_transport()
        if other is not None:
            reset(other)

    def data_received(self, data: bytes) -> None:
        """Forward bytes; called by asyncio."""
        other = self.other_transport()
        if other is not None:
            other.write(data)

    def pause_writing(self) -> None:
        """Stop reading from the other side while this one does not accept more; for asyncio."""
        other = self.other_transport()
        if other is not None and not other.is_closing():
            other.pause_reading()

    def resume_writing(self) -> None:
        """Continue reading from the other side; called by asyncio."""
        other = self.other_transport()
        if other is not None and not other.is_closing():
            other.resume_reading()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the other side in the same way; called by asyncio."""
        other = self.other_transport()
        if other is None:
            return
        if error is not None:
            reset(other)
        else:
            other.close()


class _BackEndSide(_Side):
    """The side of a tunnel that is connected to a back end.

    Attributes:
        has_ended: whether the back end has ended or reset its connection.
        is_framed: whether the daemon gets frames.
    """

    def __init__(self) -> None:
        super().__init__()
        self.has_ended = False
        self.is_framed = False

    def data_received(self, data: bytes) -> None:
        """Forward bytes, in a frame if the daemon asked for frames; called by asyncio."""
        super().data_received(frame(data) if self.is_framed else data)

    def connection_lost(self, error: Exception | None) -> None:
        """Close the daemon's side in the same way; called by asyncio."""
        self.has_ended = True
        super().connection_lost(error)

    def eof_received(self) -> bool:
        """Forward an orderly end, which may complete an answer; called by asyncio."""
        self.has_ended = True
        other = self.other_transport()
        if other is not None and not other.is_closing():
            if self.is_framed:
                other.write(END_FRAME)
            other.write_eof()
        return True


class _DaemonSide(_Side):
    """The side of a tunnel that is connected to another daemon; starts with the handshake.

    Attributes:
        daemon: the other daemon's instance name; empty until the tunnel is open.
        back_end: the back end's instance name; empty until the tunnel is open.
        is_framed: whether the daemon has asked for frames.
    """

    def __init__(self, relay: TunnelRelay) -> None:
        super().__init__()
        self._relay = relay
        self.daemon = ""
        self.back_end = ""
        self.is_framed = False
        self._parser: h11.Connection | None = h11.Connection(
            h11.SERVER, max_incomplete_event_size=tunnel_messages.MAX_HEAD_BYTES
        )
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the handshake; called by asyncio."""
        super().connection_made(transport)
        self._relay.sides.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HANDSHAKE_SECONDS, transport.close)

    def data_received(self, data: bytes) -> None:
        """Read the handshake, then forward bytes; called by asyncio."""
        if self._parser is None:
            super().data_received(data)
            return
        if self._task is not None:
            # The daemon must wait for the answer to its handshake.
            self._close()
            return
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
        except h11.RemoteProtocolError:
            self._close()
            return
        if isinstance(event, h11.Request):
            self._task = asyncio.get_running_loop().create_task(self._connect(event))

    def eof_received(self) -> bool:
        """Reset the back end's side, so that it stops working; called by asyncio."""
        self.reset_other()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the tunnel; called by asyncio."""
        self._relay.sides.discard(self)
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self.reset_other()

    async def _connect(self, request: h11.Request) -> None:
        self.is_framed = has_frames(request)
        status = await self._relay.connect(request, self)
        if self._timer is not None:
            self._timer.cancel()
        self._parser = None
        assert self.transport is not None
        self.transport.write(connect_answer(status, self.is_framed))
        if status is not tunnel_messages.CONNECTED:
            self.transport.close()

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()


class TunnelRelay:
    """Listens for other daemons and connects them to back ends.

    Args:
        address: ``IP:port`` to listen on.
        secret: shared by all daemons; requests without it are rejected.
        find_back_end: returns the record of a back end by its name.
        may_receive: returns whether requests may be sent to a back end now.
        links: the state of this daemon's own links.
        metrics: counts tunnels.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        find_back_end: Callable[[str], BackEndRecord | None],
        may_receive: Callable[[BackEndRecord], bool],
        links: RelayLinks,
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._secret = secret.encode()
        self._find_back_end = find_back_end
        self._may_receive = may_receive
        self._links = links
        self._metrics = metrics
        self._is_stopping = False
        self.sides: set[_DaemonSide] = set()

    async def start(self) -> None:
        """Bind the address and accept connections.

        Raises:
            OSError: the address cannot be bound.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: _DaemonSide(self), host.strip("[]"), int(port))

    def announce_stop(self) -> None:
        """Open no more tunnels; those that are open remain until the other daemons close them."""
        self._is_stopping = True

    def open_tunnels(self) -> int:
        """Return the number of connections from other daemons."""
        return len(self.sides)

    def daemons_connected_to(self, back_end: str) -> set[str]:
        """Return the names of the daemons that have a tunnel to a back end."""
        return {each.daemon for each in self.sides if each.back_end == back_end and each.daemon}

    async def connect(self, request: h11.Request, daemon_side: _DaemonSide) -> HTTPStatus:
        """Connect a daemon to the back end that its handshake names; return the answer's status."""
        status = await self._try_connect(request, daemon_side)
        is_open = status is tunnel_messages.CONNECTED
        if is_open:
            daemon_side.daemon = _text_header(request, tunnel_messages.DAEMON_HEADER)
            daemon_side.back_end = _text_header(request, tunnel_messages.BACK_END_HEADER)
        self._metrics.increment(f"relay.tunnels-{'opened' if is_open else 'refused'}")
        return status

    async def _try_connect(self, request: h11.Request, daemon_side: _DaemonSide) -> HTTPStatus:
        secret = find_header(request.headers, tunnel_messages.SECRET_HEADER) or b""
        if request.method != b"CONNECT" or not hmac.compare_digest(secret, self._secret):
            return tunnel_messages.WRONG_SECRET
        record = self._find_back_end(_text_header(request, tunnel_messages.BACK_END_HEADER))
        if record is None or record.address.encode() != request.target:
            return tunnel_messages.UNKNOWN_BACK_END
        if not self._may_receive(record):
            return tunnel_messages.BACK_END_UNUSABLE
        is_full = len(self.sides) > _MAX_TUNNELS
        is_lost = self._links.is_lost(record.instance, record.service)
        if self._is_stopping or is_full or is_lost:
            return tunnel_messages.NO_TUNNEL
        return await self._open(record, daemon_side)

    async def _open(self, record: BackEndRecord, daemon_side: _DaemonSide) -> HTTPStatus:
        host, _, port = record.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                _, back_end_side = await loop.create_connection(_BackEndSide, host, int(port))
        except ConnectionRefusedError:
            self._links.note_failed(record.instance, record.service)
            return tunnel_messages.CONNECTION_REFUSED
        except (OSError, TimeoutError):
            self._links.note_failed(record.instance, record.service)
            return tunnel_messages.CONNECTION_TIMED_OUT
        self._links.note_connected(record.instance, record.service)
        if back_end_side.has_ended:
            # A back end with too many connections accepts and resets them.
            return tunnel_messages.CONNECTION_REFUSED
        back_end_side.is_framed = daemon_side.is_framed
        back_end_side.other = daemon_side
        daemon_side.other = back_end_side
        return tunnel_messages.CONNECTED


def _text_header(request: h11.Request, name: bytes) -> str:
    return (find_header(request.headers, name) or b"").decode("latin-1")
