"""Second sends of overdue requests, with sends that the test controls."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable

from gateway_stand_ins import play

from kitekeel_daemon.back_end_limiter import LimitToken
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.second_try import SecondTries
from kitekeel_daemon.send_result import SendResult
from kitekeel_steering.back_end_load import AnsweredLoad, BackEndLoad
from kitekeel_steering.clock import SystemClock, steady_seconds
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.placement_policy import Candidate, Placement
from kitekeel_steering.proxied_messages import MessageBody, ProxiedAnswer, ProxiedRequest
from kitekeel_steering.routing import Route, WeightedService
from kitekeel_steering.service_times import ServiceTimes
from kitekeel_steering.shared_limits import WindowedRetryBudget
from kitekeel_steering.tenants import Caller

SLOTS = 3
USUAL_SECONDS = 0.05
Answering = Callable[[], Awaitable[SendResult]]


def candidates(count: int = 2) -> list[Candidate]:
    """Return back ends that report their speed and answer in their usual time."""
    times = ServiceTimes()
    now = steady_seconds()
    found = []
    for number in range(count):
        load = BackEndLoad(times)
        for _ in range(30):
            sent = load.note_sent(now - USUAL_SECONDS, SLOTS)
            load.note_answer(sent, now, AnsweredLoad(0, 0, SLOTS, 1.0), was_run=True)
        record = BackEndRecord(f"b{number}", "s", "127.0.0.1:1", "n1", SLOTS)
        found.append(Candidate(record, "north", load))
    return found


def answered(body: MessageBody | None = None) -> SendResult:
    return SendResult(ProxiedAnswer(200, b"OK", (), body or MessageBody(b"x")), True, True)


def routed_request() -> RoutedRequest:
    route = Route("r", "h", "/", True, 5.0, 1.0, 0, (WeightedService("s", 1),), max_attempts=2)
    now = steady_seconds()
    return RoutedRequest(
        request=ProxiedRequest(b"GET", b"/", (), MessageBody(), now),
        request_id="r",
        route=route,
        service="s",
        caller=Caller(),
        regions=(),
        priority=0,
        affinity_key="k",
        urgency_rank=0,
        deadline=now + 5.0,
        tried=set(),
        messages=[],
    )


class NoLimits:
    """Grants every send."""

    def __init__(self) -> None:
        self.given_back = 0

    async def claim(self, _candidate: Candidate) -> LimitToken:
        return LimitToken(True)

    def give_back(self, _token: LimitToken) -> None:
        self.given_back += 1


class NoProbes:
    """Learns nothing about back ends."""

    async def ask(self, _candidate: Candidate, _regions: tuple[str, ...]) -> None:
        return


class Sends:
    """Runs scripted sends, one for each back end."""

    def __init__(self, *answering: Answering) -> None:
        self.members = candidates(len(answering))
        self.metrics = GatewayMetrics()
        self.started: list[str] = []
        self._answering = answering
        self.budget = WindowedRetryBudget(SystemClock(), 1.0, 10.0, lambda: 10.0)
        self.tries = SecondTries(
            lambda _: Placement(self.members[1], keeps_object=True),
            self._send,
            lambda _: False,
            lambda _: self.budget,
            NoLimits(),  # type: ignore[arg-type]
            NoProbes(),  # type: ignore[arg-type]
            SystemClock(),
            self.metrics,
        )

    async def run(self) -> SendResult:
        """Send a request to the first back end, and to the second one if that is worthwhile."""
        placement = Placement(self.members[0], keeps_object=True)
        return await self.tries.send(routed_request(), placement, LimitToken(True))

    async def _send(
        self,
        routed: RoutedRequest,
        placement: Placement,
        token: LimitToken,
        is_second_try: bool = False,
    ) -> SendResult:
        assert placement.candidate is not None and token.is_granted
        routed.sends += 1
        number = self.members.index(placement.candidate)
        assert is_second_try == (number > 0)
        self.started.append(placement.candidate.record.instance)
        return await self._answering[number]()


class Streamed:
    """The rest of an answer that the back end is still sending."""

    def __init__(self) -> None:
        self.is_closed = False

    def body(self) -> MessageBody:
        body = MessageBody(b"start", self._rest(), None)
        body.on_unread = self._close
        return body

    def _close(self) -> None:
        self.is_closed = True

    async def _rest(self) -> AsyncIterator[bytes]:
        try:
            await asyncio.sleep(1000.0)
            yield b"never"
        finally:
            self.is_closed = True


def test_the_used_answer_is_closed_if_its_caller_leaves_while_the_other_send_ends() -> None:
    streamed = Streamed()
    is_ending = asyncio.Event()

    async def slow_to_end() -> SendResult:
        try:
            await asyncio.sleep(1000.0)
        except asyncio.CancelledError:
            is_ending.set()
            await asyncio.sleep(0.1)
            raise
        return answered()

    async def streaming() -> SendResult:
        return answered(streamed.body())

    async def scenario() -> None:
        sends = Sends(slow_to_end, streaming)
        task = asyncio.create_task(sends.run())
        async with asyncio.timeout(2.0):
            await is_ending.wait()
        task.cancel()
        await asyncio.wait({task})
        assert task.cancelled()
        assert streamed.is_closed

    play(scenario)


def test_answers_that_arrived_while_the_daemon_was_stopped_need_no_second_send() -> None:
    """The loop is blocked for long; the answer is there, but takes some steps to be read."""

    async def scenario() -> None:
        is_readable = asyncio.Event()

        async def read_in_steps() -> SendResult:
            await is_readable.wait()
            for _ in range(20):
                await asyncio.sleep(0)
            return answered()

        sends = Sends(read_in_steps, read_in_steps)
        task = asyncio.create_task(sends.run())
        await asyncio.sleep(0.01)
        time.sleep(0.5)  # noqa: ASYNC251
        is_readable.set()
        result = await task
        assert result.answer is not None
        assert sends.started == ["b0"]
        assert sends.metrics.count("back-ends.second-tries") == 0

    play(scenario)


def test_second_sends_leave_a_tenth_of_the_retry_budget_to_failed_sends() -> None:
    async def scenario() -> None:
        async def late() -> SendResult:
            await asyncio.sleep(0.4)
            return answered()

        async def at_once() -> SendResult:
            return answered()

        sends = Sends(late, at_once)
        await asyncio.gather(*(sends.run() for _ in range(30)))
        assert sends.metrics.count("back-ends.second-tries") == 9
        assert sends.metrics.count("back-ends.second-tries-denied") == 21
        assert sends.budget.try_spend()
        assert not sends.budget.try_spend()

    play(scenario)
