"""Unary calls between daemons: grpcio carries them, msgspec encodes the messages.

No generated code is needed: methods are registered with their message types. Every call carries the
daemons' shared secret; with certificates in the settings the channel is mutual TLS as well.
"""

from __future__ import annotations

import hmac
import threading
from collections.abc import Callable
from concurrent import futures
from typing import Any, TypeVar

import grpc
import msgspec

from kitekeel_steering.errors import KitekeelError, PeerError, PeerUnreachableError
from kitekeel_steering.metrics import Metrics

_SERVICE = "kitekeel.Peers"
_SECRET_HEADER = "kitekeel-secret"
_WORKERS = 24
_MOST_MESSAGE_BYTES = 8 * 1024 * 1024
_SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", _MOST_MESSAGE_BYTES),
]
# grpc gives up opening a connection after this time, whatever the deadline of the call. Opening
# takes a round trip and the peer's first bytes, 0.17 s between the most distant regions known, and
# more where the peer is busy. Calls wait no longer than their own deadline.
_LEAST_CONNECT_MILLISECONDS = 1000
_FIRST_RECONNECT_MILLISECONDS = 100
_LONGEST_RECONNECT_MILLISECONDS = 1000
_CHANNEL_OPTIONS = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", _FIRST_RECONNECT_MILLISECONDS),
    ("grpc.min_reconnect_backoff_ms", _LEAST_CONNECT_MILLISECONDS),
    ("grpc.max_reconnect_backoff_ms", _LONGEST_RECONNECT_MILLISECONDS),
    ("grpc.max_receive_message_length", _MOST_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
]

# Guards against a daemon that fills its own network link with a large configuration that it tells
# to many others at once. Smaller messages, such as heartbeats, are sent as they are.
_COMPRESSED_FROM_BYTES = 4_096

# How grpc's details of a call begin for which no connection could be opened.
_NO_CONNECTION = "failed to connect"

Request = TypeVar("Request", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)


class TlsFiles(msgspec.Struct, frozen=True):
    """PEM contents for mutual TLS between daemons."""

    certificate_authority: bytes
    certificate: bytes
    key: bytes


class PeerServer:
    """Serves calls of other daemons.

    Args:
        address: ``IP:port`` to listen on.
        secret: shared by all daemons; calls without it are refused.
        metrics: counts calls and bytes.
        tls: for mutual TLS; ``None`` for plain TCP.
        workers: threads that answer calls, where several servers share them.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        metrics: Metrics,
        tls: TlsFiles | None = None,
        workers: futures.ThreadPoolExecutor | None = None,
    ) -> None:
        self._workers = workers
        self._address = address
        self._secret = secret.encode()
        self._metrics = metrics
        self._tls = tls
        self._handlers: dict[str, grpc.RpcMethodHandler] = {}
        self._server: grpc.Server | None = None

    def register(
        self, method: str, request_type: type[Request], handler: Callable[[Request], msgspec.Struct]
    ) -> None:
        """Serve a method; to be called before ``start``."""
        decoder = msgspec.msgpack.Decoder(request_type)

        def handle(payload: bytes, context: grpc.ServicerContext) -> bytes:
            self._check_secret(context)
            self._metrics.increment("peers.calls_received")
            self._metrics.increment("peers.bytes_received", len(payload))
            reply = self._answer(payload, decoder, handler, context)
            self._metrics.increment("peers.bytes_sent", len(reply))
            if len(reply) >= _COMPRESSED_FROM_BYTES:
                context.set_compression(grpc.Compression.Gzip)
            return reply

        self._handlers[method] = grpc.unary_unary_rpc_method_handler(handle)

    def start(self) -> None:
        """Listen.

        Raises:
            PeerError: the address cannot be bound.
        """
        workers = self._workers or futures.ThreadPoolExecutor(_WORKERS, thread_name_prefix="peer")
        server = grpc.server(workers, options=_SERVER_OPTIONS)
        handler = grpc.method_handlers_generic_handler(_SERVICE, self._handlers)
        server.add_generic_rpc_handlers((handler,))
        try:
            self._bind(server)
        except RuntimeError as error:
            raise PeerError(f"cannot listen on {self._address}") from error
        server.start()
        self._server = server

    def stop(self, grace_seconds: float = 0.5) -> None:
        """Stop listening, letting calls in progress end within the grace."""
        if self._server is not None:
            self._server.stop(grace_seconds).wait(grace_seconds + 1.0)

    def _bind(self, server: grpc.Server) -> None:
        if self._tls is None:
            server.add_insecure_port(self._address)
            return
        credentials = grpc.ssl_server_credentials(
            [(self._tls.key, self._tls.certificate)],
            root_certificates=self._tls.certificate_authority,
            require_client_auth=True,
        )
        server.add_secure_port(self._address, credentials)

    def _check_secret(self, context: grpc.ServicerContext) -> None:
        given = dict(context.invocation_metadata()).get(_SECRET_HEADER, "")
        if not hmac.compare_digest(str(given).encode(), self._secret):
            self._metrics.increment("peers.refused")
            context.abort(grpc.StatusCode.UNAUTHENTICATED, "the shared secret is wrong")

    def _answer(
        self,
        payload: bytes,
        decoder: msgspec.msgpack.Decoder[Request],
        handler: Callable[[Request], msgspec.Struct],
        context: grpc.ServicerContext,
    ) -> bytes:
        try:
            return msgspec.msgpack.encode(handler(decoder.decode(payload)))
        except (msgspec.MsgspecError, RecursionError) as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        except KitekeelError as error:
            context.abort(grpc.StatusCode.FAILED_PRECONDITION, error.code)
        except TimeoutError:
            self._metrics.increment("peers.answers_late")
            context.abort(grpc.StatusCode.UNAVAILABLE, "the daemon is too busy to answer")
        raise AssertionError("abort raises")


class PeerClient:
    """Calls other daemons, with one channel for each address that is in use.

    Args:
        secret: shared by all daemons.
        metrics: counts calls, bytes and failures.
        tls: for mutual TLS; ``None`` for plain TCP.
        most_channels: the channel unused for longest is closed beyond this number.
    """

    def __init__(
        self,
        secret: str,
        metrics: Metrics,
        tls: TlsFiles | None = None,
        most_channels: int = 128,
    ) -> None:
        self._metadata = ((_SECRET_HEADER, secret),)
        self._metrics = metrics
        self._tls = tls
        self._most_channels = most_channels
        self._channels: dict[str, grpc.Channel] = {}
        self._lock = threading.Lock()
        self._is_closed = False

    def call(
        self,
        address: str,
        method: str,
        request: msgspec.Struct,
        reply_type: type[Reply],
        timeout_seconds: float,
    ) -> Reply:
        """Call a method of another daemon.

        Raises:
            PeerError: no answer in time or none that can be read, or the daemon refused.
        """
        if self._is_closed:
            raise PeerError(f"{method} at {address}: this daemon is ending")
        payload = msgspec.msgpack.encode(request)
        self._metrics.increment("peers.calls_sent")
        self._metrics.increment("peers.bytes_sent", len(payload))
        stub = self._channel(address).unary_unary(f"/{_SERVICE}/{method}")
        is_large = len(payload) >= _COMPRESSED_FROM_BYTES
        try:
            raw: Any = stub(
                payload,
                timeout=timeout_seconds,
                metadata=self._metadata,
                compression=grpc.Compression.Gzip if is_large else None,
            )
        except (grpc.RpcError, ValueError) as error:
            self._metrics.increment("peers.failures")
            kind = PeerUnreachableError if _is_unsent(error) else PeerError
            raise kind(f"{method} at {address}: {_describe(error)}") from error
        self._metrics.increment("peers.bytes_received", len(raw))
        try:
            return msgspec.msgpack.decode(raw, type=reply_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._metrics.increment("peers.failures")
            raise PeerError(f"{method} at {address}: {error}") from error

    def forget(self, address: str) -> None:
        """Close the channel to an address, as after its daemon's death."""
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """End every call, also those under way, and let none begin.

        A thread that waits for a frozen daemon would else keep the process from its end.
        """
        self._is_closed = True
        with self._lock:
            channels = list(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()

    def _channel(self, address: str) -> grpc.Channel:
        retired: grpc.Channel | None = None
        with self._lock:
            channel = self._channels.pop(address, None) or self._open(address)
            self._channels[address] = channel
            if len(self._channels) > self._most_channels:
                oldest = next(iter(self._channels))
                retired = self._channels.pop(oldest)
        if retired is not None:
            retired.close()
        return channel

    def _open(self, address: str) -> grpc.Channel:
        if self._tls is None:
            return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self._tls.certificate_authority, self._tls.key, self._tls.certificate
        )
        return grpc.secure_channel(address, credentials, options=_CHANNEL_OPTIONS)


def _is_unsent(error: Exception) -> bool:
    """Tell whether the call certainly was not sent, as no connection was there to send it on."""
    if not isinstance(error, grpc.Call) or error.code() is not grpc.StatusCode.UNAVAILABLE:
        return False
    return str(error.details()).startswith(_NO_CONNECTION)


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.Call):
        return f"{error.code().name} {error.details()}"
    return str(error)
