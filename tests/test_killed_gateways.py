"""A gateway process that is killed leaves no truncated answer that looks complete."""

import asyncio

import pytest
from loopback import free_address
from part_process import BACK_END, PIECE, SECRET
from script_process import script_process
from test_gateway_connections import Script, connect, outgoing, read_head, reply, serve

from kitekeel_backends import tunnel_messages
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_backends.tunnel_client import open_tunnel
from kitekeel_backends.tunnel_frames import END_FRAME, FrameReader, frame
from kitekeel_steering.errors import ConnectionBrokenError
from kitekeel_steering.http_stream import ConnectionLostError

PART_PROCESS = "part_process.py"
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: one\r\n\r\n"
# More than a connection keeps in memory before it passes an answer on.
LARGE_BODY = b"0123456789abcdef" * 40_000


async def open_through(relay_address: str, back_end_address: str) -> BackEndConnection:
    return await open_tunnel(
        relay_address, back_end_address, BACK_END, SECRET, lambda: BackEndConnection(lambda _: None)
    )


@pytest.mark.parametrize("body", [b"", b"some bytes", LARGE_BODY])
def test_an_answer_without_a_length_is_not_complete_when_its_relay_is_killed(body: bytes) -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(UNFRAMED_HEAD + body)
        await asyncio.sleep(5.0)

    async def run() -> None:
        back_end_address, relay_address = await serve(script), free_address()
        with script_process(PART_PROCESS, "relay", relay_address, back_end_address) as process:
            connection = await open_through(relay_address, back_end_address)
            exchange = asyncio.create_task(connection.exchange(outgoing("one")))
            await asyncio.sleep(0.2)
            process.kill()
            with pytest.raises((ConnectionBrokenError, ConnectionLostError)):
                async with asyncio.timeout(1.0):
                    answer = await exchange
                    assert answer.body.rest is not None
                    _ = [piece async for piece in answer.body.rest]

    asyncio.run(run())


def test_a_whole_answer_that_has_left_a_relay_arrives_although_the_relay_is_killed() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(reply("one", "a whole answer"))

    async def run() -> None:
        back_end_address, relay_address = await serve(script), free_address()
        with script_process(PART_PROCESS, "relay", relay_address, back_end_address) as process:
            connection = await open_through(relay_address, back_end_address)
            assert connection.transport is not None
            connection.transport.pause_reading()
            exchange = asyncio.create_task(connection.exchange(outgoing("one")))
            await asyncio.sleep(0.2)
            process.kill()
            process.wait()
            connection.transport.resume_reading()
            assert (await exchange).body.start == b"a whole answer"

    asyncio.run(run())


def unframed_relay(last_bytes: bytes) -> Script:
    """Return a relay of a version without frames, whose connection ends after an answer."""

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        await read_head(reader)
        writer.write(last_bytes)
        writer.close()

    return script


def test_the_end_of_a_tunnel_without_frames_completes_no_answer() -> None:
    async def run() -> None:
        relay_address = await serve(unframed_relay(UNFRAMED_HEAD + b"some bytes"))
        connection = await open_through(relay_address, free_address())
        with pytest.raises(ConnectionBrokenError):
            await connection.exchange(outgoing("one"))

    asyncio.run(run())


def test_an_answer_with_a_length_passes_through_a_tunnel_without_frames() -> None:
    async def run() -> None:
        relay_address = await serve(unframed_relay(reply("one", "a whole answer")))
        connection = await open_through(relay_address, free_address())
        answer = await connection.exchange(outgoing("one"))
        assert answer.body.start == b"a whole answer"

    asyncio.run(run())


def test_a_relay_sends_no_frames_to_a_daemon_that_has_not_asked_for_them() -> None:
    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        writer.write(b"bytes of the back end")
        writer.close()

    async def run() -> None:
        back_end_address, relay_address = await serve(script), free_address()
        with script_process(PART_PROCESS, "relay", relay_address, back_end_address):
            reader, writer = await connect(relay_address)
            request = tunnel_messages.connect_request(back_end_address, BACK_END, SECRET, "")
            names = [name for name, _ in request.headers if name != tunnel_messages.FRAMES_HEADER]
            lines = [f"{name.decode()}: {dict(request.headers)[name].decode()}" for name in names]
            head = "\r\n".join([f"CONNECT {back_end_address} HTTP/1.1", *lines, "", ""])
            writer.write(head.encode())
            assert await read_head(reader) == "HTTP/1.1 200 OK\r\n\r\n"
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            assert await reader.read() == b"bytes of the back end"

    asyncio.run(run())


@pytest.mark.parametrize("step", [1, 3, 5, 1000])
def test_frames_are_read_however_their_bytes_are_divided(step: int) -> None:
    sent = frame(b"first") + frame(b"x" * 300) + END_FRAME + b"not read"
    reader = FrameReader()
    received = b"".join(
        piece
        for start in range(0, len(sent), step)
        for piece in reader.feed(sent[start : start + step])
    )
    assert received == b"first" + b"x" * 300
    assert reader.has_ended


@pytest.mark.parametrize(("seconds", "is_killed"), [(5.0, True), (0.1, False)])
def test_an_http_1_0_caller_sees_that_its_gateway_was_killed_within_an_answer(
    seconds: float, is_killed: bool
) -> None:
    async def run() -> None:
        address = free_address()
        with script_process(PART_PROCESS, "listener", address) as process:
            reader, writer = await connect(address)
            writer.write(f"GET /{seconds} HTTP/1.0\r\nHost: h\r\n\r\n".encode())
            await read_head(reader)
            assert await reader.readexactly(len(PIECE)) == PIECE
            if not is_killed:
                assert await reader.read() == PIECE
                return
            process.kill()
            with pytest.raises(ConnectionResetError):
                await reader.read()

    asyncio.run(run())
