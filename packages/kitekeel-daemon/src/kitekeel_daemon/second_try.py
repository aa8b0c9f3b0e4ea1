"""Sends a repeatable request to a second back end if the answer of the first one is overdue.

The first usable answer is passed on, and the other send is cancelled, which closes its connection
so that the back end stops working on it. Only services whose back ends report their present speed
get second sends.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator, Callable, Coroutine
from http import HTTPStatus
from typing import Any, Protocol

from kitekeel_daemon.back_end_limiter import BackEndLimiter, LimitToken
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.send_result import SendResult
from kitekeel_daemon.speed_probes import SpeedProbes
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.http_stream import ConnectionLostError
from kitekeel_steering.overdue_sends import AwaitedSend, awaited_send
from kitekeel_steering.placement_policy import Placement
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest
from kitekeel_steering.shared_limits import WindowedRetryBudget

# The time in which a working back end answers its health path, within a region.
_PROBE_SECONDS = 0.05
_MAX_REVIEWS = 4
# Without a repeat a failed send fails its request, but an overdue one is still answered late.
_BUDGET_SHARE = 0.9
# A review that is later than this shows that the process did not run for a while.
_STOPPED_SECONDS = 0.05
# After such a time the answers that have arrived are read first.
_READ_SECONDS = 0.05


class SendOnce(Protocol):
    """Sends a request once, to the back end of a placement."""

    def __call__(
        self,
        routed: RoutedRequest,
        placement: Placement,
        token: LimitToken,
        is_second_try: bool = False,
    ) -> Coroutine[Any, Any, SendResult]:
        """Return the result of the send; cancelling it closes the connection."""


class SecondTries:
    """Sends requests, some of them twice.

    Args:
        place: names a warm back end that was not tried yet, without counting a placement.
        send: sends a request once.
        is_quarantined: checks whether the request crashes back ends, without claiming a try.
        budget: returns the retry budget of a service.
        limiter: provides tokens for back ends with a rate limit.
        probes: asks overdue back ends for their present speed.
    """

    def __init__(
        self,
        place: Callable[[RoutedRequest], Placement],
        send: SendOnce,
        is_quarantined: Callable[[ProxiedRequest], bool],
        budget: Callable[[str], WindowedRetryBudget],
        limiter: BackEndLimiter,
        probes: SpeedProbes,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._place = place
        self._send = send
        self._is_quarantined = is_quarantined
        self._budget = budget
        self._limiter = limiter
        self._probes = probes
        self._clock = clock
        self._metrics = metrics
        self._questions: set[asyncio.Task[None]] = set()

    async def send(
        self, routed: RoutedRequest, placement: Placement, token: LimitToken
    ) -> SendResult:
        """Send a request to a back end, and to a second one if that is worthwhile."""
        candidate = placement.candidate
        if candidate is None or not candidate.load.reports_speed:
            return await self._send(routed, placement, token)
        awaited = awaited_send(
            candidate,
            self._clock.monotonic(),
            routed.request.received_at + routed.route.objective_seconds,
            routed.deadline,
        )
        first = asyncio.create_task(self._send(routed, placement, token))
        sends = [first]
        result: SendResult | None = None
        try:
            second = await self._second_send(routed, awaited, first)
            if second is not None:
                sends.append(second)
            result = await self._first_usable(sends)
            return result
        finally:
            cancelled = await _end_others(sends, result)
            routed.attempts += cancelled

    async def _second_send(
        self, routed: RoutedRequest, awaited: AwaitedSend, first: asyncio.Task[SendResult]
    ) -> asyncio.Task[SendResult] | None:
        """Return the second send once it is worthwhile; ``None`` if the first one needs none."""
        review_at = awaited.ask_speed_at(self._clock.monotonic())
        for _ in range(_MAX_REVIEWS):
            if await self._is_done_by(first, review_at):
                return None
            question = self._ask_speed(routed, awaited)
            if await _is_done(first, _PROBE_SECONDS, question):
                return None
            if not self._is_allowed(routed):
                return None
            placement = self._worthwhile_placement(routed, awaited)
            if placement is not None:
                return await self._start(routed, placement, first)
            review_at = awaited.review_at(self._clock.monotonic())
        return None

    async def _is_done_by(self, first: asyncio.Task[SendResult], review_at: float) -> bool:
        """Wait until the first send is done or a monotonic time; return whether it is done."""
        if await _is_done(first, review_at - self._clock.monotonic()):
            return True
        if self._clock.monotonic() - review_at < _STOPPED_SECONDS:
            return False
        return await _is_done(first, _READ_SECONDS)

    def _is_allowed(self, routed: RoutedRequest) -> bool:
        """Return whether the request may be sent to a second back end.

        The crash guard may have learned since the first send that it should be sent only once.
        """
        return _may_be_sent_twice(routed) and not self._is_quarantined(routed.request)

    def _ask_speed(self, routed: RoutedRequest, awaited: AwaitedSend) -> asyncio.Task[None]:
        asked = self._probes.ask(awaited.candidate, routed.regions or ())
        question = asyncio.create_task(asked)
        self._questions.add(question)
        question.add_done_callback(self._questions.discard)
        return question

    def _worthwhile_placement(
        self, routed: RoutedRequest, awaited: AwaitedSend
    ) -> Placement | None:
        placement = self._place(routed)
        now = self._clock.monotonic()
        return placement if awaited.is_second_send_worthwhile(placement, now) else None

    async def _start(
        self, routed: RoutedRequest, placement: Placement, first: asyncio.Task[SendResult]
    ) -> asyncio.Task[SendResult] | None:
        """Start the second send if the limit of its back end and the retry budget allow it."""
        assert placement.candidate is not None
        token = await self._limiter.claim(placement.candidate)
        if not token.is_granted:
            self._metrics.increment("back-ends.second-tries-denied")
            return None
        if first.done():
            self._limiter.give_back(token)
            return None
        if not self._budget(routed.service).try_spend(_BUDGET_SHARE):
            self._limiter.give_back(token)
            self._metrics.increment("back-ends.second-tries-denied")
            return None
        self._metrics.increment("back-ends.second-tries")
        return asyncio.create_task(self._send(routed, placement, token, is_second_try=True))

    async def _first_usable(self, sends: list[asyncio.Task[SendResult]]) -> SendResult:
        """Return the first usable result; if all sends fail, the one that tells most."""
        pending = set(sends)
        while pending:
            _, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for number, each in enumerate(sends):
                if each.done() and _is_usable(each.result()):
                    if number:
                        self._metrics.increment("back-ends.second-tries-won")
                    return each.result()
        return max((each.result() for each in sends), key=_told)


def _may_be_sent_twice(routed: RoutedRequest) -> bool:
    route = routed.route
    # The first send is not counted as an attempt before it has a result.
    has_attempt_left = routed.attempts + 1 < route.max_attempts
    is_complete = routed.request.body.rest is None
    return route.repeatable and has_attempt_left and is_complete and routed.careful_try is None


async def _is_done(
    first: asyncio.Task[SendResult], seconds: float, other: asyncio.Task[None] | None = None
) -> bool:
    """Wait until the first send is done, the other task is done or the time is over."""
    awaited: set[asyncio.Task[Any]] = {first} if other is None else {first, other}
    await asyncio.wait(awaited, timeout=max(0.0, seconds), return_when=asyncio.FIRST_COMPLETED)
    return first.done()


def _is_usable(result: SendResult) -> bool:
    answer = result.answer
    is_failure = answer is not None and answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return answer is not None and result.may_have_run and not is_failure


def _told(result: SendResult) -> tuple[bool, bool]:
    """Rank failed results: an answer of a back end first, then one that may have run."""
    return result.answer is not None and result.may_have_run, result.may_have_run


async def _end_others(sends: list[asyncio.Task[SendResult]], used: SendResult | None) -> int:
    """End the sends whose result is not used; return how many were cancelled after another won.

    If the caller leaves meanwhile, nobody takes the answer that would have been used either.
    """
    unfinished = [each for each in sends if not each.done()]
    for each in unfinished:
        each.cancel()
    try:
        if unfinished:
            await asyncio.wait(unfinished)
    except asyncio.CancelledError:
        used = None
        raise
    finally:
        for each in sends:
            await _close_unused(each, used)
    return len(unfinished) if used is not None else 0


async def _close_unused(send: asyncio.Task[SendResult], used: SendResult | None) -> None:
    if not send.done() or send.cancelled() or send.exception() is not None:
        return
    answer = send.result().answer
    if answer is not None and send.result() is not used:
        await close_unread(answer)


async def close_unread(answer: ProxiedAnswer) -> None:
    """Close the connection of an answer that is not passed on, without waiting for its rest."""
    rest = answer.body.rest
    if rest is None:
        return
    if answer.body.on_unread is not None:
        answer.body.on_unread()
        return
    # The generator closes its connection only if it has been started.
    start = asyncio.create_task(_read_piece(rest))
    await asyncio.sleep(0)
    start.cancel()
    await asyncio.wait({start})
    if isinstance(rest, AsyncGenerator):
        await rest.aclose()


async def _read_piece(rest: AsyncIterator[bytes]) -> None:
    with contextlib.suppress(KitekeelError, ConnectionLostError):
        await anext(rest, None)
