"""Runs one request: takes a slot, sends the request on it, and tries again where that is safe."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus

import msgspec

from kitekeel_backends.forwarding import Forwarder
from kitekeel_callers.caller_request import CallerRequest
from kitekeel_daemon.given_up_requests import GivenUpRequests
from kitekeel_daemon.known_body import read_ahead
from kitekeel_daemon.request_guard import RequestGuard, identity_of
from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import (
    ClassNotProvedError,
    ConnectFailedError,
    ConnectionBrokenError,
    KitekeelError,
    NoRoomError,
    NotRunError,
    OutcomeUnknownError,
    UnknownServiceError,
)
from kitekeel_steering.grant_table import SlotHold
from kitekeel_steering.http_messages import StreamedAnswer
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.model import BackEnd, Configuration, PriorityClass, Service
from kitekeel_steering.request_phases import Phase
from kitekeel_steering.retry_budget import RetryBudget

_MOST_TRIES = 3
_FIRST_SERVER_ERROR = 500
# With a smaller part of its time left a request is refused: an answer would hardly be in time, and
# the send would only take a slot and end as unknown.
_LEAST_SHARE_OF_TIME = 0.1


class RequestRunner:
    """Steers requests to back ends; safe to call from many threads.

    Args:
        configuration: returns the configuration in force.
        admission: returns the admission of a service.
        forwarder: sends requests.
        metrics: counts tries.
        guard: tells which requests end back ends.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        admission: Callable[[str], ServiceAdmission],
        forwarder: Forwarder,
        metrics: Metrics,
        guard: RequestGuard,
    ) -> None:
        self._guard = guard
        self._configuration = configuration
        self._admission = admission
        self._forwarder = forwarder
        self._metrics = metrics
        self._given_up = GivenUpRequests(forwarder, metrics)
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    def is_ready(self) -> bool:
        """Tell whether there is a configuration."""
        return self._configuration().revision > 0

    def run(self, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return a back end's answer.

        Raises:
            NotRunError: nothing of the request left.
            OutcomeUnknownError: some of it may have.
        """
        service = self._configuration().find_service(request.service)
        if service is None:
            raise UnknownServiceError(f"no service '{request.service}'")
        priority_class = _proved_class(service, request)
        request, body = read_ahead(request)
        suspicion = _Suspicion(
            self._guard, service.name, identity_of(service.name, request.forwarded, body)
        )
        suspicion.check()
        # The service's longest run is what keepers rely on when a holder falls silent.
        deadline = min(deadline, steady_seconds() + service.longest_run_seconds)
        whole = min(request.deadline_seconds, service.longest_run_seconds)
        budget = self._budget(service.name)
        budget.note_request()
        return _Tries(
            self._configuration(),
            self._admission(service.name),
            self._forwarder,
            self._metrics,
            budget,
            self._given_up,
            request,
            priority_class,
            deadline,
            whole * _LEAST_SHARE_OF_TIME,
            suspicion,
        ).run()

    def _budget(self, service: str) -> RetryBudget:
        with self._lock:
            return self._budgets.setdefault(service, RetryBudget())


class _Suspicion:
    """What one request's tries tell of whether it ends back ends."""

    def __init__(self, guard: RequestGuard, service: str, identity: str) -> None:
        self._guard = guard
        self._service = service
        self._identity = identity

    def check(self) -> None:
        """Refuse the request where back ends end when they run it."""
        self._guard.check(self._identity)

    def note_broken(self, back_end: BackEnd, error: BaseException) -> None:
        """Note an exchange that failed."""
        if isinstance(error, ConnectionBrokenError):
            self._guard.note_broken(self._identity, self._service, back_end)

    def note_answered(self) -> None:
        """Note an answer that came whole."""
        self._guard.note_answered(self._identity)


class _Tries:
    """The tries of one request."""

    def __init__(
        self,
        configuration: Configuration,
        admission: ServiceAdmission,
        forwarder: Forwarder,
        metrics: Metrics,
        budget: RetryBudget,
        given_up: GivenUpRequests,
        request: CallerRequest,
        priority_class: PriorityClass,
        deadline: float,
        least_seconds: float,
        suspicion: _Suspicion,
    ) -> None:
        self._suspicion = suspicion
        self._configuration = configuration
        self._admission = admission
        self._forwarder = forwarder
        self._metrics = metrics
        self._budget = budget
        self._given_up = given_up
        self._request = request
        self._priority_class = priority_class
        self._deadline = deadline
        self._least_seconds = least_seconds
        self._failed: set[str] = set()
        self._may_have_run = False

    def run(self) -> StreamedAnswer:
        """Try until there is an answer or a further try is not allowed."""
        tries = 0
        last_hold: SlotHold | None = None
        while True:
            self._check()
            hold = self._acquire(last_hold)
            tries += 1
            try:
                answer = self._send(hold)
            except KitekeelError as error:
                last_hold = hold
                if not self._may_try_again(error, tries):
                    raise self._final(error) from error
                continue
            if _is_shed(answer) and self._may_retry_shed(tries):
                self._end_shed(answer, hold)
                last_hold = hold
                continue
            return answer

    def _check(self) -> None:
        try:
            self._suspicion.check()
        except NotRunError as error:
            raise self._final(error) from error

    def _acquire(self, last_hold: SlotHold | None) -> SlotHold:
        self._request.phases.enter(Phase.SLOT)
        try:
            return self._admission.acquire(
                self._priority_class.name,
                self._deadline,
                frozenset(self._failed),
                last_hold,
                self._least_seconds,
            )
        except NotRunError as error:
            raise self._final(error) from error

    def _final(self, error: KitekeelError) -> KitekeelError:
        """Return the error of the whole request: a last try that did not run proves nothing."""
        if self._may_have_run and isinstance(error, NotRunError):
            return OutcomeUnknownError(error.message, error.retry_after_seconds)
        return error

    def _send(self, hold: SlotHold) -> StreamedAnswer:
        """Send on a slot; the slot is given back here on failure, else when the answer ends."""
        back_end = self._find(hold.back_end)
        started_at = steady_seconds()
        if back_end is None or not self._admission.may_start(hold):
            # The grant ended or the back end was drained between taking the slot and now.
            self._admission.release(hold)
            self._metrics.increment("requests.grant_ended")
            raise _GrantEndedError("the slot's grant has ended", 1.0)
        self._metrics.increment("requests.sent")
        self._request.phases.enter(Phase.EXCHANGE)
        try:
            answer = self._forwarder.send(
                back_end.address,
                back_end.connections,
                msgspec.structs.replace(self._request.forwarded, shift=hold.key.shift),
                self._request.repeatable,
                self._deadline,
            )
        except BaseException as error:
            self._note_failure(back_end, hold, error, steady_seconds() - started_at)
            raise
        pieces = _SlotPieces(answer, hold, self._admission, started_at, back_end, self._suspicion)
        return msgspec.structs.replace(answer, pieces=pieces)

    def _note_failure(
        self, back_end: BackEnd, hold: SlotHold, error: BaseException, seconds: float
    ) -> None:
        self._admission.note_result(hold, False, seconds)
        self._failed.add(hold.back_end)
        if not isinstance(error, OutcomeUnknownError):
            self._admission.release(hold)
            return
        self._may_have_run = True
        self._suspicion.note_broken(back_end, error)
        # The back end may be at work until the deadline it was given; so long the slot is taken.
        free = partial(self._admission.release, hold)
        if self._request.repeatable:
            request_id = self._request.forwarded.request_id
            self._given_up.cancel(back_end.address, request_id, self._deadline, free)
        else:
            self._given_up.free_at_deadline(self._deadline, free)

    def _may_try_again(self, error: KitekeelError, tries: int) -> bool:
        if isinstance(error, _GrantEndedError):
            return steady_seconds() < self._deadline
        if tries >= _MOST_TRIES or steady_seconds() >= self._deadline:
            return False
        safe = isinstance(error, ConnectFailedError) or self._request.repeatable
        untouched = self._request.forwarded.body is None or isinstance(error, ConnectFailedError)
        if not (safe and untouched and self._budget.try_spend()):
            return False
        self._metrics.increment("requests.retried")
        return True

    def _may_retry_shed(self, tries: int) -> bool:
        if not self._request.repeatable or self._request.forwarded.body is not None:
            return False
        if tries >= _MOST_TRIES or steady_seconds() >= self._deadline:
            return False
        return self._budget.try_spend()

    def _end_shed(self, answer: StreamedAnswer, hold: SlotHold) -> None:
        self._metrics.increment("requests.retried")
        self._failed.add(hold.back_end)
        close = getattr(answer.pieces, "close", None)
        if close is not None:
            close()

    def _find(self, name: str) -> BackEnd | None:
        back_ends = self._configuration.back_ends
        return next((each for each in back_ends if each.name == name), None)


class _GrantEndedError(NoRoomError):
    """The grant ended before anything was sent; the request goes back to the queue."""


class _SlotPieces(Iterator[bytes]):
    """An answer's body; gives the slot back when the body ends, however it does."""

    def __init__(
        self,
        answer: StreamedAnswer,
        hold: SlotHold,
        admission: ServiceAdmission,
        started_at: float,
        back_end: BackEnd,
        suspicion: _Suspicion,
    ) -> None:
        self._back_end = back_end
        self._suspicion = suspicion
        self._answer = answer
        self._hold = hold
        self._admission = admission
        self._started_at = started_at
        self._released = False

    def __next__(self) -> bytes:
        try:
            return next(self._answer.pieces)
        except StopIteration:
            succeeded = self._answer.status < _FIRST_SERVER_ERROR
            if succeeded:
                self._suspicion.note_answered()
            self._release(succeeded)
            raise
        except BaseException as error:
            self._suspicion.note_broken(self._back_end, error)
            self._release(False)
            raise

    def close(self) -> None:
        """End early, as when the caller went away."""
        close = getattr(self._answer.pieces, "close", None)
        if close is not None:
            close()
        self._release(self._answer.status < _FIRST_SERVER_ERROR)

    def _release(self, succeeded: bool) -> None:
        if self._released:
            return
        self._released = True
        self._admission.note_result(self._hold, succeeded, steady_seconds() - self._started_at)
        self._admission.release(self._hold)


def _proved_class(service: Service, request: CallerRequest) -> PriorityClass:
    """Return the class that the caller claims, or the least urgent one where it claims none."""
    if not request.class_name:
        unkeyed = [each for each in service.classes if not each.key]
        if not unkeyed:
            raise ClassNotProvedError(f"'{service.name}' needs a class and its key")
        return unkeyed[-1]
    priority_class = service.find_class(request.class_name)
    if priority_class is None:
        raise UnknownServiceError(f"'{service.name}' has no class '{request.class_name}'")
    if priority_class.key and priority_class.key != request.class_key:
        raise ClassNotProvedError(f"the key of class '{request.class_name}' is wrong")
    return priority_class


def _is_shed(answer: StreamedAnswer) -> bool:
    return answer.status == HTTPStatus.SERVICE_UNAVAILABLE
