"""How many requests a daemon takes while its event loop runs late, and which."""

import asyncio
import random
import time
from collections import Counter, deque

import msgspec
import pytest
from gateway_stand_ins import BackEndStandIn, RunningGateway, ask, configuration, play
from hypothesis import given
from hypothesis import strategies as st
from memory_store import MemoryStore

from kitekeel_steering.lateness_admission import LatenessAdmission, is_out_of_reach

OBJECTIVE_SECONDS = 0.5
# Work of the loop for an answered and for a refused request.
WORK_SECONDS = 0.01
REFUSAL_SECONDS = 0.0005
STEP_SECONDS = 0.05
MACHINE = "\n[machine]\nprocessor_share = 0.5\n"
# A starting daemon assumes that many others share the connections to a back end.
AMPLE_CONNECTIONS = 10_000


class Loop:
    """An event loop with a backlog of work; its lateness is averaged over about a second."""

    def __init__(self, seed: int = 3) -> None:
        self.random = random.Random(seed)
        self.admission = LatenessAdmission()
        self.now = 0.0
        self.backlog_seconds = 0.0
        self.recent: deque[float] = deque(maxlen=int(1.0 / STEP_SECONDS))
        self.admitted: list[tuple[float, int]] = []
        self.levels: list[float] = []

    def run(self, seconds: float, per_second: dict[int, float]) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            self.backlog_seconds = max(0.0, self.backlog_seconds - STEP_SECONDS)
            for priority, rate in per_second.items():
                for _ in range(self._count(rate * STEP_SECONDS)):
                    self._arrive(priority)
            self.recent.append(self.backlog_seconds)
            if self.admission.is_due(self.now):
                lateness = sum(self.recent) / len(self.recent)
                self.admission.update(lateness, OBJECTIVE_SECONDS, self.now)
            self.levels.append(self.admission.level)

    def _arrive(self, priority: int) -> None:
        if self.admission.level < 1.0:
            self.admission.note_asked(priority)
        if self.random.random() < self.admission.level_of(priority):
            self.backlog_seconds += WORK_SECONDS
            self.admitted.append((self.now, priority))
        else:
            self.backlog_seconds += REFUSAL_SECONDS

    def _count(self, mean: float) -> int:
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def admitted_since(self, begin: float) -> Counter[int]:
        return Counter(priority for at, priority in self.admitted if at >= begin)


@pytest.mark.parametrize("overload", [1.1, 2.0, 5.0])
def test_what_is_taken_settles_near_what_the_loop_carries(overload: float) -> None:
    loop = Loop()
    loop.run(15.0, {1: overload / WORK_SECONDS})
    begin = loop.now
    settled = len(loop.levels)
    loop.run(20.0, {1: overload / WORK_SECONDS})
    answered = loop.admitted_since(begin)[1] / 20.0
    refused = overload / WORK_SECONDS - answered
    assert 0.8 <= answered * WORK_SECONDS + refused * REFUSAL_SECONDS <= 1.02
    levels = loop.levels[settled:]
    assert max(levels) <= 5.0 * min(levels)
    assert sum(loop.recent) / len(loop.recent) <= 2.0 * OBJECTIVE_SECONDS


def test_the_most_urgent_requests_are_refused_last() -> None:
    loop = Loop()
    loop.run(15.0, {0: 30.0, 2: 170.0})
    begin = loop.now
    loop.run(20.0, {0: 30.0, 2: 170.0})
    admitted = loop.admitted_since(begin)
    assert admitted[0] >= 0.95 * 30.0 * 20.0
    assert admitted[2] > 0


def test_rare_urgent_requests_are_refused_no_more_than_others() -> None:
    """Guards against the level of all requests for a class of which none came for a while."""
    admission = LatenessAdmission()
    now = 0.0
    for period in range(12):
        now += 0.5
        for _ in range(100):
            admission.note_asked(2)
        if period % 4 == 0:
            admission.note_asked(0)
        admission.update(0.5 * OBJECTIVE_SECONDS, OBJECTIVE_SECONDS, now)
        assert admission.level < 1.0
        assert admission.level_of(0) == 1.0, period
        assert admission.level_of(2) <= 1.2 * admission.level
        assert admission.level_of(3) <= admission.level_of(2)


def test_a_loop_on_time_refuses_nothing_and_one_that_was_late_admits_all_again() -> None:
    loop = Loop()
    loop.run(10.0, {1: 60.0})
    assert set(loop.levels) == {1.0}
    loop.run(10.0, {1: 300.0})
    assert loop.admission.level < 1.0
    loop.run(15.0, {1: 60.0})
    assert loop.admission.level == 1.0
    assert loop.admission.level_of(1) == 1.0


@given(st.lists(st.tuples(st.floats(0.0, 100.0), st.floats(0.0, 10.0)), max_size=50))
def test_levels_stay_within_their_bounds(readings: list[tuple[float, float]]) -> None:
    admission = LatenessAdmission()
    for number, (lateness, objective) in enumerate(readings):
        admission.note_asked(number % 3)
        admission.update(lateness, objective, float(number))
        assert 0.05 <= admission.level <= 1.0
        assert all(0.0 < admission.level_of(priority) <= 1.0 for priority in range(4))


def test_a_request_is_out_of_reach_if_its_deadline_passes_within_three_waits() -> None:
    assert is_out_of_reach(0.29, 0.1)
    assert not is_out_of_reach(0.31, 0.1)
    assert not is_out_of_reach(0.01, 0.0)


async def running_gateway(settings: str) -> tuple[BackEndStandIn, RunningGateway]:
    """Start a back end and a gateway whose connections suffice for all requests of a test."""
    store = MemoryStore()
    configured = configuration()
    services = tuple(
        msgspec.structs.replace(each, connection_limit=AMPLE_CONNECTIONS)
        for each in configured.services
    )
    await store.put_configuration(msgspec.structs.replace(configured, services=services))
    back_end = await BackEndStandIn("b0", slots=200).start()
    await store.put_back_end(back_end.record)
    return back_end, await RunningGateway(store, "g0", further_settings=settings).start()


async def hold_loop(seconds: float) -> None:
    """Keep the event loop busy for half of the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(0.15)
        await asyncio.sleep(0.05)


async def play_late(gateway: RunningGateway) -> list[tuple[str, int, str]]:
    """Send requests while the loop is held; return names, statuses and the told times."""

    async def request(number: int) -> tuple[str, int, str]:
        await asyncio.sleep(1.5 + number * 0.02)
        name = f"late-{number}"
        status, headers, _ = await ask(gateway.callers, "/safe/x", name, key=str(number))
        return name, status, headers.get("retry-after", "")

    _, *outcomes = await asyncio.gather(hold_loop(5.0), *(request(n) for n in range(120)))
    return outcomes


def test_a_late_daemon_refuses_some_requests_unrun_and_admits_all_when_it_is_on_time(
    lines: list[dict[str, object]],
) -> None:
    async def scenario() -> None:
        back_end, gateway = await running_gateway(MACHINE)
        outcomes = await play_late(gateway)
        refused = [name for name, status, _ in outcomes if status == 503]
        served = [name for name, status, _ in outcomes if status == 200]
        assert len(refused) >= 10 and len(served) >= 10
        assert not set(refused) & set(back_end.ran)
        assert all(float(told) > 0.0 for _, status, told in outcomes if status == 503)
        assert gateway.gateway.metrics.ended("refused", "daemon-late") == len(refused)
        await asyncio.sleep(10.0)
        for number in range(20):
            status, _, _ = await ask(gateway.callers, "/safe/x", f"calm-{number}")
            assert status == 200

    play(scenario)
    kinds = [each["message_type"] for each in lines]
    assert kinds.count("late-refusals-began") == kinds.count("late-refusals-ended") == 1


def test_a_daemon_whose_machine_is_not_stated_refuses_nothing_for_lateness() -> None:
    async def scenario() -> None:
        _, gateway = await running_gateway("")
        outcomes = await play_late(gateway)
        assert gateway.gateway.metrics.ended("refused", "daemon-late") == 0
        assert {status for _, status, _ in outcomes} <= {200, 504}

    play(scenario)
