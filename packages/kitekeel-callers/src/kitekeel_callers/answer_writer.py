"""Writes one answer to a caller's connection."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator

import h11

from kitekeel_steering.http_stream import ConnectionLostError, HttpStream
from kitekeel_steering.proxied_messages import ProxiedAnswer
from kitekeel_steering.tcp_reset import reset_on_close


async def write_answer(
    stream: HttpStream, parser: h11.Connection, answer: ProxiedAnswer, closes_connection: bool
) -> None:
    """Write an answer; return when the operating system has taken all of it.

    Args:
        stream: the caller's connection.
        parser: the parser that read the request.
        answer: the answer, whose body may still be incomplete.
        closes_connection: whether the caller is told that no answer follows.

    Raises:
        ConnectionLostError: the connection was lost, or the answer's body broke off; the connection
            has to be closed, so that the caller does not take a truncated answer as complete.
    """
    body = answer.body
    has_open_end = _ends_with_connection(parser, answer)
    if has_open_end and stream.transport is not None:
        # A process that is killed must not end the answer in an orderly way.
        reset_on_close(stream.transport, True)
    try:
        start = _serialize_start(parser, answer, closes_connection)
        if body.rest is None:
            start += parser.send(h11.EndOfMessage()) or b""
        await stream.write(start)
    except BaseException:
        if body.on_unread is not None:
            body.on_unread()
        raise
    if body.rest is not None:
        await _write_rest(stream, parser, body.rest)
        await stream.write(parser.send(h11.EndOfMessage()) or b"")
    if has_open_end and stream.transport is not None:
        reset_on_close(stream.transport, False)


def _ends_with_connection(parser: h11.Connection, answer: ProxiedAnswer) -> bool:
    """Return whether only the end of the connection shows that an answer is complete.

    Callers of HTTP/1.0 know no chunks.
    """
    has_length = answer.body.rest is None or answer.body.length is not None
    return not has_length and parser.their_http_version == b"1.0"


def _serialize_start(
    parser: h11.Connection, answer: ProxiedAnswer, closes_connection: bool
) -> bytes:
    headers = list(answer.headers)
    body = answer.body
    if body.rest is None:
        headers.append((b"Content-Length", str(len(body.start)).encode()))
    elif body.length is not None:
        headers.append((b"Content-Length", str(body.length).encode()))
    if closes_connection:
        headers.append((b"Connection", b"close"))
    head = h11.Response(status_code=answer.status, reason=answer.reason, headers=headers)
    data = parser.send(head) or b""
    return data + (parser.send(h11.Data(data=body.start)) or b"")


async def _write_rest(
    stream: HttpStream, parser: h11.Connection, rest: AsyncIterator[bytes]
) -> None:
    try:
        async for piece in rest:
            await stream.write(parser.send(h11.Data(data=piece)) or b"")
    except Exception:
        raise ConnectionLostError("the answer ended before its body was complete") from None
    finally:
        if isinstance(rest, AsyncGenerator):
            # Releases the back end's connection at once, not when the generator is collected.
            await rest.aclose()
