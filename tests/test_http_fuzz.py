"""Seeded fuzz of the HTTP edge on both sides: spoilt bytes never become a false answer."""

import asyncio
import random

import pytest
from test_gateway_connections import ask, connect, echo, listen, reply, serve

from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_steering.errors import KitekeelError

SEEDS = range(40)
BODY = "the whole body of this answer"


def spoil(generator: random.Random, good: bytes) -> bytes:
    """Return the bytes cut, doubled, mixed or overwritten somewhere."""
    place = generator.randrange(len(good))
    how = generator.randrange(5)
    if how == 0:
        return good[:place]
    if how == 1:
        return good + good[place:]
    if how == 2:
        return good[:place] + generator.randbytes(4) + good[place:]
    if how == 3:
        return good[:place] + good[place + generator.randrange(1, 9) :]
    return generator.randbytes(60) + good


@pytest.mark.parametrize("seed", SEEDS)
def test_spoilt_answers_are_errors_or_leave_the_next_answer_whole(seed: int) -> None:
    generator = random.Random(seed)

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.split("Request-Id: ")[1].split("\r\n")[0]
                good = reply(request_id, f"{BODY} {request_id}")
                is_spoilt = generator.random() < 0.5
                for piece in _pieces(generator, spoil(generator, good) if is_spoilt else good):
                    writer.write(piece)
                    await asyncio.sleep(0)
                if is_spoilt and generator.random() < 0.7:
                    writer.close()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def run() -> None:
        pool = ConnectionPool(1.0)
        address = await serve(script)
        for number in range(12):
            request_id = f"id-{number}"
            try:
                answer = await asyncio.wait_for(ask(pool, address, request_id), 0.2)
            except (KitekeelError, TimeoutError):
                continue
            body = answer.body.start.decode("latin-1")
            others = [f"id-{other}" for other in range(12) if other != number]
            assert not any(body.endswith(other) for other in others)
        assert pool.open_connections() <= 1

    asyncio.run(run())


def _pieces(generator: random.Random, data: bytes) -> list[bytes]:
    cut = generator.randrange(len(data) + 1)
    return [data[:cut], data[cut:]]


@pytest.mark.parametrize("seed", SEEDS)
def test_spoilt_requests_never_stop_the_listener(seed: int) -> None:
    generator = random.Random(seed)
    good = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"

    async def run() -> None:
        listener, address = await listen(echo)
        for _ in range(10):
            reader, writer = await connect(address)
            writer.write(spoil(generator, good))
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 1.0)
            writer.close()
        reader, writer = await connect(address)
        writer.write(good)
        assert (await asyncio.wait_for(reader.readline(), 1.0)).startswith(b"HTTP/1.1 200")
        writer.close()
        await asyncio.sleep(0.05)
        assert listener.open_connections() == 0

    asyncio.run(run())
