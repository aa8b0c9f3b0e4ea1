"""Opens a connection to a back end through another daemon."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

import h11

from kitekeel_backends import tunnel_messages
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_backends.tcp_options import close_when_silent
from kitekeel_backends.tunnel_frames import TunnelStream
from kitekeel_backends.tunnel_messages import connect_request, has_frames
from kitekeel_steering.errors import ConnectFailedError


class TunnelRefusedError(ConnectFailedError):
    """Another daemon did not open a connection to the back end.

    Attributes:
        status: the reason; see :mod:`kitekeel_backends.tunnel_messages`.
    """

    code = "tunnel-refused"

    def __init__(self, message: str, status: HTTPStatus) -> None:
        super().__init__(message)
        self.status = status


class _Handshake(asyncio.Protocol):
    """Asks for a tunnel, and reports the answer.

    Attributes:
        answer: the head of the relay's answer.
        surplus: the bytes that have arrived behind it.
    """

    def __init__(self, request: h11.Request) -> None:
        self._request = request
        self._parser = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=tunnel_messages.MAX_HEAD_BYTES
        )
        self.answer: asyncio.Future[h11.Response] = asyncio.get_running_loop().create_future()
        self.surplus = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request; called by asyncio."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(self._parser.send(self._request) or b"")

    def data_received(self, data: bytes) -> None:
        """Read the answer; called by asyncio."""
        if self.answer.done():
            self.surplus += data
            return
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
        except h11.RemoteProtocolError as error:
            self.answer.set_exception(ConnectFailedError(f"the relay's answer: {error}"))
            return
        if isinstance(event, h11.Response):
            self.surplus, _ = self._parser.trailing_data
            self.answer.set_result(event)

    def connection_lost(self, error: Exception | None) -> None:
        """Report that there is no answer; called by asyncio."""
        if not self.answer.done():
            self.answer.set_exception(ConnectFailedError("the relay closed the connection"))


async def open_tunnel(
    relay_address: str,
    address: str,
    back_end: str,
    secret: str,
    make: Callable[[], BackEndConnection],
    daemon: str = "",
) -> BackEndConnection:
    """Return a connection to a back end through the daemon that relays at an address.

    Args:
        relay_address: ``IP:port`` of the relaying daemon.
        address: ``IP:port`` of the back end.
        back_end: its instance name.
        secret: shared by all daemons.
        make: returns a new connection, to be used for the tunnel.
        daemon: this daemon's instance name.

    Raises:
        TunnelRefusedError: the daemon did not connect to the back end.
        ConnectFailedError: the daemon gave no valid answer.
        OSError: the daemon could not be connected to.
    """
    name, _, port = relay_address.rpartition(":")
    request = connect_request(address, back_end, secret, daemon)
    loop = asyncio.get_running_loop()
    transport, handshake = await loop.create_connection(
        lambda: _Handshake(request), name, int(port)
    )
    try:
        close_when_silent(transport)
        answer = await handshake.answer
        if answer.status_code != tunnel_messages.CONNECTED:
            message = f"{relay_address} answered {answer.status_code} for {address}"
            raise TunnelRefusedError(message, HTTPStatus(answer.status_code))
    except BaseException:
        transport.abort()
        raise
    connection = make()
    stream = TunnelStream(connection, has_frames(answer))
    transport.set_protocol(stream)
    stream.connection_made(transport)
    if handshake.surplus:
        stream.data_received(handshake.surplus)
    return connection
