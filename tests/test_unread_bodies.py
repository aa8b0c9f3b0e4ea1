"""A caller whose request is refused early still gets the answer, whatever is left of its body.

What happened, by reading: a request with a body of over 1 MB that no back end ran was answered 503
and the connection closed while part of the body was still on its way.

Why: closing a connection with unread bytes resets it, and a reset destroys an answer that the
caller has not read yet. The caller then cannot know that its request was not run.

What showed it: all four of these tests ended in a reset connection.
"""

import asyncio
import time
from http import HTTPStatus

import pytest
from gateway_stand_ins import play
from loopback import free_address

from kitekeel_callers.http_listener import HttpListener
from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest
from kitekeel_steering.routing import CallerLimits

_BODY_BYTES = 12 * 1024 * 1024
_PIECE = b"x" * 64 * 1024


async def refuse(_request: ProxiedRequest) -> ProxiedAnswer:
    return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, body=b"not run")


def head(length: int) -> bytes:
    return f"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n".encode()


async def listener() -> str:
    address = free_address()
    limits = CallerLimits(largest_body=64 * 1024 * 1024)
    await HttpListener(address, refuse, lambda: limits).start()
    return address


async def send_slowly(writer: asyncio.StreamWriter, length: int, pause: float) -> None:
    for _ in range(length // len(_PIECE)):
        writer.write(_PIECE)
        await writer.drain()
        await asyncio.sleep(pause)


@pytest.mark.parametrize("pause_seconds", [0.0, 0.002])
def test_a_refusal_reaches_a_caller_that_sends_its_whole_body_first(pause_seconds: float) -> None:
    async def scenario() -> None:
        host, _, port = (await listener()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head(_BODY_BYTES))
        await send_slowly(writer, _BODY_BYTES, pause_seconds)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503")
        assert await reader.readexactly(7) == b"not run"

    play(scenario)


def test_the_connection_serves_on_once_the_body_has_come() -> None:
    async def scenario() -> None:
        host, _, port = (await listener()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(2):
            writer.write(head(_BODY_BYTES))
            await send_slowly(writer, _BODY_BYTES, 0.0)
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 503")
            await reader.readexactly(7)

    play(scenario)


def test_a_caller_that_never_sends_the_rest_is_not_waited_for() -> None:
    async def scenario() -> None:
        host, _, port = (await listener()).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(head(_BODY_BYTES))
        await send_slowly(writer, 2 * 1024 * 1024, 0.0)
        answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 503")
        await reader.readexactly(7)
        started_at = time.monotonic()
        assert await reader.read() == b""
        assert time.monotonic() - started_at < 5.0

    play(scenario)
