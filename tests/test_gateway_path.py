"""Whole gateways on loopback: outcomes, retries, drains, evacuations, outages, stops."""

import asyncio
import json
import random
import time
from collections.abc import Awaitable, Callable

from gateway_stand_ins import (
    BackEndStandIn,
    MemoryStore,
    RunningGateway,
    ask,
    configuration,
)

from kitekeel_steering.fleet_view import BackEndRecord, ItemKind, ViewItem

Scenario = Callable[[], Awaitable[None]]


def play(scenario: Scenario) -> None:
    asyncio.run(asyncio.wait_for(scenario(), 30))


async def fleet(back_ends: int = 2) -> tuple[MemoryStore, list[BackEndStandIn]]:
    store = MemoryStore()
    await store.put_configuration(configuration())
    started = [await BackEndStandIn(f"b{number}").start() for number in range(back_ends)]
    for each in started:
        await store.put_back_end(each.record)
    return store, started


def draining(record: BackEndRecord) -> BackEndRecord:
    return BackEndRecord(
        record.instance, record.service, record.address, record.zone, record.slots, True
    )


def test_a_request_reaches_one_back_end_and_a_key_stays_there() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(5)
        gateway = await RunningGateway(store, "g1").start()
        answers = [await ask(gateway.callers, "/safe/x", f"r{n}", key="7") for n in range(8)]
        assert {status for status, _, _ in answers} == {200}
        assert len({body for _, _, body in answers}) == 1
        assert sum(len(each.ran) for each in back_ends) == 8
        status, _, _ = await ask(gateway.callers, "/nowhere/", "r9")
        assert status == 404

    play(scenario)


def test_what_was_not_run_is_tried_elsewhere_and_else_refused_with_when_to_come_back() -> None:
    async def scenario() -> None:
        store, (first, second) = await fleet()
        gateway = await RunningGateway(store, "g1").start()
        for number in range(10):
            await ask(gateway.callers, "/unsafe/x", f"w{number}")
        first.sheds = True
        status, _, body = await ask(gateway.callers, "/unsafe/x", "a", key=_key_of("b0"))
        assert (status, body) == (200, "b1")
        second.sheds = True
        status, headers, _ = await ask(gateway.callers, "/unsafe/x", "b")
        assert status == 503 and float(headers["retry-after"]) > 0
        assert "b" not in first.ran + second.ran

    play(scenario)


def _key_of(instance: str) -> str:
    """Return an affinity key whose first back end of b0 and b1 is the given one."""
    from kitekeel_steering.rendezvous import rank_nodes

    for number in range(100):
        if rank_nodes(f"unsafe/{number}", ["b0", "b1"])[0] == instance:
            return str(number)
    raise AssertionError("no key found")


def test_what_may_have_run_is_never_sent_again_unless_repeatable() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet()
        gateway = await RunningGateway(store, "g1").start()
        for number in range(10):
            await ask(gateway.callers, "/safe/x", f"w{number}")
        for each in back_ends:
            each.status = 503
        status, _, _ = await ask(gateway.callers, "/unsafe/x", "once")
        assert status == 502
        assert sum(each.ran.count("once") for each in back_ends) == 1
        status, _, _ = await ask(gateway.callers, "/safe/x", "again")
        assert status == 502
        assert sum(each.ran.count("again") for each in back_ends) == 2

    play(scenario)


def test_another_instance_at_the_address_is_not_run_and_not_asked_again() -> None:
    async def scenario() -> None:
        store, (first, second) = await fleet()
        gateway = await RunningGateway(store, "g1").start()
        for number in range(10):
            await ask(gateway.callers, "/unsafe/x", f"w{number}")
        first.is_replaced = True
        for number in range(6):
            status, _, body = await ask(gateway.callers, "/unsafe/x", f"r{number}")
            assert (status, body) == (200, "b1")
        assert not [each for each in first.ran if each.startswith("r")]

    play(scenario)


def test_the_final_answer_comes_at_the_timeout_and_the_back_end_is_told() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet()
        await store.put_configuration(configuration(2, timeout_seconds=0.3))
        for each in back_ends:
            each.seconds = 5.0
        gateway = await RunningGateway(store, "g1").start()
        started_at = time.monotonic()
        status, _, _ = await ask(gateway.callers, "/unsafe/x", "slow")
        assert status == 504
        assert 0.25 < time.monotonic() - started_at < 0.6
        await asyncio.sleep(0.2)
        assert sum(each.cancelled.count("slow") for each in back_ends) == 1

    play(scenario)


def test_retries_stay_within_their_share_of_the_requests() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(4)
        gateway = await RunningGateway(store, "g1").start()
        for each in back_ends:
            each.sheds = True
            each.record = draining(each.record)
        answers = [await ask(gateway.callers, "/safe/x", f"r{n}") for n in range(100)]
        assert {status for status, _, _ in answers} == {503}
        assert gateway.gateway.metrics.snapshot().get("requests.retried", 0) <= 100
        counted = gateway.gateway.metrics.snapshot()
        assert counted["requests.refused.retry-budget"] >= 80

    play(scenario)


def test_draining_removed_and_evacuated_back_ends_get_nothing_within_a_second() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(4)
        south = await BackEndStandIn("south", zone="s1").start()
        await store.put_back_end(south.record)
        gateway = await RunningGateway(store, "g1").start()
        await store.put_back_end(draining(back_ends[0].record))
        await store.remove_back_end("b1")
        await store.put(ViewItem(ItemKind.EVACUATION, "s1", 0))
        await asyncio.sleep(1.0)
        for each in (*back_ends, south):
            each.ran.clear()
        for number in range(30):
            status, _, _ = await ask(gateway.callers, "/safe/x", f"r{number}", key=str(number))
            assert status == 200
        assert not back_ends[0].ran and not back_ends[1].ran and not south.ran
        assert back_ends[2].ran and back_ends[3].ran

    play(scenario)


def test_a_gateway_that_the_store_turns_away_learns_from_its_peers() -> None:
    async def scenario() -> None:
        store, _ = await fleet()
        first = await RunningGateway(store, "g1").start()
        second = await RunningGateway(store, "g2", first.peers).start()
        await asyncio.sleep(1.5)
        store.turned_away.add("g2")
        await store.put_configuration(configuration(5))
        await store.remove_back_end("b0")
        await asyncio.sleep(3.0)
        view = second.gateway.view
        assert view.routes is not None and view.routes.configuration.version == 5
        assert set(view.back_ends("search")) == {"b1"}

    play(scenario)


def test_a_gateway_that_knows_nothing_refuses_and_starts_from_its_peers() -> None:
    async def scenario() -> None:
        store, _ = await fleet()
        store.turned_away.update({"g1", "g2"})
        first = await RunningGateway(store, "g1").start(ready=False)
        status, headers, _ = await ask(first.callers, "/safe/x", "r")
        assert status == 503 and "retry-after" in headers
        status, _, _ = await ask(first.readiness, "/", "r")
        assert status == 503
        store.turned_away.discard("g1")
        while not first.gateway.is_ready():
            await asyncio.sleep(0.05)
        second = await RunningGateway(store, "g2", first.peers).start()
        status, _, _ = await ask(second.callers, "/safe/x", "r2")
        assert status == 200

    play(scenario)


def test_a_lost_history_is_read_anew() -> None:
    async def scenario() -> None:
        store, _ = await fleet()
        gateway = await RunningGateway(store, "g1").start()
        await store.put(ViewItem(ItemKind.BACK_END, "b0", 0, removed=True))
        await store.forget_history()
        await asyncio.sleep(1.0)
        assert set(gateway.gateway.view.back_ends("search")) == {"b1"}

    play(scenario)


def test_look_ups_name_the_live_daemons_of_the_callers_region() -> None:
    async def scenario() -> None:
        store, _ = await fleet()
        first = await RunningGateway(store, "g1").start()
        second = await RunningGateway(store, "g2", first.peers).start()
        await asyncio.sleep(2.0)
        _, _, body = await ask(first.lookups, "/north", "x")
        assert set(json.loads(body)) == {first.callers, second.callers}
        await second.stop()
        await asyncio.sleep(0.5)
        _, _, body = await ask(first.lookups, "/north", "x")
        assert json.loads(body) == [first.callers]

    play(scenario)


def test_a_planned_stop_cuts_no_request() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet()
        for each in back_ends:
            each.seconds = 0.3
        gateway = await RunningGateway(store, "g1").start()
        generator = random.Random(1)
        asked = []
        for number in range(20):
            asked.append(asyncio.create_task(ask(gateway.callers, "/unsafe/x", f"r{number}")))
            if number == 10:
                stop = asyncio.create_task(gateway.stop())
            await asyncio.sleep(0.02 * generator.random())
        statuses = [(await each)[0] for each in asked]
        assert set(statuses) <= {200, 503}
        await stop
        assert sum(len(each.ran) for each in back_ends) == statuses.count(200)

    play(scenario)
