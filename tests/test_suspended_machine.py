"""A machine that is suspended for seconds believes no moment too long what it believed before.

What would be seen: a request whose time passed meanwhile was held for as long again; connections
that back ends had closed long ago were used; ages of beliefs, ejections and leases stood still.

The cause: the steady clock that everything was timed by does not count the time that a machine is
suspended, while the clock of its boots and the time of day do. A paused process does not show it:
its steady clock runs on. So here the two readings part.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import pytest
from crashing_back_end import CrashingBackEnd
from gateway_stand_ins import RunningGateway, ask, configuration, play, until
from memory_store import MemoryStore

from kitekeel_steering.clock import SystemClock

SUSPENDED_SECONDS = 10.0

Suspend = Callable[[float], None]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Return what suspends the machine: its boot clock goes on, its steady clock does not."""
    read = time.clock_gettime
    suspended = 0.0

    def read_shifted(number: int) -> float:
        return read(number) + (suspended if number == time.CLOCK_BOOTTIME else 0.0)

    def add(seconds: float) -> None:
        nonlocal suspended
        suspended += seconds

    monkeypatch.setattr(time, "clock_gettime", read_shifted)
    return add


async def one_gateway() -> tuple[MemoryStore, CrashingBackEnd, RunningGateway]:
    store = MemoryStore()
    await store.put_configuration(configuration())
    back_end = await CrashingBackEnd(store, "b0").start()
    back_end.seconds_by_part["long"] = 5.0
    return store, back_end, await RunningGateway(store, "g0").start()


def test_the_clock_counts_the_time_that_a_machine_is_suspended(suspend: Suspend) -> None:
    clock = SystemClock()
    before = clock.monotonic()
    suspend(SUSPENDED_SECONDS)
    assert clock.monotonic() - before >= SUSPENDED_SECONDS


def test_a_request_whose_time_passed_meanwhile_ends_on_waking(suspend: Suspend) -> None:
    async def scenario() -> None:
        _, back_end, entry = await one_gateway()
        answer: asyncio.Task[Any] = asyncio.create_task(
            ask(entry.callers, "/unsafe/long", "r", 3000)
        )
        assert await until(lambda: bool(back_end.arrivals), 1.0)
        suspend(SUSPENDED_SECONDS)
        woke_at = time.monotonic()
        status, _, _ = await answer
        assert status == 504
        assert time.monotonic() - woke_at < 0.5

    play(scenario)


def test_a_connection_that_rested_through_it_is_not_used(suspend: Suspend) -> None:
    async def scenario() -> None:
        _, back_end, entry = await one_gateway()
        await ask(entry.callers, "/safe/a", "r1")
        opened = back_end.opened
        await ask(entry.callers, "/safe/a", "r2")
        assert back_end.opened == opened
        suspend(SUSPENDED_SECONDS)
        status, _, _ = await ask(entry.callers, "/safe/a", "r3")
        assert status == 200
        assert back_end.opened == opened + 1

    play(scenario)


def test_it_asks_the_store_anew_before_it_sends_by_old_beliefs(suspend: Suspend) -> None:
    """A back end left meanwhile, and the watch that would have told it leads nowhere."""

    async def scenario() -> None:
        store, _, entry = await one_gateway()
        gone = await CrashingBackEnd(store, "b1").start()
        assert await until(lambda: entry.gateway.view.find_back_end("b1") is not None, 3.0)
        await asyncio.sleep(1.5)
        # The watch that waits now never hears of the removal.
        store.forget_waiting_watches()
        await store.remove_back_end("b1")
        suspend(SUSPENDED_SECONDS)
        before = len(gone.arrivals)
        for number in range(40):
            await ask(entry.callers, f"/safe/{number}", f"r{number}", key=str(number))
        assert len(gone.arrivals) == before

    play(scenario)
