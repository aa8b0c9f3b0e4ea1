"""Running gateways with back ends that advertise rate limits in their answers."""

import asyncio
import time

import msgspec
import pytest
from gateway_stand_ins import RunningGateway, ask, fleet, play, until
from memory_store import MemoryStore

from kitekeel_daemon.back_end_limiter import BACK_END_QUOTA
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.errors import PeerError
from kitekeel_steering.tenant_quota import LENDING_SECONDS

GATEWAYS = 3
MAX_JOIN_SECONDS = 12.0
MAX_REFUSAL_SECONDS = 1.0
MAX_PROPAGATION_SECONDS = 5.0


async def gateways(store: MemoryStore) -> list[RunningGateway]:
    first = await RunningGateway(store, "g0").start()
    others = (
        RunningGateway(store, f"g{number}", seeds=first.peers).start()
        for number in range(1, GATEWAYS)
    )
    running = [first, *await asyncio.gather(*others)]
    assert await until(
        lambda: all(len(each.gateway.membership.table.live()) == GATEWAYS for each in running), 5.0
    )
    return running


def limits(running: list[RunningGateway], instance: str) -> set[float | None]:
    return {each.gateway.rate_limit(instance) for each in running}


async def ask_until_served(gateway: RunningGateway, name: str) -> None:
    for number in range(200):
        status, _, _ = await ask(gateway.callers, "/safe/x", f"{name}-{number}")
        if status == 200:
            return
        await asyncio.sleep(0.02)
    raise AssertionError("no request was served")


async def ask_concurrently(
    running: list[RunningGateway], path: str, name: str
) -> tuple[float, list[tuple[int, dict[str, str], str]]]:
    """Send 60 requests concurrently; return the seconds until the last answer, and the answers."""
    begin = time.monotonic()
    answers = await asyncio.gather(
        *(
            ask(running[number % GATEWAYS].callers, path, f"{name}{number}", key=str(number))
            for number in range(60)
        )
    )
    return time.monotonic() - begin, answers


def test_an_advertised_limit_is_logged_and_counted(
    lines: list[dict[str, object]],
) -> None:
    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        gateway = await RunningGateway(store, "g0").start()
        for number, text in enumerate(("300", "300", "many", "50", "")):
            back_end.rate_limit = text
            await ask_until_served(gateway, f"g0-{number}")
        changes = [each for each in lines if each["message_type"] == "back-end-limit-changed"]
        assert [each["rate"] for each in changes] == [300.0, 50.0, None]
        unreadable = [each for each in lines if each["message_type"] == "back-end-limit-unreadable"]
        assert [each["values"] for each in unreadable] == ["many"]
        assert gateway.gateway.metrics.count("back-ends.limited-first-sends") >= 1

    play(scenario)


def test_every_gateway_learns_of_a_limit_and_of_its_end() -> None:
    """Guards against limits that stay on the gateway that received them in an answer."""

    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        running = await gateways(store)
        for text, rate in (("40", 40.0), ("60", 60.0), ("", None)):
            back_end.rate_limit = text
            await ask_until_served(running[0], f"g0-{text}")
            assert await until(lambda rate=rate: limits(running, "b0") == {rate}, 2.0)  # type: ignore[misc]

    play(scenario)


def test_a_gateway_that_starts_later_learns_of_a_limit() -> None:
    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        running = await gateways(store)
        back_end.rate_limit = "5"
        await ask_until_served(running[0], "g0")
        late = await RunningGateway(store, "g9", seeds=running[0].peers).start()
        members = late.gateway.membership.table
        assert await until(lambda: len(members.live()) == GATEWAYS + 1, MAX_JOIN_SECONDS)
        assert await until(lambda: late.gateway.rate_limit("b0") == 5.0, 3.0)

    play(scenario)


def test_the_limit_of_a_back_end_ends_with_its_process() -> None:
    """Guards against a limit of the former process that comes back from another daemon."""

    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        await store.put_back_end(msgspec.structs.replace(back_end.record, started_at_ms=1))
        running = await gateways(store)
        back_end.rate_limit = "5"
        await ask_until_served(running[0], "g0")
        assert await until(lambda: limits(running, "b0") == {5.0}, 2.0)
        back_end.rate_limit = ""
        await store.put_back_end(msgspec.structs.replace(back_end.record, started_at_ms=2))
        assert await until(lambda: limits(running, "b0") == {None}, 2.0)
        assert not await until(lambda: limits(running, "b0") != {None}, 2.5)

    play(scenario)


def test_quota_calls_end_with_the_limit_if_the_start_time_became_known_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against shares kept under the process name from before its start time was known."""
    quota_call_times: list[float] = []
    call = PeerClient.call

    def call_and_record(
        client: PeerClient, address: str, method: str, *arguments: object
    ) -> object:
        if method == BACK_END_QUOTA:
            quota_call_times.append(time.monotonic())
        return call(client, address, method, *arguments)  # type: ignore[arg-type]

    monkeypatch.setattr(PeerClient, "call", call_and_record)

    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        running = await gateways(store)
        back_end.rate_limit = "300"
        await ask_until_served(running[0], "unknown-start")
        assert await until(lambda: limits(running, "b0") == {300.0}, MAX_PROPAGATION_SECONDS)
        await store.put_back_end(msgspec.structs.replace(back_end.record, started_at_ms=5))
        assert await until(lambda: all_know_start_time(running, "b0", 5), MAX_PROPAGATION_SECONDS)
        back_end.rate_limit = "200"
        await ask_until_served(running[0], "known-start")
        assert await until(lambda: limits(running, "b0") == {200.0}, MAX_PROPAGATION_SECONDS)
        assert quota_call_times
        back_end.rate_limit = ""
        await ask_until_served(running[0], "no-limit")
        assert await until(lambda: limits(running, "b0") == {None}, MAX_PROPAGATION_SECONDS)
        deadline = time.monotonic() + 2 * LENDING_SECONDS
        await asyncio.sleep(6 * LENDING_SECONDS)
        assert [at for at in quota_call_times if at > deadline] == []

    play(scenario)


def all_know_start_time(running: list[RunningGateway], instance: str, started_at_ms: int) -> bool:
    records = [each.gateway.view.find_back_end(instance) for each in running]
    return all(each is not None and each.started_at_ms == started_at_ms for each in records)


def test_requests_beyond_the_limits_of_all_back_ends_are_refused_at_once() -> None:
    async def scenario() -> None:
        store, back_ends = await fleet(2)
        running = await gateways(store)
        for each in back_ends:
            each.rate_limit = "2"
        for number in range(20):
            await ask(running[0].callers, "/safe/x", f"warm-{number}", key=str(number))
        assert await until(lambda: limits(running, "b0") == limits(running, "b1") == {2.0}, 2.0)
        refusal_seconds, answers = await ask_concurrently(running, "/unsafe/x", "r")
        assert refusal_seconds < MAX_REFUSAL_SECONDS
        ran = {each for back_end in back_ends for each in back_end.ran}
        refused = [number for number, each in enumerate(answers) if each[0] == 503]
        assert len(refused) >= 40
        for number in refused:
            assert f"r{number}" not in ran
            assert 0.03 <= float(answers[number][1]["retry-after"]) <= 1.0

    play(scenario)


def test_a_request_that_waits_for_a_connection_when_a_limit_is_named_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        store, (back_end,) = await fleet(1)
        gateway = await RunningGateway(store, "g0").start()
        pool = gateway.gateway._pool
        acquire = pool.acquire
        is_open = asyncio.Event()

        async def acquire_late(*arguments: object) -> object:
            await is_open.wait()
            return await acquire(*arguments)  # type: ignore[arg-type]

        monkeypatch.setattr(pool, "acquire", acquire_late)
        waiting = asyncio.create_task(ask(gateway.callers, "/unsafe/x", "waits"))
        assert await until(lambda: gateway.gateway.requests_in_flight() == 1, 2.0)
        back_end.rate_limit = "0"
        monkeypatch.setattr(pool, "acquire", acquire)
        await ask(gateway.callers, "/safe/x", "first")
        assert gateway.gateway.rate_limit("b0") == 0.0
        is_open.set()
        status, _, _ = await waiting
        assert status == 503
        assert back_end.ran == ["first"]

    play(scenario)


def test_requests_do_not_wait_for_a_silent_keeper(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against delaying requests that another back end can serve without a token."""

    async def scenario() -> None:
        store, back_ends = await fleet(2)
        running = await gateways(store)
        back_ends[0].rate_limit = "5"
        for number in range(20):
            await ask(running[0].callers, "/safe/x", f"warm-{number}", key=str(number))
        assert await until(lambda: limits(running, "b0") == {5.0}, 2.0)

        def fail_without_answer(*_arguments: object) -> None:
            time.sleep(0.3)
            raise PeerError("no answer")

        for each in running:
            monkeypatch.setattr(each.gateway._peer_client, "call", fail_without_answer)
        for number in range(20):
            begin = time.monotonic()
            gateway = running[number % GATEWAYS]
            status, _, _ = await ask(gateway.callers, "/safe/x", f"r{number}", key=str(number))
            assert (status, time.monotonic() - begin < 0.3) == (200, True)

    play(scenario)
