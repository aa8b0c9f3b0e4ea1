"""Sends one request to one back end and streams the answer.

A request that may not be repeated is sent on a new connection. A request whose connect failed is
then known not to have run, and it cannot be lost on a stale persistent connection. Once the first
byte is sent, a failure leaves the outcome unknown, and this module does not send the request again.

A late answer to an earlier request on a kept connection is recognized if it repeats the id of its
request, which back ends need not do here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from http.client import HTTPException

import urllib3

from kitekeel_backends.deadline_connection import DeadlineConnection, IdleConnections
from kitekeel_steering.clock import steady_seconds
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

_CHUNK_BYTES = 64 * 1024
# A healthy back end answers a cancellation within a few milliseconds.
_CANCEL_TIMEOUT_SECONDS = 0.5
_FIRST_ERROR_STATUS = 400
_EXCHANGE_ERRORS = (urllib3.exceptions.HTTPError, HTTPException, OSError, ValueError)


class Forwarder:
    """Sends requests to back ends; safe to call from many threads."""

    def __init__(self) -> None:
        self._idle_connections = IdleConnections()

    def send(
        self,
        address: str,
        connections: int,
        request: ForwardedRequest,
        repeatable: bool,
        deadline: float,
    ) -> StreamedAnswer:
        """Send a request and return the answer once its headers have arrived.

        Args:
            address: the back end's ``IP:port``.
            connections: maximum number of idle connections kept to it.
            request: what to send.
            repeatable: whether a kept connection may be used.
            deadline: monotonic time by which the whole answer must have arrived.

        Raises:
            ConnectFailedError: the connection failed; the request was not run.
            NoRoomError: the deadline had already passed; the request was not run.
            ConnectionBrokenError: the connection broke after a byte may have been sent.
            DeadlinePassedError: no answer by the deadline.
        """
        if steady_seconds() >= deadline:
            raise NoRoomError("the deadline passed before the request was sent", 1.0)
        may_keep = repeatable and request.body is None
        connection = self._idle_connections.take(address, deadline) if may_keep else None
        if connection is None:
            connection = _connect(address, deadline)
        response = _exchange(connection, request, deadline)
        max_idle = connections if may_keep else 0
        on_complete = partial(self._idle_connections.release, address, connection, max_idle)
        pieces = _AnswerBody(response, connection, deadline, on_complete)
        return _answer(response, pieces)

    def cancel(self, address: str, request_id: str) -> bool:
        """Ask a back end to cancel a request; return whether it did."""
        deadline = steady_seconds() + _CANCEL_TIMEOUT_SECONDS
        connection = DeadlineConnection(address, deadline)
        try:
            connection.request("DELETE", f"/-/requests/{request_id}")
            return connection.getresponse().status < _FIRST_ERROR_STATUS
        except _EXCHANGE_ERRORS:
            # Counted by the caller, which then holds the slot until the back end's deadline.
            return False
        finally:
            connection.close()


def _connect(address: str, deadline: float) -> DeadlineConnection:
    connection = DeadlineConnection(address, deadline)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        raise ConnectFailedError(f"cannot connect to {address}", 1.0) from error
    return connection


def _exchange(
    connection: DeadlineConnection, request: ForwardedRequest, deadline: float
) -> urllib3.BaseHTTPResponse:
    """Send a request on an open connection and return the response once its head has arrived."""
    remaining = max(0.0, deadline - steady_seconds())
    connection.exchanges += 1
    try:
        connection.request(
            request.method,
            request.target,
            body=_body_pieces(request),
            headers=_headers(request, remaining),
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
            chunked=request.body is not None and request.body_length is None,
        )
        response = connection.getresponse()
    except _EXCHANGE_ERRORS as error:
        connection.close()
        raise _exchange_failure(error, deadline, connection) from error
    if response.headers.get(REQUEST_ID_HEADER, request.request_id) != request.request_id:
        connection.close()
        raise ConnectionBrokenError("the back end sent the answer to another request", 1.0)
    connection.note_head_read()
    return response


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


def _body_pieces(request: ForwardedRequest) -> Iterator[bytes] | None:
    return None if request.body is None else _read_pieces(request)


def _read_pieces(request: ForwardedRequest) -> Iterator[bytes]:
    assert request.body is not None
    left = request.body_length
    while left is None or left > 0:
        size = _CHUNK_BYTES if left is None else min(_CHUNK_BYTES, left)
        piece = request.body.read(size)
        if not piece:
            break
        if left is not None:
            left -= len(piece)
        yield piece
    if left:
        # The caller disconnected; the back end must not take the truncated body for a complete one.
        raise ConnectionResetError("the caller's body was cut short")


def _exchange_failure(
    error: Exception, deadline: float, connection: DeadlineConnection
) -> ConnectionBrokenError | DeadlinePassedError:
    timed_out = isinstance(error, TimeoutError | urllib3.exceptions.TimeoutError)
    if timed_out or steady_seconds() >= deadline:
        text = f"no answer by the deadline on the connection's request {connection.exchanges}"
        return DeadlinePassedError(text, 1.0)
    return ConnectionBrokenError(f"the connection to the back end broke: {error!r}", 1.0)


def _answer(response: urllib3.BaseHTTPResponse, pieces: Iterator[bytes]) -> StreamedAnswer:
    length = response.headers.get("Content-Length")
    return StreamedAnswer(
        status=response.status,
        reason=response.reason or "",
        headers=end_to_end_headers(response.headers.items()),
        pieces=pieces,
        length=int(length) if length is not None and length.isdigit() else None,
    )


class _AnswerBody(Iterator[bytes]):
    """Iterates over the body of one answer, then releases or closes its connection.

    Args:
        on_complete: called once the body has been read to its end.
    """

    def __init__(
        self,
        response: urllib3.BaseHTTPResponse,
        connection: DeadlineConnection,
        deadline: float,
        on_complete: Callable[[], None],
    ) -> None:
        self._response = response
        self._connection = connection
        self._deadline = deadline
        self._on_complete = on_complete
        self._ended = False

    def __next__(self) -> bytes:
        if self._ended:
            raise StopIteration
        try:
            piece = self._response.read1(_CHUNK_BYTES, decode_content=False)
        except _EXCHANGE_ERRORS as error:
            self.close()
            raise _exchange_failure(error, self._deadline, self._connection) from error
        if piece:
            return piece
        self._ended = True
        self._on_complete()
        raise StopIteration

    def close(self) -> None:
        """Stop early and close the connection, since more bytes of this answer may arrive on it."""
        if self._ended:
            return
        self._ended = True
        self._response.close()
        self._connection.close()
