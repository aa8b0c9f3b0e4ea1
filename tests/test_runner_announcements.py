"""Slots are not used at back ends that announced their end or asked for a pause."""

import threading
import time
from collections.abc import Callable

import msgspec
import pytest
from loopback import free_address
from search_runner import caller_request, runner_at, search_configuration

from kitekeel_backends.forwarding import Forwarder
from kitekeel_daemon.leaving_watch import LeavingWatch
from kitekeel_daemon.request_runner import RequestRunner
from kitekeel_lab.back_end_messages import BackEndFaults, BackEndSpec, FaultOrder
from kitekeel_lab.back_end_server import BackEndFarm
from kitekeel_steering.clock import ManualClock, SystemClock
from kitekeel_steering.errors import NotRunError
from kitekeel_steering.http_messages import ForwardedRequest, StreamedAnswer
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds


class AnnouncingForwarder(Forwarder):
    """Answers by address; counts what was sent where."""

    def __init__(self) -> None:
        super().__init__()
        self.answers: dict[str, tuple[int, tuple[tuple[str, str], ...]]] = {}
        self.sent_to: list[str] = []

    def send(
        self,
        address: str,
        connections: int,
        request: ForwardedRequest,
        repeatable: bool,
        deadline: float,
    ) -> StreamedAnswer:
        self.sent_to.append(address)
        status, headers = self.answers.get(address, (200, ()))
        return StreamedAnswer(status, "", headers, iter(()), 0)


def run(runner: RequestRunner, number: int) -> StreamedAnswer:
    answer = runner.run(caller_request(1000, f"r{number}", "x"), time.monotonic() + 1.0)
    list(answer.pieces)
    return answer


def test_a_back_end_that_announces_its_end_gets_no_more_requests() -> None:
    first, second = free_address(), free_address()
    forwarder = AnnouncingForwarder()
    forwarder.answers[first] = (200, (("kitekeel-leaving", "1"),))
    runner, _ = runner_at(first, second, forwarder=forwarder)
    for number in range(20):
        assert run(runner, number).status == 200
    assert forwarder.sent_to.count(first) <= 1


def test_a_back_end_gets_nothing_during_the_pause_that_it_asks_for() -> None:
    first, second = free_address(), free_address()
    forwarder = AnnouncingForwarder()
    forwarder.answers[first] = (503, (("retry-after", "0.6"),))
    runner, _ = runner_at(first, second, forwarder=forwarder)
    for number in range(20):
        run(runner, number)
    assert forwarder.sent_to.count(first) == 1
    forwarder.answers.clear()
    time.sleep(0.7)
    for number in range(20, 40):
        run(runner, number)
    assert forwarder.sent_to.count(first) > 1


def test_requests_are_refused_at_once_while_all_back_ends_ask_for_a_pause() -> None:
    address = free_address()
    forwarder = AnnouncingForwarder()
    forwarder.answers[address] = (503, (("retry-after", "5"),))
    runner, _ = runner_at(address, forwarder=forwarder)
    run(runner, 0)
    started_at = time.monotonic()
    with pytest.raises(NotRunError) as refusal:
        run(runner, 1)
    assert time.monotonic() - started_at < 0.2
    assert 4.0 < refusal.value.retry_after_seconds <= 5.0
    assert len(forwarder.sent_to) == 1


def test_callers_are_not_told_to_wait_for_one_paused_back_end() -> None:
    address = free_address()
    forwarder = AnnouncingForwarder()
    forwarder.answers[address] = (503, (("retry-after", "300"),))
    runner, _ = runner_at(address, forwarder=forwarder)
    assert ("Retry-After", "1") in run(runner, 0).headers


def test_a_back_end_of_the_lab_gets_nothing_during_its_pause_nor_after_it_announced_its_end() -> (
    None
):
    specs = [BackEndSpec(f"search-{n}", free_address(), "nl-noord", 5, {}) for n in (1, 2)]
    runner, _ = runner_at(*(each.address for each in specs))
    names = [each.name for each in search_configuration(*(s.address for s in specs)).back_ends]
    farm = BackEndFarm(
        [msgspec.structs.replace(s, name=n) for s, n in zip(specs, names, strict=True)], 1
    )
    farm.start()
    try:
        for faults in (BackEndFaults(retry_after="0.8"), BackEndFaults(announces_end=True)):
            farm.set_faults(FaultOrder((names[0],), faults))
            for number in range(30):
                run(runner, number)
            record = farm.record(names[0])
            assert len(record.turned_away) == 1
            time.sleep(0.9)
        assert sum(record.runs.values()) <= 1
        # One request of each round went to the first back end before it announced anything.
        assert sum(farm.record(names[1]).runs.values()) == 2 * (30 - 1)
    finally:
        farm.stop()


def test_after_a_pause_one_request_at_a_time_is_sent_until_one_is_answered() -> None:
    clock = ManualClock()
    unavailable = UnavailableBackEnds(clock)
    assert unavailable.note_pause("b0", 3.0)
    assert not unavailable.note_pause("b0", 1.0)
    clock.advance(2.9)
    assert not unavailable.try_start("b0")
    clock.advance(0.2)
    assert unavailable.try_start("b0")
    assert not unavailable.try_start("b0")
    unavailable.note_ended("b0")
    assert unavailable.try_start("b0")
    unavailable.note_answered("b0")
    assert unavailable.try_start("b0")
    assert unavailable.try_start("b0")


def test_a_back_end_is_used_again_after_its_announced_end() -> None:
    address = free_address()
    configuration = search_configuration(address)
    name = configuration.back_ends[0].name
    unavailable = UnavailableBackEnds(SystemClock())
    unavailable.note_leaving(name)
    gone: list[str] = []
    watch = LeavingWatch(lambda: configuration, unavailable, gone.append)
    stop = threading.Event()
    thread = threading.Thread(target=watch.run, args=(stop,))
    thread.start()
    assert until(lambda: gone == [name], 3.0)
    stop.set()
    thread.join()
    assert unavailable.try_start(name)


def until(condition: Callable[[], bool], seconds: float) -> bool:
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        time.sleep(0.02)
    return condition()
