"""The WSGI application that takes callers' requests."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Protocol

import msgspec

from kitekeel_callers.answers import (
    ANSWERED,
    CODE_HEADER,
    OUTCOME_HEADER,
    OwnAnswer,
    error_answer,
    json_answer,
)
from kitekeel_callers.caller_request import (
    CallerRequest,
    Environment,
    RequestReader,
    stated_key,
)
from kitekeel_callers.idempotency import IdempotentRequests, KeptAnswerError
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import KitekeelError, NoConfigurationError, NoRoomError, NotRunError
from kitekeel_steering.http_messages import StreamedAnswer
from kitekeel_steering.key_table import KeptAnswer
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.request_phases import Phase

_OWN_STATUS_HEADER = "Kitekeel-Answer-Status"
_NOT_KEPT = "answer-not-kept"

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class RequestRunner(Protocol):
    """Runs a request at some back end."""

    def is_ready(self) -> bool:
        """Tell whether there is a configuration to go by."""

    def run(self, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return a back end's answer, or raise why there is none."""


class EndedRequests(Protocol):
    """Takes requests that have ended."""

    def note_ended(self, request: CallerRequest, outcome: str, cause: str) -> None:
        """Take a request whose phases have ended, what its caller was told, and why."""


class Intake:
    """Takes requests, and answers each with its back end's answer or one of its own.

    Args:
        reader: reads requests.
        runner: runs them.
        idempotent: wraps those that may not be repeated.
        metrics: counts outcomes.
        ended: takes requests that have ended.
        is_leaving: while true, callers are asked to close their connections.
    """

    def __init__(
        self,
        reader: RequestReader,
        runner: RequestRunner,
        idempotent: IdempotentRequests,
        metrics: Metrics,
        ended: EndedRequests,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._reader = reader
        self._runner = runner
        self._idempotent = idempotent
        self._metrics = metrics
        self._ended = ended
        self._is_leaving = is_leaving

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        self._metrics.increment("requests.received")
        try:
            request = self._reader.read(environment)
        except NotRunError as error:
            return self._own(error_answer(error, bool(stated_key(environment))), start_response)
        request.phases.enter(Phase.KEY)
        try:
            answer = self._run(request)
            request.phases.enter(Phase.ANSWER)
            first_piece = next(answer.pieces, b"")
        except KeptAnswerError as error:
            return self._own_ended(request, _kept_answer(error.answer), error, start_response)
        except KitekeelError as error:
            return self._own_ended(request, error_answer(error), error, start_response)
        return self._streamed(request, answer, first_piece, start_response)

    def _run(self, request: CallerRequest) -> StreamedAnswer:
        # Counted from the arrival: with too little processor time a request is read much later.
        deadline = request.phases.arrived_at + request.deadline_seconds
        if request.repeatable:
            return self._run_now(request, deadline)
        return self._idempotent.run(request, deadline, self._run_now)

    def _run_now(self, request: CallerRequest, deadline: float) -> StreamedAnswer:
        if not self._runner.is_ready():
            raise NoConfigurationError("no configuration is known yet", 1.0)
        if steady_seconds() >= deadline:
            raise NoRoomError("the deadline passed before the request was read", 1.0)
        return self._runner.run(request, deadline)

    def _own_ended(
        self,
        request: CallerRequest,
        answer: OwnAnswer,
        error: KitekeelError,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request.phases.end()
        self._ended.note_ended(request, _outcome_of(answer), f"{error.code}: {error.message}")
        return self._own(answer, start_response)

    def _own(self, answer: OwnAnswer, start_response: StartResponse) -> Iterable[bytes]:
        headers = list(answer.headers)
        self._metrics.increment(f"requests.{_outcome_of(answer)}")
        self._add_close(headers)
        start_response(answer.status_line, headers)
        return [answer.body]

    def _streamed(
        self,
        request: CallerRequest,
        answer: StreamedAnswer,
        first_piece: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        headers = list(answer.headers)
        if all(name != OUTCOME_HEADER for name, _ in headers):
            headers.append((OUTCOME_HEADER, ANSWERED))
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        self._metrics.increment("requests.answered")
        self._add_close(headers)
        start_response(f"{answer.status} {answer.reason}", headers)
        return _AnswerBody(first_piece, answer.pieces, lambda: self._end_streamed(request))

    def _end_streamed(self, request: CallerRequest) -> None:
        request.phases.end()
        self._ended.note_ended(request, ANSWERED, "")

    def _add_close(self, headers: list[tuple[str, str]]) -> None:
        if self._is_leaving():
            headers.append(("Connection", "close"))


class _AnswerBody(Iterator[bytes]):
    """A streamed body; the server closes it also when the caller goes away.

    A body that is cut short resets the caller's connection: an answer that began must not seem to
    have ended well.
    """

    def __init__(
        self, first_piece: bytes, pieces: Iterator[bytes], on_end: Callable[[], None]
    ) -> None:
        self._first_piece = first_piece
        self._pieces = pieces
        self._on_end = on_end

    def __next__(self) -> bytes:
        if self._first_piece:
            first_piece, self._first_piece = self._first_piece, b""
            return first_piece
        try:
            return next(self._pieces)
        except KitekeelError as error:
            raise ConnectionResetError(errno.ECONNRESET, error.message) from error

    def close(self) -> None:
        """End the body, giving back what it holds; called by the server in every case."""
        try:
            close = getattr(self._pieces, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()


class _NotKept(msgspec.Struct, frozen=True):
    """Tells a repeat that the request has run, where the answer was too long to keep."""

    outcome: str
    code: str
    answer_status: int


def _outcome_of(answer: OwnAnswer) -> str:
    return dict(answer.headers).get(OUTCOME_HEADER, ANSWERED)


def _kept_answer(answer: KeptAnswer) -> OwnAnswer:
    if answer.body is not None:
        headers = (*answer.headers, (OUTCOME_HEADER, ANSWERED))
        return json_answer(HTTPStatus(answer.status), answer.body, headers)
    body = msgspec.json.encode(_NotKept(ANSWERED, _NOT_KEPT, answer.status))
    headers = (
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, ANSWERED),
        (CODE_HEADER, _NOT_KEPT),
        (_OWN_STATUS_HEADER, str(answer.status)),
    )
    return json_answer(HTTPStatus.CONFLICT, body, headers)
