"""Connections under faults: each answer reaches its own request, whole, or not at all.

The back ends here are scripts of raw bytes, because the faults are below HTTP.
"""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable

import pytest
from loopback import free_address

from kitekeel_backends.connection_pool import ConnectionLimitError, ConnectionPool
from kitekeel_backends.exchange_messages import OutgoingRequest
from kitekeel_callers.http_connection import Handler
from kitekeel_callers.http_listener import HttpListener
from kitekeel_steering.errors import ConnectFailedError, ConnectionBrokenError
from kitekeel_steering.proxied_messages import MessageBody, ProxiedAnswer, ProxiedRequest
from kitekeel_steering.routing import CallerLimits

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
ID = b"request-id"


async def serve(script: Script) -> str:
    address = free_address()
    host, port = address.split(":")
    await asyncio.start_server(script, host, int(port))
    return address


async def read_head(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(b"\r\n\r\n")).decode()


def reply(request_id: str, body: str, extra: str = "") -> bytes:
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    )
    return (head + body).encode()


def outgoing(request_id: str, body: MessageBody | None = None) -> OutgoingRequest:
    headers = ((b"Host", b"h"), (b"Request-Id", request_id.encode()))
    return OutgoingRequest(
        b"POST" if body else b"GET", b"/x", headers, body or MessageBody(b"", None, 0), ID
    )


async def ask(pool: ConnectionPool, address: str, request_id: str) -> ProxiedAnswer:
    connection = await pool.acquire(address, 5, repeatable=True)
    try:
        answer = await connection.exchange(outgoing(request_id))
    except BaseException:
        pool.discard(address, connection)
        raise
    pool.release(address, connection)
    return answer


def reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def test_a_late_answer_to_an_earlier_request_is_dropped() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(reply("one", "first"))
        await read_head(reader)
        writer.write(reply("one", "first again") + reply("two", "second"))

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        assert (await ask(pool, address, "one")).body.start == b"first"
        assert (await ask(pool, address, "two")).body.start == b"second"
        assert pool.open_connections() == 1

    asyncio.run(run())


@pytest.mark.parametrize("pause", [0.0, 0.05])
def test_a_surplus_answer_spoils_the_connection(pause: float) -> None:
    seen: list[str] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        seen.append(head)
        request_id = head.split("Request-Id: ")[1].split("\r\n")[0]
        writer.write(reply(request_id, "own"))
        await asyncio.sleep(pause)
        writer.write(reply(request_id, "surplus"))

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        assert (await ask(pool, address, "one")).body.start == b"own"
        await asyncio.sleep(0.1)
        assert (await ask(pool, address, "two")).body.start == b"own"
        assert len(seen) == 2

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent",
    [
        b"HTTP/1.1 200 OK\r\nRequest-Id: one\r\nContent-Length: 50\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nRequest-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"\x00\x01 this is no answer\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequ",
        b"",
    ],
)
def test_an_answer_that_breaks_off_is_no_answer(sent: bytes) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(sent)
        writer.close()

    async def run() -> None:
        with pytest.raises(ConnectionBrokenError):
            await ask(ConnectionPool(1.0), await serve(script), "one")

    asyncio.run(run())


@pytest.mark.parametrize("is_clean", [True, False])
def test_an_answer_without_length_is_complete_only_after_a_clean_end(is_clean: bool) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\nbytes")
        await asyncio.sleep(0.05)
        if is_clean:
            writer.close()
        else:
            reset(writer)

    async def run() -> None:
        address = await serve(script)
        pool = ConnectionPool(1.0)
        if is_clean:
            assert (await ask(pool, address, "one")).body.start == b"bytes"
            assert pool.open_connections() == 0
            return
        with pytest.raises(ConnectionBrokenError):
            await ask(pool, address, "one")

    asyncio.run(run())


def test_a_connection_whose_request_was_answered_early_is_not_used_again() -> None:
    connections = 0

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        await read_head(reader)
        writer.write(reply("one", "early"))
        await asyncio.sleep(1.0)

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        body = MessageBody(b"x" * 8_000_000, None, 8_000_000)
        connection = await pool.acquire(address, 5, repeatable=True)
        answer = asyncio.create_task(connection.exchange(outgoing("one", body)))
        await asyncio.sleep(0.3)
        assert not connection.is_reusable()
        answer.cancel()
        pool.discard(address, connection)
        assert connections == 1

    asyncio.run(run())


def test_an_answer_without_an_id_is_taken_only_on_a_fresh_connection() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(2):
            await read_head(reader)
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        assert (await ask(pool, address, "one")).status == 503
        with pytest.raises(ConnectionBrokenError):
            await ask(pool, address, "two")

    asyncio.run(run())


def test_what_was_not_sent_is_told_apart_from_what_may_have_run() -> None:
    async def run() -> None:
        pool = ConnectionPool(1.0)
        with pytest.raises(ConnectFailedError):
            await ask(pool, free_address(), "one")

        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            reset(writer)

        with pytest.raises(ConnectionBrokenError):
            await ask(pool, await serve(script), "one")
        assert pool.open_connections() == 0

    asyncio.run(run())


def test_a_resting_connection_that_was_closed_is_not_used() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await read_head(reader)
        writer.write(reply(head.split("Request-Id: ")[1].split("\r\n")[0], "own"))
        await asyncio.sleep(0.05)
        writer.close()

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        for name in ("one", "two", "three"):
            assert (await ask(pool, address, name)).body.start == b"own"
            await asyncio.sleep(0.15)
        assert pool.open_connections() == 0

    asyncio.run(run())


def test_the_connections_to_a_back_end_are_bounded() -> None:
    async def script(reader: asyncio.StreamReader, _writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        held = [await pool.acquire(address, 2, repeatable=True) for _ in range(2)]
        with pytest.raises(ConnectionLimitError):
            await pool.acquire(address, 2, repeatable=True)
        pool.discard(address, held[0])
        await pool.acquire(address, 2, repeatable=True)

    asyncio.run(run())


def test_a_loop_that_is_held_while_it_connects_does_not_fail_the_back_end() -> None:
    """Guards against taking a pause of the own event loop for a back end out of reach."""

    async def run() -> None:
        async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await read_head(reader)
            writer.write(reply("r1", "whole"))

        address = await serve(script)
        pool = ConnectionPool(0.2)
        asking = asyncio.create_task(ask(pool, address, "r1"))
        loop = asyncio.get_running_loop()
        loop.call_soon(lambda: loop.call_soon(time.sleep, 0.5))
        assert (await asyncio.wait_for(asking, 3.0)).body.start == b"whole"

    asyncio.run(run())


async def listen(handler: Handler, limits: CallerLimits | None = None) -> tuple[HttpListener, str]:
    address = free_address()
    listener = HttpListener(address, handler, lambda: limits or CallerLimits())
    await listener.start()
    return listener, address


async def connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def echo(request: ProxiedRequest) -> ProxiedAnswer:
    pieces = [request.body.start]
    if request.body.rest is not None:
        pieces += [piece async for piece in request.body.rest]
    body = b"".join(pieces)
    return ProxiedAnswer(200, b"OK", (), MessageBody(body, None, len(body)))


@pytest.mark.parametrize("way", ["close", "half-close", "reset"])
def test_work_for_a_caller_that_leaves_is_cancelled_at_once(way: str) -> None:
    ended = asyncio.Event()

    async def wait_long(_request: ProxiedRequest) -> ProxiedAnswer:
        try:
            await asyncio.sleep(10)
        finally:
            ended.set()
        raise AssertionError("not reached")

    async def run() -> None:
        _, address = await listen(wait_long)
        _, writer = await connect(address)
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.1)
        if way == "close":
            writer.close()
        elif way == "half-close":
            writer.write_eof()
        else:
            reset(writer)
        await asyncio.wait_for(ended.wait(), 0.5)

    asyncio.run(run())


def test_pipelined_requests_are_answered_in_order() -> None:
    async def run() -> None:
        _, address = await listen(echo)
        reader, writer = await connect(address)
        for name in (b"one", b"two"):
            head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
            writer.write(head + name)
        for name in (b"one", b"two"):
            await read_head(reader)
            assert await reader.readexactly(3) == name

    asyncio.run(run())


def test_a_long_chunked_body_is_streamed_whole() -> None:
    async def run() -> None:
        _, address = await listen(echo)
        reader, writer = await connect(address)
        writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
        piece = b"y" * 100_000
        for _ in range(20):
            writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
        writer.write(b"0\r\n\r\n")
        head = await read_head(reader)
        assert "Content-Length: 2000000" in head
        assert len(await reader.readexactly(2_000_000)) == 2_000_000

    asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
            b"400",
        ),
    ],
)
def test_requests_beyond_the_limits_are_rejected(sent: bytes, status: bytes) -> None:
    async def run() -> None:
        _, address = await listen(echo, CallerLimits(largest_header=2000, largest_body=1000))
        reader, writer = await connect(address)
        writer.write(sent)
        line = await asyncio.wait_for(reader.readline(), 1.0)
        assert line.split()[1] == status

    asyncio.run(run())


def test_slow_heads_and_resting_connections_are_closed_in_time() -> None:
    limits = CallerLimits(header_timeout_seconds=0.1, idle_timeout_seconds=0.4)

    async def run() -> None:
        _, address = await listen(echo, limits)
        slow_reader, slow_writer = await connect(address)
        slow_writer.write(b"GET / HT")
        idle_reader, _ = await connect(address)
        await asyncio.wait_for(slow_reader.read(), 0.3)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(idle_reader.read(), 0.1)
        await asyncio.wait_for(idle_reader.read(), 0.5)

    asyncio.run(run())


def test_a_stop_answers_what_was_read_and_closes_the_rest() -> None:
    async def slow(request: ProxiedRequest) -> ProxiedAnswer:
        await asyncio.sleep(0.2)
        return await echo(request)

    async def run() -> None:
        listener, address = await listen(slow)
        busy_reader, busy_writer = await connect(address)
        idle_reader, _ = await connect(address)
        busy_writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.05)
        listener.announce_stop()
        listener.stop_accepting()
        assert await asyncio.wait_for(idle_reader.read(), 0.1) == b""
        head = await read_head(busy_reader)
        assert head.startswith("HTTP/1.1 200") and "Connection: close" in head
        assert await asyncio.wait_for(busy_reader.read(), 0.2) == b""
        assert listener.open_connections() == 0

    asyncio.run(run())


def test_a_stop_answers_requests_that_the_loop_has_not_read() -> None:
    """Guards against closing connections on which a request arrived while the loop was busy."""

    async def run() -> None:
        listener, address = await listen(echo)
        host, port = address.split(":")
        request = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
        kept_reader, kept_writer = await connect(address)
        kept_writer.write(request)
        await read_head(kept_reader)
        # From here to the stop nothing is awaited, as in a loop that is busy with something else.
        fresh = socket.create_connection((host, int(port)))
        fresh.sendall(request)
        kept_writer.write(request)
        listener.announce_stop()
        listener.stop_accepting()
        fresh_reader, _ = await asyncio.open_connection(sock=fresh)
        for reader in (kept_reader, fresh_reader):
            head = await asyncio.wait_for(read_head(reader), 3.0)
            assert head.startswith("HTTP/1.1 200") and "Connection: close" in head
        assert await asyncio.wait_for(kept_reader.read(), 0.2) == b""

    asyncio.run(run())


class _AbortedFirst:
    """A listening socket whose first pending connection was aborted by its caller."""

    def __init__(self, listening: socket.socket) -> None:
        self._listening = listening
        self._is_first = True

    def accept(self) -> tuple[socket.socket, object]:
        if self._is_first:
            self._is_first = False
            raise ConnectionAbortedError
        return self._listening.accept()

    def fileno(self) -> int:
        return self._listening.fileno()


def test_a_stop_answers_requests_behind_an_aborted_connection() -> None:
    """Guards against a stop that accepts no further connections after an aborted one."""

    async def run() -> None:
        listener, address = await listen(echo)
        host, port = address.split(":")
        listening = listener._socket
        assert listening is not None
        fresh = socket.create_connection((host, int(port)))
        fresh.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
        listener._socket = _AbortedFirst(listening)  # type: ignore[assignment]
        listener.announce_stop()
        listener.stop_accepting()
        reader, _ = await asyncio.open_connection(sock=fresh)
        head = await asyncio.wait_for(read_head(reader), 3.0)
        assert head.startswith("HTTP/1.1 200")

    asyncio.run(run())


def test_a_connection_carries_no_request_id_twice() -> None:
    """Guards against an answer to an earlier send that is taken for the answer to a later one."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await read_head(reader)
            writer.write(reply("one", "answer"))

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        first = await pool.acquire(address, 5, repeatable=False)
        await first.exchange(outgoing("one"))
        pool.release(address, first)
        second = await pool.acquire(
            address, 5, False, may_use=lambda each: each.can_identify(b"one")
        )
        assert second is not first
        pool.discard(address, second)
        with pytest.raises(ConnectFailedError):
            await first.exchange(outgoing("one"))

    asyncio.run(run())


async def answer_without_ids(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def test_requests_without_an_id_use_connections_of_their_own() -> None:
    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(answer_without_ids)
        without_id = OutgoingRequest(
            b"GET", b"/x", ((b"Host", b"h"),), MessageBody(b"", None, 0), ID
        )
        connection = await pool.acquire(address, 5, repeatable=True)
        assert connection.can_identify(None)
        await connection.exchange(without_id)
        assert not connection.can_identify(None)
        with pytest.raises(ConnectFailedError):
            await connection.exchange(without_id)

    asyncio.run(run())


def test_requests_to_a_server_that_knows_no_ids_share_a_connection() -> None:
    """Guards against a store that cannot be reached a second time."""

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(answer_without_ids)
        request = OutgoingRequest(b"GET", b"/x", ((b"Host", b"h"),), MessageBody(b"", None, 0))
        for _ in range(3):
            connection = await pool.acquire(address, 5, repeatable=True)
            assert (await connection.exchange(request)).status == 200
            pool.release(address, connection)
        assert connection.exchanges == 3

    asyncio.run(run())


def test_a_late_rejection_is_not_taken_for_the_answer_to_a_probe() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(reply("one", "first"))
        await read_head(reader)
        writer.write(reply("one", "first again"))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell")

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        connection = await pool.acquire(address, 5, repeatable=True)
        await connection.exchange(outgoing("one"))
        probe = OutgoingRequest(
            b"GET", b"/h", ((b"Host", b"h"),), MessageBody(b"", None, 0), ID, is_probe=True
        )
        assert (await connection.exchange(probe)).body.start == b"well"
        assert connection.skipped_answers == 1

    asyncio.run(run())


def test_the_answer_behind_a_late_one_is_read_if_the_back_end_ends_at_the_same_moment() -> None:
    """Guards against an exchange that ends in an error of the parser, as one in a tunnel could."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(reply("one", "first"))
        await reader.read()

    async def run() -> None:
        pool = ConnectionPool(1.0)
        connection = await pool.acquire(await serve(script), 5, repeatable=True)
        await connection.exchange(outgoing("one"))
        exchange = asyncio.create_task(connection.exchange(outgoing("two")))
        await asyncio.sleep(0.05)
        connection.data_received(reply("one", "first again") + reply("two", "second"))
        connection.eof_received()
        assert (await exchange).body.start == b"second"

    asyncio.run(run())


def test_a_connection_is_replaced_after_a_bounded_number_of_requests() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await read_head(reader)
            writer.write(reply(head.split("Request-Id: ")[1].split("\r\n")[0], "answer"))

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        numbers = set()
        for number in range(600):
            connection = await pool.acquire(address, 5, repeatable=True)
            numbers.add(connection.number)
            await connection.exchange(outgoing(f"r{number}"))
            pool.release(address, connection)
        assert len(numbers) == 2
        assert pool.open_connections() == 1

    asyncio.run(run())


def test_a_back_end_learns_at_once_that_its_request_was_given_up() -> None:
    """Guards against back ends that go on with an answer until its second write after the end."""
    ends: list[BaseException | None] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nX-Begun: ")
        try:
            await reader.read()
            ends.append(None)
        except ConnectionResetError as error:
            ends.append(error)

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(ask(pool, address, "r1"), 0.1)
        await asyncio.sleep(0.1)
        assert [type(each) for each in ends] == [ConnectionResetError]

    asyncio.run(run())
