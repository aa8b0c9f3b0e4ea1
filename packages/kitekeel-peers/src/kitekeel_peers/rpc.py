"""Unary RPC between daemons, over gRPC with messages encoded by msgspec.

Methods are registered with their message types, so no generated code is needed. Every call carries
the daemons' shared secret. If certificates are configured, channels also use mutual TLS.
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
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
]
# gRPC aborts a connection attempt after this time, regardless of the deadline of the call. An
# attempt takes a round trip and the peer's first bytes: 0.17 s between the most distant known
# regions, and more if the peer is busy. Calls still wait no longer than their own deadline.
_CONNECT_TIMEOUT_MILLISECONDS = 1000
_INITIAL_RECONNECT_MILLISECONDS = 100
_MAX_RECONNECT_MILLISECONDS = 1000
_CHANNEL_OPTIONS = [
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", _INITIAL_RECONNECT_MILLISECONDS),
    ("grpc.min_reconnect_backoff_ms", _CONNECT_TIMEOUT_MILLISECONDS),
    ("grpc.max_reconnect_backoff_ms", _MAX_RECONNECT_MILLISECONDS),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.use_local_subchannel_pool", 1),
]

# Messages of this size or more are compressed, so that a daemon that sends a large configuration to
# many others at once does not saturate its network link. Smaller ones, such as heartbeats, are not.
_COMPRESSION_THRESHOLD_BYTES = 4_096

# Prefix of gRPC's error details if no connection could be established.
_NO_CONNECTION_PREFIX = "failed to connect"

Request = TypeVar("Request", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)


class TlsFiles(msgspec.Struct, frozen=True):
    """PEM contents for mutual TLS between daemons."""

    certificate_authority: bytes
    certificate: bytes
    key: bytes


class PeerServer:
    """Serves calls from other daemons.

    Args:
        address: ``IP:port`` to listen on.
        secret: shared by all daemons; calls without it are rejected.
        metrics: counts calls and bytes.
        tls: for mutual TLS; ``None`` for plain TCP.
        workers: thread pool that serves calls, if several servers share one.
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
        """Register a method; must be called before ``start``."""
        decoder = msgspec.msgpack.Decoder(request_type)

        def handle(payload: bytes, context: grpc.ServicerContext) -> bytes:
            self._check_secret(context)
            self._metrics.increment("peers.calls_received")
            self._metrics.increment("peers.bytes_received", len(payload))
            reply = self._answer(payload, decoder, handler, context)
            self._metrics.increment("peers.bytes_sent", len(reply))
            if len(reply) >= _COMPRESSION_THRESHOLD_BYTES:
                context.set_compression(grpc.Compression.Gzip)
            return reply

        self._handlers[method] = grpc.unary_unary_rpc_method_handler(handle)

    def start(self) -> None:
        """Start listening.

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
        """Stop listening, and wait up to the grace period for calls in progress."""
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
        received_secret = dict(context.invocation_metadata()).get(_SECRET_HEADER, "")
        if not hmac.compare_digest(str(received_secret).encode(), self._secret):
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
    """Calls other daemons, with one cached channel for each address.

    Args:
        secret: shared by all daemons.
        metrics: counts calls, bytes and failures.
        tls: for mutual TLS; ``None`` for plain TCP.
        max_channels: beyond this number, the least recently used channel is closed.
    """

    def __init__(
        self,
        secret: str,
        metrics: Metrics,
        tls: TlsFiles | None = None,
        max_channels: int = 128,
    ) -> None:
        self._metadata = ((_SECRET_HEADER, secret),)
        self._metrics = metrics
        self._tls = tls
        self._max_channels = max_channels
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
            PeerError: the call timed out or was refused, or its reply cannot be decoded.
        """
        if self._is_closed:
            raise PeerError(f"{method} at {address}: this daemon is stopping")
        payload = msgspec.msgpack.encode(request)
        self._metrics.increment("peers.calls_sent")
        self._metrics.increment("peers.bytes_sent", len(payload))
        stub = self._channel(address).unary_unary(f"/{_SERVICE}/{method}")
        is_large = len(payload) >= _COMPRESSION_THRESHOLD_BYTES
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
        """Close the channel to an address, for example after its daemon died."""
        with self._lock:
            channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Cancel all calls in progress and reject new ones.

        Otherwise a thread that waits for a frozen daemon would keep the process from exiting.
        """
        self._is_closed = True
        with self._lock:
            channels = list(self._channels.values())
            self._channels.clear()
        for channel in channels:
            channel.close()

    def _channel(self, address: str) -> grpc.Channel:
        evicted: grpc.Channel | None = None
        with self._lock:
            channel = self._channels.pop(address, None) or self._open(address)
            self._channels[address] = channel
            if len(self._channels) > self._max_channels:
                oldest = next(iter(self._channels))
                evicted = self._channels.pop(oldest)
        if evicted is not None:
            evicted.close()
        return channel

    def _open(self, address: str) -> grpc.Channel:
        if self._tls is None:
            return grpc.insecure_channel(address, options=_CHANNEL_OPTIONS)
        credentials = grpc.ssl_channel_credentials(
            self._tls.certificate_authority, self._tls.key, self._tls.certificate
        )
        return grpc.secure_channel(address, credentials, options=_CHANNEL_OPTIONS)


def _is_unsent(error: Exception) -> bool:
    """Return whether the call was certainly not sent, because there was no connection."""
    if not isinstance(error, grpc.Call) or error.code() is not grpc.StatusCode.UNAVAILABLE:
        return False
    return str(error.details()).startswith(_NO_CONNECTION_PREFIX)


def _describe(error: Exception) -> str:
    if isinstance(error, grpc.Call):
        return f"{error.code().name} {error.details()}"
    return str(error)
