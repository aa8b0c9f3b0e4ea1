"""Sends one request to one back end and streams the answer.

A request that may not be repeated goes out on a connection of its own. So a failed connect is known
to be not run, and no stale pooled connection can swallow it. From the first byte on, a failure
leaves the outcome unknown, and nothing here sends it again.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Iterator

import urllib3
from urllib3.connection import HTTPConnection

from kitekeel_steering.errors import (
    ConnectFailedError,
    ConnectionBrokenError,
    DeadlinePassedError,
    NoRoomError,
)
from kitekeel_steering.http_messages import (
    DEADLINE_HEADER,
    ORIGIN_HEADER,
    REQUEST_ID_HEADER,
    SHIFT_HEADER,
    ForwardedRequest,
    StreamedAnswer,
    end_to_end_headers,
)

_PIECE_BYTES = 64 * 1024
_LONGEST_CONNECT_SECONDS = 1.0
_CANCEL_TIMEOUT_SECONDS = 0.5
_FIRST_ERROR_STATUS = 400


class Forwarder:
    """Sends requests to back ends; safe to call from many threads."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}
        self._lock = threading.Lock()

    def send(
        self,
        address: str,
        connections: int,
        request: ForwardedRequest,
        repeatable: bool,
        deadline: float,
    ) -> StreamedAnswer:
        """Send a request and return the answer once its headers are in.

        Args:
            address: the back end's ``IP:port``.
            connections: most connections that are kept to it.
            request: what to send.
            repeatable: whether a kept connection may be used.
            deadline: monotonic time by which the whole answer must be in.

        Raises:
            ConnectFailedError: no connection; not run.
            NoRoomError: the deadline has passed already; not run.
            ConnectionBrokenError: broken after a byte may have left.
            DeadlinePassedError: no answer by the deadline.
        """
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise NoRoomError("the deadline passed before the request was sent", 1.0)
        headers = _headers(request, remaining)
        if repeatable and request.body is None:
            return self._send_pooled(address, connections, request, headers, deadline)
        return self._send_alone(address, request, headers, deadline)

    def cancel(self, address: str, request_id: str) -> bool:
        """Ask a back end to give a request up; tell whether it has."""
        url = f"http://{address}/-/requests/{request_id}"
        try:
            response = urllib3.request(
                "DELETE", url, timeout=_CANCEL_TIMEOUT_SECONDS, retries=False
            )
        except (urllib3.exceptions.HTTPError, OSError):
            return False
        return response.status < _FIRST_ERROR_STATUS

    def _send_alone(
        self, address: str, request: ForwardedRequest, headers: dict[str, str], deadline: float
    ) -> StreamedAnswer:
        host, _, port = address.rpartition(":")
        connect_seconds = min(_LONGEST_CONNECT_SECONDS, deadline - time.monotonic())
        connection = HTTPConnection(host.strip("[]"), int(port), timeout=connect_seconds)
        try:
            connection.connect()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            connection.close()
            raise ConnectFailedError(f"cannot connect to {address}", 1.0) from error
        try:
            _set_timeout(connection, deadline)
            connection.request(
                request.method,
                request.target,
                body=_body_pieces(request, connection, deadline),
                headers=headers,
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
                chunked=request.body is not None and request.body_length is None,
            )
            _set_timeout(connection, deadline)
            response = connection.getresponse()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            connection.close()
            raise _sent_failure(error, deadline) from error
        return _answer(response, connection, deadline)

    def _send_pooled(
        self,
        address: str,
        connections: int,
        request: ForwardedRequest,
        headers: dict[str, str],
        deadline: float,
    ) -> StreamedAnswer:
        pool = self._pool(address, connections)
        remaining = max(0.001, deadline - time.monotonic())
        connect_seconds = min(_LONGEST_CONNECT_SECONDS, remaining)
        try:
            response = pool.urlopen(
                request.method,
                request.target,
                headers=headers,
                retries=False,
                timeout=urllib3.Timeout(connect=connect_seconds, read=remaining),
                preload_content=False,
                decode_content=False,
                enforce_content_length=True,
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            raise ConnectFailedError(f"cannot connect to {address}", 1.0) from e
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _sent_failure(error, deadline) from error
        return _answer(response, None, deadline)

    def _pool(self, address: str, connections: int) -> urllib3.HTTPConnectionPool:
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                host, _, port = address.rpartition(":")
                pool = urllib3.HTTPConnectionPool(
                    host.strip("[]"), int(port), maxsize=connections, block=False
                )
                self._pools[address] = pool
            return pool


def _headers(request: ForwardedRequest, remaining: float) -> dict[str, str]:
    headers = dict(request.headers)
    headers[REQUEST_ID_HEADER] = request.request_id
    headers[DEADLINE_HEADER] = str(int(remaining * 1000))
    headers[ORIGIN_HEADER] = request.origin_region
    if request.shift:
        headers[SHIFT_HEADER] = request.shift
    if request.body_length is not None:
        headers["Content-Length"] = str(request.body_length)
    return headers


def _body_pieces(
    request: ForwardedRequest, connection: HTTPConnection, deadline: float
) -> Iterator[bytes] | None:
    if request.body is None:
        return None
    return _read_pieces(request, connection, deadline)


def _read_pieces(
    request: ForwardedRequest, connection: HTTPConnection, deadline: float
) -> Iterator[bytes]:
    assert request.body is not None
    left = request.body_length
    while left is None or left > 0:
        size = _PIECE_BYTES if left is None else min(_PIECE_BYTES, left)
        piece = request.body.read(size)
        if not piece:
            break
        if left is not None:
            left -= len(piece)
        _set_timeout(connection, deadline)
        yield piece
    if left:
        # The caller went away in the middle; the back end must not take a part for the whole.
        raise ConnectionResetError("the caller's body was cut short")


def _set_timeout(connection: HTTPConnection, deadline: float) -> None:
    remaining = deadline - time.monotonic()
    if remaining <= 0:
        raise TimeoutError("the deadline passed")
    # The connection sets its own timeout on the socket again before each step.
    connection.timeout = remaining
    if connection.sock is not None:
        connection.sock.settimeout(remaining)


def _sent_failure(error: Exception, deadline: float) -> ConnectionBrokenError | DeadlinePassedError:
    timed_out = isinstance(error, TimeoutError | urllib3.exceptions.TimeoutError)
    if timed_out or time.monotonic() >= deadline:
        return DeadlinePassedError("the back end did not answer by the deadline", 1.0)
    return ConnectionBrokenError("the connection to the back end broke", 1.0)


def _answer(
    response: urllib3.BaseHTTPResponse, connection: HTTPConnection | None, deadline: float
) -> StreamedAnswer:
    length = response.headers.get("Content-Length")
    return StreamedAnswer(
        status=response.status,
        reason=response.reason or "",
        headers=end_to_end_headers(response.headers.items()),
        pieces=_AnswerPieces(response, connection, deadline),
        length=int(length) if length is not None and length.isdigit() else None,
    )


class _AnswerPieces(Iterator[bytes]):
    """The body of one answer, and the end of its connection."""

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        connection: HTTPConnection | None,
        deadline: float,
    ) -> None:
        self._response = response
        self._connection = connection
        self._deadline = deadline
        self._pieces = response.stream(_PIECE_BYTES, decode_content=False)
        self._ended = False

    def __next__(self) -> bytes:
        try:
            return next(self._pieces)
        except StopIteration:
            self._end_complete()
            raise
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self.close()
            raise _sent_failure(error, self._deadline) from error

    def close(self) -> None:
        """End early: bytes of this answer may still come, so its connection serves nobody else."""
        if self._ended:
            return
        self._ended = True
        self._response.close()
        if self._connection is not None:
            self._connection.close()

    def _end_complete(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._connection is not None:
            self._connection.close()
        else:
            self._response.release_conn()
