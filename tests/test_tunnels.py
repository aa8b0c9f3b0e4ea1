"""Connections to back ends through another gateway behave like direct ones."""

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from loopback import free_address
from test_gateway_connections import Script, outgoing, read_head, reply, reset, serve

from kitekeel_backends import tunnel_messages
from kitekeel_backends.back_end_dialer import (
    BackEndDialer,
    BackEndOutOfReachError,
    BackEndUnusableError,
    DialTarget,
    Relay,
)
from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_backends.connection_reuse import LinkReuse
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_backends.process_state import ProcessState
from kitekeel_backends.tunnel_client import TunnelRefusedError, open_tunnel
from kitekeel_backends.tunnel_relay import TunnelRelay
from kitekeel_steering.back_end_links import LinkEvidence, LinkHealth, LinkLoss
from kitekeel_steering.clock import ManualClock, SystemClock
from kitekeel_steering.errors import ConnectionBrokenError
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.proxied_messages import MessageBody

SECRET = "a-secret"
LARGE_BODY = b"0123456789abcdef" * 200_000


def new_links() -> LinkHealth:
    return LinkHealth(SystemClock(), lambda _: 4, lambda _: None, lambda _loss, _seconds: None)


class FixedRelays:
    """Always chooses the same gateways."""

    def __init__(self, *addresses: str) -> None:
        self.relays = [Relay(f"g{number}", each, "r") for number, each in enumerate(addresses)]
        self.failed: list[str] = []

    def choose(self, target: DialTarget) -> list[Relay]:
        return self.relays

    def note_failed(self, relay: Relay, service: str) -> None:
        self.failed.append(relay.daemon)


class TunnelFixture:
    """A back end, a gateway that relays to it, and a pool of a gateway whose link to it is lost."""

    def __init__(self, address: str) -> None:
        self.metrics = MemoryMetrics()
        self.relay_links = new_links()
        self.relay_address = free_address()
        self.records = {"b0": BackEndRecord("b0", "s", address, "z", 4)}
        self.usable = True
        self.relay = TunnelRelay(
            self.relay_address,
            SECRET,
            self.records.get,
            lambda _: self.usable,
            self.relay_links,
            self.metrics,
        )
        self.links = new_links()
        self.links.note_reached_by_peer("b0", "s")
        self.relays = FixedRelays(self.relay_address)
        self.dialer = BackEndDialer(0.7, self.links, self.relays, SECRET)
        self.reuse = LinkReuse(self.links, lambda _: True, random.Random(1))
        self.pool = ConnectionPool(0.7, self.dialer, self.reuse)
        self.target = DialTarget(address, "b0", "s", "r")

    async def acquire(self, repeatable: bool = True) -> BackEndConnection:
        return await self.pool.acquire(self.target.address, 5, repeatable, self.target)


def play(script: Script, scenario: Callable[[TunnelFixture], Awaitable[None]]) -> None:
    async def run() -> None:
        fixture = TunnelFixture(await serve(script))
        await fixture.relay.start()
        await scenario(fixture)

    asyncio.run(run())


async def answer_each(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while True:
        head = await read_head(reader)
        request_id = head.split("Request-Id: ")[1].split("\r\n")[0]
        writer.write(reply(request_id, f"answer to {request_id}"))


async def stay_silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await reader.read()


def test_a_tunnel_is_kept_for_later_requests() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        for request_id in ("one", "two"):
            connection = await fixture.acquire()
            assert connection.relay == "g0"
            answer = await connection.exchange(outgoing(request_id))
            assert answer.body.start == f"answer to {request_id}".encode()
            fixture.pool.release(fixture.target.address, connection)
        assert fixture.metrics.snapshot()["relay.tunnels-opened"] == 1

    play(answer_each, scenario)


def test_a_large_request_and_its_large_answer_pass_unchanged() -> None:
    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        body = await reader.readexactly(len(LARGE_BODY))
        await asyncio.sleep(0.2)
        writer.write(reply("one", body.decode()))

    async def pieces() -> AsyncIterator[bytes]:
        for begin in range(0, len(LARGE_BODY), 50_000):
            yield LARGE_BODY[begin : begin + 50_000]

    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        body = MessageBody(b"", pieces(), len(LARGE_BODY))
        answer = await connection.exchange(outgoing("one", body))
        assert answer.body.rest is not None
        received = answer.body.start + b"".join([each async for each in answer.body.rest])
        assert received == LARGE_BODY

    play(echo, scenario)


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

    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        if is_clean:
            assert (await connection.exchange(outgoing("one"))).body.start == b"bytes"
            return
        with pytest.raises(ConnectionBrokenError):
            await connection.exchange(outgoing("one"))

    play(script, scenario)


def test_a_back_end_sees_at_once_that_the_caller_has_left() -> None:
    left_at: list[float] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        try:
            await reader.read()
        except ConnectionResetError:
            pass
        left_at.append(time.monotonic())

    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        exchange = asyncio.create_task(connection.exchange(outgoing("one")))
        await asyncio.sleep(0.2)
        exchange.cancel()
        fixture.pool.discard(fixture.target.address, connection)
        ended_at = time.monotonic()
        await asyncio.sleep(0.3)
        assert left_at and left_at[0] - ended_at < 0.25
        assert fixture.relay.open_tunnels() == 0

    play(script, scenario)


def test_the_end_of_the_relaying_gateway_is_seen_at_once() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        exchange = asyncio.create_task(connection.exchange(outgoing("one")))
        await asyncio.sleep(0.1)
        for side in list(fixture.relay.sides):
            assert side.transport is not None
            side.transport.abort()
        with pytest.raises(ConnectionBrokenError):
            async with asyncio.timeout(0.5):
                await exchange

    play(stay_silent, scenario)


@pytest.mark.parametrize(
    ("secret", "back_end", "status"),
    [
        ("wrong", "b0", tunnel_messages.WRONG_SECRET),
        (SECRET, "unknown", tunnel_messages.UNKNOWN_BACK_END),
    ],
)
def test_a_relay_connects_only_daemons_of_the_fleet_and_only_to_back_ends(
    secret: str, back_end: str, status: int
) -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        with pytest.raises(TunnelRefusedError) as refused:
            await open_tunnel(
                fixture.relay_address,
                fixture.target.address,
                back_end,
                secret,
                lambda: BackEndConnection(lambda _: None),
            )
        assert refused.value.status == status

    play(stay_silent, scenario)


def test_a_relay_does_not_connect_to_another_address_than_the_back_ends() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        with pytest.raises(TunnelRefusedError) as refused:
            await open_tunnel(
                fixture.relay_address,
                free_address(),
                "b0",
                SECRET,
                lambda: BackEndConnection(lambda _: None),
            )
        assert refused.value.status == tunnel_messages.UNKNOWN_BACK_END

    play(stay_silent, scenario)


@pytest.mark.parametrize("data", [b"\x00\x01\r\n\r\n", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", b"C"])
def test_a_relay_survives_bytes_that_are_no_handshake(data: bytes) -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        host, port = fixture.relay_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await asyncio.sleep(0.05)
        writer.close()
        connection = await fixture.acquire()
        assert (await connection.exchange(outgoing("one"))).body.start == b"answer to one"

    play(answer_each, scenario)


def test_a_stopping_relay_opens_no_more_tunnels_and_keeps_the_open_ones() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        fixture.relay.announce_stop()
        with pytest.raises(BackEndOutOfReachError):
            await fixture.acquire()
        assert fixture.relays.failed == ["g0"]
        assert (await connection.exchange(outgoing("one"))).body.start == b"answer to one"

    play(answer_each, scenario)


def test_a_relay_that_lost_its_own_links_says_so_at_once() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        fixture.relay_links.note_reached_by_peer("b0", "s")
        started_at = time.monotonic()
        with pytest.raises(BackEndOutOfReachError):
            await fixture.acquire()
        assert time.monotonic() - started_at < 0.1

    play(answer_each, scenario)


def test_a_silent_relay_does_not_delay_the_connection_through_another() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        silent = await serve(stay_silent)
        fixture.relays.relays = [Relay("silent", silent, "r"), *fixture.relays.relays]
        started_at = time.monotonic()
        connection = await fixture.acquire()
        assert connection.relay == "g0"
        assert time.monotonic() - started_at < 0.4
        assert fixture.relays.failed == ["silent"]

    play(answer_each, scenario)


def test_a_back_end_that_refuses_all_gateways_is_gone() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        address = free_address()
        fixture.records["b0"] = BackEndRecord("b0", "s", address, "z", 4)
        target = DialTarget(address, "b0", "s", "r")
        assert await fixture.dialer.find_process_state(target, 0.5) is ProcessState.GONE

    play(answer_each, scenario)


def test_a_back_end_that_refuses_only_this_gateway_is_not_taken_for_gone() -> None:
    """Guards against requests being quarantined because the gateway's own link was lost."""

    async def scenario(fixture: TunnelFixture) -> None:
        loop = asyncio.get_running_loop()
        refused = DialTarget(fixture.target.address, "b0", "s", "r")
        connect = loop.create_connection

        async def refuse_direct(factory, host, port, **options):  # type: ignore[no-untyped-def]
            is_probe = f"{host}:{port}" == refused.address and not fixture.relay.sides
            if is_probe:
                raise ConnectionRefusedError
            return await connect(factory, host, port, **options)

        loop.create_connection = refuse_direct  # type: ignore[method-assign]
        assert await fixture.dialer.find_process_state(refused, 0.5) is ProcessState.ALIVE

    play(answer_each, scenario)


def test_a_back_end_that_relays_must_not_send_to_is_neither_connected_to_nor_taken_for_gone() -> (
    None
):
    async def scenario(fixture: TunnelFixture) -> None:
        fixture.usable = False
        with pytest.raises(BackEndUnusableError):
            await fixture.acquire()
        assert not fixture.relays.failed
        gone = DialTarget(free_address(), "b0", "s", "r")
        fixture.records["b0"] = BackEndRecord("b0", "s", gone.address, "z", 4)
        assert await fixture.dialer.find_process_state(gone, 0.5) is ProcessState.SILENT

    play(answer_each, scenario)


def test_relayed_connections_are_replaced_after_the_links_are_restored() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        await connection.exchange(outgoing("one"))
        fixture.pool.release(fixture.target.address, connection)
        fixture.links.note_connected("b0", "s")
        connection = await fixture.acquire()
        assert connection.relay == ""

    play(answer_each, scenario)


def test_a_request_with_home_regions_uses_no_tunnel_through_another_region() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        connection = await fixture.acquire()
        await connection.exchange(outgoing("one"))
        fixture.pool.release(fixture.target.address, connection)
        fixture.relays.relays = []
        home_bound = DialTarget(fixture.target.address, "b0", "s", "r", ("another",))
        with pytest.raises(BackEndOutOfReachError):
            await fixture.pool.acquire(fixture.target.address, 5, True, home_bound)
        assert (await fixture.acquire()).relay == "g0"

    play(answer_each, scenario)


def test_kept_connections_are_used_when_no_other_way_is_left() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        fixture.links.note_connected("b0", "s")
        connection = await fixture.acquire()
        await connection.exchange(outgoing("one"))
        fixture.pool.release(fixture.target.address, connection)
        fixture.links.note_reached_by_peer("b0", "s")
        fixture.relays.relays = []
        assert await fixture.acquire() is connection

    play(answer_each, scenario)


def socket_of(connection: BackEndConnection) -> socket.socket:
    assert connection.transport is not None
    found: socket.socket = connection.transport.get_extra_info("socket")
    return found


def test_connections_to_back_ends_are_closed_when_they_go_silent() -> None:
    async def scenario(fixture: TunnelFixture) -> None:
        fixture.links.note_connected("b0", "s")
        direct = socket_of(await fixture.acquire())
        assert direct.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert direct.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == 1
        assert 1000 < direct.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) < 3000

    play(answer_each, scenario)


@pytest.mark.parametrize("is_direct", [True, False])
def test_a_back_end_that_reads_a_large_body_slowly_is_not_cut_off(is_direct: bool) -> None:
    """Guards against the user time-out, which also counts the time without room for more bytes."""
    read: list[int] = []

    async def script(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_head(reader)
        await asyncio.sleep(4.0)
        read.append(len(await reader.readexactly(len(LARGE_BODY) * 4)))
        writer.write(reply("one", "read"))

    async def scenario(fixture: TunnelFixture) -> None:
        if is_direct:
            fixture.links.note_connected("b0", "s")
        connection = await fixture.acquire()
        body = MessageBody(LARGE_BODY * 4, None, len(LARGE_BODY) * 4)
        answer = await connection.exchange(outgoing("one", body))
        assert answer.body.start == b"read"

    play(script, scenario)


class RecordedLinks:
    """Links with a movable clock, and the losses and restorations reported."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.back_ends = 10
        self.lost: list[LinkLoss] = []
        self.restored: list[LinkLoss] = []
        self.links = LinkHealth(
            self.clock,
            lambda _: self.back_ends,
            self.lost.append,
            lambda loss, _seconds: self.restored.append(loss),
        )


def test_back_ends_that_no_gateway_reaches_are_not_a_lost_link() -> None:
    recorded = RecordedLinks()
    recorded.links.note_answered("s")
    for number in range(10):
        recorded.links.note_failed(f"b{number}", "s")
    assert not recorded.lost
    assert not recorded.links.is_lost("b0", "s")


def test_links_are_lost_once_others_reach_three_back_ends_that_this_gateway_does_not() -> None:
    recorded = RecordedLinks()
    recorded.links.note_answered("s")
    for number in range(3):
        assert not recorded.links.is_cut_off()
        recorded.links.note_reached_by_peer(f"b{number}", "s")
    assert recorded.links.is_lost("another", "another-service")
    assert recorded.lost[0].evidence is LinkEvidence.PEERS_REACH_THEM


def test_only_the_links_to_one_service_are_lost_while_others_connect() -> None:
    recorded = RecordedLinks()
    recorded.links.note_answered("s")
    for number in range(3):
        recorded.links.note_reached_by_peer(f"b{number}", "s")
        recorded.clock.advance(0.1)
        recorded.links.note_connected("other", "t")
    assert recorded.links.is_lost("b9", "s")
    assert not recorded.links.is_lost("other", "t")
    assert [each.service for each in recorded.lost] == ["s"]


def test_no_back_end_is_in_reach_if_none_answers_and_none_connects() -> None:
    recorded = RecordedLinks()
    for number in range(3):
        recorded.links.note_failed(f"b{number}", f"s{number}")
    assert recorded.links.is_cut_off()
    assert recorded.lost[0].evidence is LinkEvidence.NONE_ANSWERS


def test_a_service_of_which_no_back_end_connects_or_answers_is_out_of_reach() -> None:
    recorded = RecordedLinks()
    recorded.links.note_answered("t")
    for number in range(3):
        recorded.links.note_failed(f"b{number}", "s")
    assert recorded.links.is_lost("b9", "s")
    assert not recorded.links.is_lost("other", "t")


def test_the_only_back_end_of_a_service_is_out_of_reach_after_several_failures() -> None:
    recorded = RecordedLinks()
    recorded.back_ends = 1
    recorded.links.note_answered("t")
    lost: list[bool] = []
    for _ in range(3):
        recorded.links.note_failed("b0", "s")
        lost.append(recorded.links.is_lost("b0", "s"))
    assert lost == [False, False, True]


def test_flapping_links_must_work_longer_before_they_are_used_again() -> None:
    recorded = RecordedLinks()
    wanted: list[int] = []
    for _ in range(4):
        for number in range(3):
            recorded.clock.advance(0.1)
            recorded.links.note_reached_by_peer(f"b{number}", "s")
        successes = 0
        while recorded.links.is_cut_off():
            recorded.clock.advance(0.5)
            recorded.links.note_connected("b0", "s")
            successes += 1
        wanted.append(successes)
    assert wanted == [2, 4, 8, 8]


def test_a_failed_probe_begins_the_count_of_successes_anew() -> None:
    recorded = RecordedLinks()
    for number in range(3):
        recorded.links.note_reached_by_peer(f"b{number}", "s")
    recorded.clock.advance(1.0)
    recorded.links.note_connected("b0", "s")
    recorded.links.note_failed("b1", "s")
    recorded.links.note_connected("b0", "s")
    assert recorded.links.is_cut_off()
    recorded.links.note_connected("b1", "s")
    assert not recorded.links.is_cut_off()
    assert recorded.restored == recorded.lost
