"""A request that waits gets no slot when too little of its time is left for an answer.

What callers saw, on a machine with too little processor time: searches ended as unknown at their
deadline, several at one daemon within two seconds. A slot became free after the request should have
given up, but before its thread came to do so; the slot was given to it without looking at the time,
and the back end was sent what it could not answer any more.
"""

import random
import threading

import pytest
from search_runner import POOL, search_configuration

from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.errors import NoRoomError
from kitekeel_steering.grant_messages import (
    Allowance,
    DemandKey,
    ExchangeReply,
    KeeperState,
    Quota,
)
from kitekeel_steering.grant_table import HolderIdentity, SlotHold
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.recent_times import RecentTimes
from kitekeel_steering.waiter import Waiter

CLASS = "patron"
DEADLINE = 10.0
MIN_SECONDS = 1.0
MAX_SECONDS = 5.0
ANSWER_COUNT = 4_000
MAX_LATE_SHARE = 0.05


def one_slot(clock: ManualClock) -> ServiceAdmission:
    configuration = search_configuration("127.0.0.1:1")
    identity = HolderIdentity("d1", POOL.region, 1)
    timing = GrantTiming(grant_life_seconds=10 * DEADLINE)
    admission = ServiceAdmission(POOL.service, identity, clock, timing, lambda _pool: None)
    admission.configure(configuration)
    request = admission.prepare_exchange(POOL, True, False, 0.0)
    service = configuration.find_service(POOL.service)
    assert service is not None
    quotas = tuple(Quota(DemandKey(each.name), 100) for each in service.classes)
    allowance = Allowance(configuration.back_ends[0].name, 1)
    reply = ExchangeReply(request.sequence, KeeperState.GRANTING, (allowance,), quotas, 1.0)
    admission.apply_reply(POOL, reply)
    return admission


class Waiting:
    """A thread that waits for a slot."""

    def __init__(self, admission: ServiceAdmission) -> None:
        self._admission = admission
        self.outcome: SlotHold | NoRoomError | None = None
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        while not admission.waiting():
            pass

    def _run(self) -> None:
        try:
            self.outcome = self._admission.acquire(CLASS, DEADLINE, least_seconds=MIN_SECONDS)
        except NoRoomError as error:
            self.outcome = error

    def join(self) -> SlotHold | NoRoomError | None:
        self._thread.join(MAX_SECONDS)
        return self.outcome


@pytest.mark.parametrize("seed", range(8))
def test_few_answers_are_slower_than_slow_seconds(seed: int) -> None:
    """Guards against a quantile so low that requests sent after a long wait often time out."""
    generator = random.Random(seed)
    times = RecentTimes()
    late_count = 0
    for _ in range(ANSWER_COUNT):
        seconds = generator.expovariate(10.0)
        late_count += seconds > times.slow_seconds()
        times.note(seconds)
    assert late_count <= MAX_LATE_SHARE * ANSWER_COUNT


def test_a_slot_that_becomes_free_in_time_is_given() -> None:
    clock = ManualClock()
    admission = one_slot(clock)
    first = admission.acquire(CLASS, DEADLINE)
    waiting = Waiting(admission)
    admission.release(first)
    assert isinstance(waiting.join(), SlotHold)


def test_a_slot_that_becomes_free_too_late_is_given_to_the_next() -> None:
    clock = ManualClock()
    admission = one_slot(clock)
    first = admission.acquire(CLASS, DEADLINE)
    waiting = Waiting(admission)
    clock.advance(DEADLINE - MIN_SECONDS + 0.1)
    admission.release(first)
    assert isinstance(waiting.join(), NoRoomError)
    assert admission.pools()[0].in_use == 0


def test_a_thread_that_wakes_too_late_gives_its_slot_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The slot came in time; the thread got no processor time until it was of no use."""
    clock = ManualClock()
    admission = one_slot(clock)
    first = admission.acquire(CLASS, DEADLINE)
    wait = ServiceAdmission._wait

    def wait_and_wake_late(self: ServiceAdmission, waiter: Waiter, latest_start: float) -> None:
        wait(self, waiter, latest_start)
        clock.advance(DEADLINE - MIN_SECONDS + 0.1)

    monkeypatch.setattr(ServiceAdmission, "_wait", wait_and_wake_late)
    waiting = Waiting(admission)
    admission.release(first)
    assert isinstance(waiting.join(), NoRoomError)
    assert admission.pools()[0].in_use == 0
