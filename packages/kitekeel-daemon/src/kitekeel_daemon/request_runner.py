"""Runs one request: acquires a slot, sends the request to its back end, and retries if safe."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from functools import partial
from http import HTTPStatus

import msgspec

from kitekeel_backends.forwarding import Forwarder
from kitekeel_callers.caller_request import CallerRequest
from kitekeel_daemon.back_end_announcements import BackEndAnnouncements
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

_MAX_TRIES = 3
_FIRST_SERVER_ERROR = 500
# A request with a smaller share of its time left is refused: an answer would hardly be in time, and
# the send would only occupy a slot and end with an unknown outcome.
_MIN_REMAINING_TIME_SHARE = 0.1


class RequestRunner:
    """Runs requests on back ends; safe to call from many threads.

    Args:
        configuration: returns the configuration in force.
        admission: returns the admission of a service.
        forwarder: sends requests.
        metrics: counts sends and retries.
        guard: detects requests that crash back ends.
        announcements: reads what back ends announce in their answers.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        admission: Callable[[str], ServiceAdmission],
        forwarder: Forwarder,
        metrics: Metrics,
        guard: RequestGuard,
        announcements: BackEndAnnouncements,
    ) -> None:
        self._announcements = announcements
        self._guard = guard
        self._configuration = configuration
        self._admission = admission
        self._forwarder = forwarder
        self._metrics = metrics
        self._given_up = GivenUpRequests(forwarder, metrics)
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    def is_ready(self) -> bool:
        """Return whether there is a configuration."""
        return self._configuration().revision > 0

    def run(self, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return a back end's answer.

        Raises:
            NotRunError: no back end has run the request.
            OutcomeUnknownError: a back end may have run it.
        """
        service = self._configuration().find_service(request.service)
        if service is None:
            raise UnknownServiceError(f"no service '{request.service}'")
        priority_class = _authenticated_class(service, request)
        request, body = read_ahead(request)
        bound_guard = _BoundGuard(
            self._guard, service.name, identity_of(service.name, request.forwarded, body)
        )
        bound_guard.check()
        # Keepers rely on the service's longest run when the holder of a slot stops answering.
        deadline = min(deadline, steady_seconds() + service.longest_run_seconds)
        allowed_seconds = min(request.deadline_seconds, service.longest_run_seconds)
        budget = self._budget(service.name)
        budget.note_request()
        return _RequestAttempts(
            self._configuration(),
            self._admission(service.name),
            self._forwarder,
            self._metrics,
            budget,
            self._given_up,
            request,
            priority_class,
            deadline,
            allowed_seconds * _MIN_REMAINING_TIME_SHARE,
            bound_guard,
            self._announcements,
        ).run()

    def _budget(self, service: str) -> RetryBudget:
        with self._lock:
            return self._budgets.setdefault(service, RetryBudget())


class _BoundGuard:
    """The crash guard, bound to the identity of one request."""

    def __init__(self, guard: RequestGuard, service: str, identity: str) -> None:
        self._guard = guard
        self._service = service
        self._identity = identity

    def check(self) -> None:
        """Raise an error if the request is quarantined because it crashes back ends."""
        self._guard.check(self._identity)

    def note_broken(self, back_end: BackEnd, error: BaseException) -> None:
        """Note a failed exchange; only a broken connection counts."""
        if isinstance(error, ConnectionBrokenError):
            self._guard.note_broken(self._identity, self._service, back_end)

    def note_answered(self) -> None:
        """Note that the answer was complete."""
        self._guard.note_answered(self._identity)


class _RequestAttempts:
    """The attempts to run one request."""

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
        min_remaining_seconds: float,
        bound_guard: _BoundGuard,
        announcements: BackEndAnnouncements,
    ) -> None:
        self._announcements = announcements
        self._bound_guard = bound_guard
        self._configuration = configuration
        self._admission = admission
        self._forwarder = forwarder
        self._metrics = metrics
        self._budget = budget
        self._given_up = given_up
        self._request = request
        self._priority_class = priority_class
        self._deadline = deadline
        self._min_remaining_seconds = min_remaining_seconds
        self._failed: set[str] = set()
        self._may_have_run = False

    def run(self) -> StreamedAnswer:
        """Send the request until there is an answer or no further retry is allowed."""
        tries = 0
        last_hold: SlotHold | None = None
        while True:
            self._check_quarantine()
            hold = self._acquire(last_hold)
            tries += 1
            try:
                answer = self._send(hold)
            except KitekeelError as error:
                last_hold = hold
                if not self._may_try_again(error, tries):
                    raise self._final_error(error) from error
                continue
            if _is_shed(answer) and self._may_retry_shed(tries):
                self._discard_shed_answer(answer, hold)
                last_hold = hold
                continue
            return answer

    def _check_quarantine(self) -> None:
        try:
            self._bound_guard.check()
        except NotRunError as error:
            raise self._final_error(error) from error

    def _acquire(self, last_hold: SlotHold | None) -> SlotHold:
        self._request.phases.enter(Phase.SLOT)
        try:
            return self._admission.acquire(
                self._priority_class.name,
                self._deadline,
                frozenset(self._failed),
                last_hold,
                self._min_remaining_seconds,
            )
        except NotRunError as error:
            raise self._final_error(error) from error

    def _final_error(self, error: KitekeelError) -> KitekeelError:
        """Return the error of the whole request, which may have run in an earlier attempt."""
        if self._may_have_run and isinstance(error, NotRunError):
            return OutcomeUnknownError(error.message, error.retry_after_seconds)
        return error

    def _send(self, hold: SlotHold) -> StreamedAnswer:
        """Send the request; the slot is released on failure, or when the answer's body ends."""
        back_end = self._find_back_end(hold.back_end)
        started_at = steady_seconds()
        if back_end is None or not self._admission.try_start(hold):
            # The grant ended or the back end was drained after the slot was acquired.
            self._admission.release(hold)
            self._metrics.increment("requests.grant_ended")
            raise _GrantEndedError("the grant of the slot ended before the request was sent", 1.0)
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
        answer = self._announcements.read(back_end.name, answer)
        pieces = _SlotReleasingBody(
            answer, hold, self._admission, started_at, back_end, self._bound_guard
        )
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
        self._bound_guard.note_broken(back_end, error)
        # The back end may work on the request until its deadline, so the slot stays occupied.
        release_slot = partial(self._admission.release, hold)
        if self._request.repeatable:
            request_id = self._request.forwarded.request_id
            self._given_up.cancel(back_end.address, request_id, self._deadline, release_slot)
        else:
            self._given_up.release_at_deadline(self._deadline, release_slot)

    def _may_try_again(self, error: KitekeelError, tries: int) -> bool:
        if isinstance(error, _GrantEndedError):
            return steady_seconds() < self._deadline
        if tries >= _MAX_TRIES or steady_seconds() >= self._deadline:
            return False
        is_safe = isinstance(error, ConnectFailedError) or self._request.repeatable
        is_body_unread = self._request.forwarded.body is None or isinstance(
            error, ConnectFailedError
        )
        if not (is_safe and is_body_unread and self._budget.try_spend()):
            return False
        self._metrics.increment("requests.retried")
        return True

    def _may_retry_shed(self, tries: int) -> bool:
        if not self._request.repeatable or self._request.forwarded.body is not None:
            return False
        if tries >= _MAX_TRIES or steady_seconds() >= self._deadline:
            return False
        return self._budget.try_spend()

    def _discard_shed_answer(self, answer: StreamedAnswer, hold: SlotHold) -> None:
        self._metrics.increment("requests.retried")
        self._failed.add(hold.back_end)
        close = getattr(answer.pieces, "close", None)
        if close is not None:
            close()

    def _find_back_end(self, name: str) -> BackEnd | None:
        back_ends = self._configuration.back_ends
        return next((each for each in back_ends if each.name == name), None)


class _GrantEndedError(NoRoomError):
    """The grant ended before anything was sent; the request returns to the queue."""


class _SlotReleasingBody(Iterator[bytes]):
    """The body of an answer; releases the slot when the body ends, fails or is closed."""

    def __init__(
        self,
        answer: StreamedAnswer,
        hold: SlotHold,
        admission: ServiceAdmission,
        started_at: float,
        back_end: BackEnd,
        bound_guard: _BoundGuard,
    ) -> None:
        self._back_end = back_end
        self._bound_guard = bound_guard
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
                self._bound_guard.note_answered()
            self._release(succeeded)
            raise
        except BaseException as error:
            self._bound_guard.note_broken(self._back_end, error)
            self._release(False)
            raise

    def close(self) -> None:
        """Close the body early, for example when the caller disconnected."""
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


def _authenticated_class(service: Service, request: CallerRequest) -> PriorityClass:
    """Return the class that the request names, or the least urgent one that needs no key."""
    if not request.class_name:
        unkeyed = [each for each in service.classes if not each.key]
        if not unkeyed:
            raise ClassNotProvedError(f"service '{service.name}' requires a class and its key")
        return unkeyed[-1]
    priority_class = service.find_class(request.class_name)
    if priority_class is None:
        raise UnknownServiceError(f"service '{service.name}' has no class '{request.class_name}'")
    if priority_class.key and priority_class.key != request.class_key:
        raise ClassNotProvedError(f"the key of class '{request.class_name}' is wrong")
    return priority_class


def _is_shed(answer: StreamedAnswer) -> bool:
    return answer.status == HTTPStatus.SERVICE_UNAVAILABLE
