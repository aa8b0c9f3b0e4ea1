"""Gateways whose back end sends bytes without end: what callers get, and who is put aside."""

import asyncio
import random
import subprocess
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import pytest
from gateway_stand_ins import NAMES, RunningGateway, fleet, play
from loopback import free_address
from partitioned_back_ends import (
    Cut,
    NewConnections,
    OpenConnections,
    start_on_network,
)
from script_process import script_process

from kitekeel_callers.http_listener import HttpListener
from kitekeel_callers.memory_budget import resident_bytes
from kitekeel_steering.answer_bounds import (
    LATE_WAIT_SECONDS,
    MAX_LATE_BYTES,
    MAX_UNSIZED_BYTES,
    MIN_LATE_BYTES_PER_SECOND,
    AnswerBounds,
)
from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.proxied_messages import (
    MessageBody,
    ProxiedAnswer,
    ProxiedRequest,
    find_header,
)

KINDS = [
    "no-length",
    "chunked",
    "huge-length",
    "headers",
    "interim",
    "another-answer",
    "slow-headers",
    "slow-interim",
    "slow-another-answer",
    "slow-body",
    "slow-rest",
    "slow-rest-with-length",
]
SOUND_BACK_ENDS = 3
# Callers read faster than the gateway writes.
READ_BYTES = 1024 * 1024
PER_SECOND = 30.0
DEADLINE_SECONDS = 1.5
# A request that has no final answer half a second after its deadline was held too long.
HELD_SECONDS = 0.5
# Time within which a faulty back end must be known to be one.
CONTACT_SECONDS = 4.0
JUDGED_SECONDS = 3.0
# As for back ends that never answer, see test_silent_back_ends.
MIN_SERVED = 0.9
# A fifth of what each of four back ends would get.
MAX_FAULTY_SHARE = 0.05
# Half of what a gateway of 300 MB has beside the 50 MB that it needs itself.
MAX_GROWTH_BYTES = 125 * 1024 * 1024
SAMPLE_SECONDS = 0.05


class CallerResult(msgspec.Struct, frozen=True):
    """What one caller got, in seconds."""

    sent_at: float
    seconds: float
    status: int
    is_complete: bool


class EndlessBackEnd:
    """A back end process whose answers do not end.

    Attributes:
        requests: the ids of the requests that it got.
        closed_after: how long each connection was used until it was found closed, in seconds.
    """

    def __init__(self, address: str, process: subprocess.Popen[bytes]) -> None:
        self.record = BackEndRecord("endless", "search", address, "n1", 4)
        self.address = address
        self.requests: list[str] = []
        self.closed_after: list[float] = []
        self._process = process
        self._task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await asyncio.to_thread(self._process.stdout.readline):
            event, request_id, *seconds = line.decode().split()
            if event == "got":
                self.requests.append(request_id)
            else:
                self.closed_after.append(float(seconds[0]))


@asynccontextmanager
async def endless_back_end(kind: str) -> AsyncIterator[EndlessBackEnd]:
    address = free_address()
    with script_process("endless_back_end.py", kind, address) as process:
        yield EndlessBackEnd(address, process)


async def read_all(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Read an answer as a caller does; return its status and whether it was complete."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = dict(each.lower().split(": ", 1) for each in head.split("\r\n")[1:] if each)
        status = int(head.split()[1])
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, False
    size, tail = 0, b""
    try:
        while piece := await reader.read(READ_BYTES):
            size += len(piece)
            tail = (tail + piece)[-5:]
    except ConnectionError:
        return status, False
    stated = lines.get("content-length")
    return status, tail == b"0\r\n\r\n" if stated is None else size == int(stated)


def request_head(number: int) -> bytes:
    lines = [
        "GET /safe/x HTTP/1.1",
        "Host: h",
        "Connection: close",
        f"{NAMES.request_id.decode()}: q{number}",
        f"{NAMES.deadline.decode()}: {int(DEADLINE_SECONDS * 1000)}",
        f"Cookie: {NAMES.affinity_cookie}={number}",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(address: str, number: int) -> CallerResult:
    """Send a repeatable request and read until the answer ends."""
    host, _, port = address.rpartition(":")
    sent_at = time.monotonic()
    reader, writer = await asyncio.open_connection(host, int(port), limit=READ_BYTES)
    writer.write(request_head(number))
    try:
        async with asyncio.timeout(3 * DEADLINE_SECONDS):
            status, is_complete = await read_all(reader)
    except TimeoutError:
        status, is_complete = 0, False
    writer.transport.abort()
    return CallerResult(sent_at, time.monotonic() - sent_at, status, is_complete)


class MemoryGrowth:
    """Samples how much the memory of this process has grown, with gateways and callers."""

    def __init__(self) -> None:
        self.most_bytes = 0
        self._task = asyncio.create_task(self._sample(resident_bytes()))

    async def _sample(self, start: int) -> None:
        while True:
            self.most_bytes = max(self.most_bytes, resident_bytes() - start)
            await asyncio.sleep(SAMPLE_SECONDS)

    def end(self) -> int:
        self._task.cancel()
        return self.most_bytes


async def call_for(gateways: list[RunningGateway], seconds: float) -> list[CallerResult]:
    """Send requests to gateways in turn; return what the callers got."""
    draw = random.Random(7)
    calls: list[asyncio.Task[CallerResult]] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        gateway = gateways[len(calls) % len(gateways)]
        calls.append(asyncio.create_task(call(gateway.callers, len(calls))))
        await asyncio.sleep(draw.expovariate(PER_SECOND))
    return list(await asyncio.gather(*calls))


async def check_calls(gateways: list[RunningGateway], endless: EndlessBackEnd) -> None:
    """Send requests for some seconds, and check what callers, gateways and the back end see."""
    begin = time.monotonic()
    growth = MemoryGrowth()
    results = await call_for(gateways, CONTACT_SECONDS + JUDGED_SECONDS)
    most_bytes = growth.end()
    await asyncio.sleep(HELD_SECONDS)
    longest_use = max(endless.closed_after)
    print(f"memory grew by {most_bytes / 1e6:.0f} MB; closed after {longest_use:.2f} s at most")
    check_callers(results, begin, endless.requests)
    assert most_bytes <= MAX_GROWTH_BYTES
    assert len(endless.closed_after) == len(endless.requests)
    assert longest_use <= DEADLINE_SECONDS + HELD_SECONDS


def check_callers(results: list[CallerResult], begin: float, requests: list[str]) -> None:
    """Check what the callers of requests q0, q1 and so on got; some requests met the back end."""
    judged = [each for each in results if each.sent_at >= begin + CONTACT_SECONDS]
    served = sum(each.status == 200 and each.is_complete for each in judged) / len(judged)
    longest = max(each.seconds for each in results)
    statuses = Counter((each.status, each.is_complete) for each in results)
    print(f"{served:.3f} of {len(judged)} served, longest {longest:.2f} s, {dict(statuses)}")
    sent_at = {f"q{number}": each.sent_at for number, each in enumerate(results)}
    faulty = sum(sent_at[each] >= begin + CONTACT_SECONDS for each in requests)
    print(
        f"{len(requests)} of {len(results)} and {faulty} of {len(judged)} judged met the back end"
    )
    assert longest <= DEADLINE_SECONDS + HELD_SECONDS
    assert served >= MIN_SERVED
    assert faulty <= MAX_FAULTY_SHARE * len(judged)


@pytest.mark.parametrize("kind", KINDS)
def test_callers_are_served_while_a_back_end_never_ends_its_answers(kind: str) -> None:
    """Guards against answers without end that hold callers and get ever more requests."""

    async def scenario() -> None:
        store, _ = await fleet(SOUND_BACK_ENDS)
        async with endless_back_end(kind) as endless:
            await store.put_back_end(endless.record)
            await check_calls([await RunningGateway(store, "g0").start()], endless)

    play(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_a_back_end_that_is_reached_through_another_gateway_is_put_aside_too(kind: str) -> None:
    """Guards against faults that are taken for those of a lost link."""

    async def scenario() -> None:
        store, sound = await fleet(SOUND_BACK_ENDS)
        async with endless_back_end(kind) as endless:
            await store.put_back_end(endless.record)
            network, gateways = await start_on_network(store, sound, 2)
            network.addresses |= {endless.address}
            cut = Cut(
                frozenset({"g1"}),
                network.addresses,
                OpenConnections.RESET,
                NewConnections.REFUSED,
            )
            network.begin(cut)
            await check_calls(gateways[1:], endless)
            assert b"back-ends.relayed-sends" in gateways[1].gateway.metrics.text()

    play(scenario)


SLOW_READ_BYTES = 64 * 1024
SLOW_READ_SECONDS = 0.04
BODY_BYTES = 4 * 1024 * 1024


@pytest.mark.parametrize("length", [BODY_BYTES, None])
def test_a_sound_large_answer_is_not_cut_while_its_caller_reads_it_past_the_deadline(
    length: int | None,
) -> None:
    async def answer(request: ProxiedRequest) -> ProxiedAnswer:
        async def rest() -> AsyncIterator[bytes]:
            for _ in range(BODY_BYTES // SLOW_READ_BYTES - 1):
                yield b"x" * SLOW_READ_BYTES

        name = find_header(request.headers, NAMES.request_id) or b""
        body = MessageBody(b"x" * SLOW_READ_BYTES, rest(), length)
        return ProxiedAnswer(200, b"OK", ((NAMES.request_id, name),), body)

    async def scenario() -> None:
        store, _ = await fleet(0)
        address = free_address()
        await HttpListener(address, answer).start()
        await store.put_back_end(BackEndRecord("large", "search", address, "n1", 4))
        gateway = await RunningGateway(store, "g0").start()
        host, _, port = gateway.callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=SLOW_READ_BYTES)
        writer.write(request_head(1))
        begin = time.monotonic()
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = 0
        while piece := await reader.read(SLOW_READ_BYTES):
            size += len(piece)
            await asyncio.sleep(SLOW_READ_SECONDS)
        assert time.monotonic() - begin > DEADLINE_SECONDS + HELD_SECONDS
        # A body without a length comes in chunks, which need some bytes themselves.
        is_chunked = b"transfer-encoding: chunked" in head
        assert is_chunked is (length is None)
        assert size > BODY_BYTES if is_chunked else size == BODY_BYTES

    play(scenario)


def test_an_answer_of_unknown_length_is_cut_when_its_back_end_takes_longer_than_the_deadline() -> (
    None
):
    bounds = AnswerBounds(10.0, None, 0)
    bounds.note_received(1000, 9.0, 10.0 + LATE_WAIT_SECONDS / 2)
    assert not bounds.is_exceeded()
    assert bounds.wait_seconds(10.0 + LATE_WAIT_SECONDS / 2) == pytest.approx(LATE_WAIT_SECONDS / 2)
    bounds.note_received(1000, 11.0, 11.0 + LATE_WAIT_SECONDS)
    assert bounds.is_exceeded()


def test_an_answer_of_unknown_length_is_cut_when_it_is_larger_than_any_sound_one() -> None:
    bounds = AnswerBounds(10.0, None, MAX_UNSIZED_BYTES)
    assert not bounds.is_exceeded()
    bounds.note_received(1, 1.0, 1.0)
    assert bounds.is_exceeded()


@pytest.mark.parametrize("length", [None, MAX_UNSIZED_BYTES + 1])
def test_a_caller_that_reads_slowly_gets_a_bounded_part_of_an_endless_answer(
    length: int | None,
) -> None:
    bounds = AnswerBounds(10.0, length, 0)
    bounds.note_received(MAX_LATE_BYTES, 20.0, 20.0)
    assert not bounds.is_exceeded()
    bounds.note_received(1, 30.0, 30.0)
    assert bounds.is_exceeded()


def test_the_rest_of_an_answer_of_known_length_may_take_as_long_as_it_keeps_coming() -> None:
    bounds = AnswerBounds(10.0, MAX_UNSIZED_BYTES, 0)
    now = 10.0
    for _ in range(100):
        assert bounds.wait_seconds(now) >= LATE_WAIT_SECONDS / 2
        now += 0.1
        bounds.note_received(MIN_LATE_BYTES_PER_SECOND // 10 + 1, now - 0.1, now)
    for _ in range(5):
        now += 0.1
        bounds.note_received(1, now - 0.1, now)
    assert bounds.wait_seconds(now) == 0.0
    assert not bounds.is_exceeded()


def test_a_back_end_gets_one_request_at_a_time_after_an_endless_answer() -> None:
    load = BackEndLoad()
    first, second, third = (load.note_sent(0.0, 4) for _ in range(3))
    for each in (first, second):
        load.note_answer(each, 0.1, None, was_run=True, has_rest=True)
    load.note_abandoned(third)
    assert not load.is_silent(0.2)
    load.note_rest_faulty(first, 2.0)
    assert load.is_ejected(2.1)
    assert load.is_silent(5.0)
    load.note_rest_given_up(second)
    assert not load.is_silent(5.0)
    load.note_answer(third, 5.1, None, was_run=True, has_rest=True)
    assert load.is_silent(5.2)
    load.note_rest_complete(third)
    assert not load.is_silent(5.3)
    load.note_sent(5.3, 4)
    assert not load.is_silent(5.4)


def test_an_answer_that_is_dropped_unread_does_not_keep_a_back_end_on_trial() -> None:
    load = BackEndLoad()
    faulty = load.note_sent(0.0, 4)
    load.note_answer(faulty, 0.1, None, was_run=True, has_rest=True)
    load.note_answer(load.note_sent(0.0, 4), 0.1, None, was_run=True, has_rest=True)
    load.note_rest_faulty(faulty, 2.0)
    assert not load.is_silent(5.0)
