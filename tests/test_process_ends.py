"""The end of a back end's process is told apart from a connection that broke."""

import asyncio

import msgspec
from gateway_stand_ins import NAMES, RunningGateway, ask, fleet, play, until
from loopback import free_address

from kitekeel_backends.process_state import ProcessState, find_process_state
from kitekeel_steering.proxied_messages import MessageBody, ProxiedRequest
from kitekeel_steering.request_identity import identify, identify_target, target_of


def request(
    target: bytes = b"/a", key: bytes = b"7", body: bytes = b"", request_id: bytes = b"1"
) -> ProxiedRequest:
    headers = (
        (b"Host", b"h"),
        (NAMES.request_id, request_id),
        (NAMES.deadline, b"1000"),
        (b"Cookie", NAMES.affinity_cookie.encode() + b"=" + key),
    )
    return ProxiedRequest(b"POST", target, headers, MessageBody(body, None, len(body)), 0.0)


def test_a_request_that_comes_again_under_another_id_is_the_same() -> None:
    again = request(request_id=b"2")
    assert identify(again, NAMES) == identify(request(), NAMES)


def test_another_target_object_or_body_is_another_request() -> None:
    others = [request(target=b"/b"), request(key=b"8"), request(body=b"x")]
    identities = {identify(each, NAMES) for each in (request(), *others)}
    assert len(identities) == 4


def test_an_identity_begins_with_that_of_the_target() -> None:
    assert target_of(identify(request(), NAMES)) == identify_target(request())


def test_a_port_without_a_listener_shows_that_the_process_is_gone() -> None:
    assert asyncio.run(find_process_state(free_address(), 1.0)) is ProcessState.GONE


def test_a_broken_exchange_at_a_living_process_is_no_end() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(1)
        back_ends[0].loses_answers = True
        entry = await RunningGateway(store, "g0").start()
        await ask(entry.callers, "/unsafe/a", "r1")
        metrics = entry.gateway.metrics
        assert await until(lambda: metrics.count("back-ends.broken-alive") == 1, 2.0)
        assert metrics.count("back-ends.broken-gone") == 0

    play(scenario)


def test_a_later_start_of_the_process_shows_its_end_whenever_it_is_known() -> None:
    """Before the connection has told anything, and after it has found the next process there."""

    async def scenario() -> None:
        for waits in (0.0, 0.5):
            store, back_ends = await fleet(1)
            back_ends[0].loses_answers = True
            started = msgspec.structs.replace(back_ends[0].record, started_at_ms=1_000)
            await store.put_back_end(started)
            entry = await RunningGateway(store, "g0").start()
            await ask(entry.callers, "/unsafe/a", "r1")
            await asyncio.sleep(waits)
            await store.put_back_end(msgspec.structs.replace(started, started_at_ms=2_000))
            metrics = entry.gateway.metrics
            assert await until(lambda: metrics.count("back-ends.broken-gone") == 1, 3.0)  # noqa: B023
            await RunningGateway.kill_all()

    play(scenario)
