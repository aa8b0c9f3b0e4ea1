"""The WSGI application that runs callers' requests."""

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
    BufferedAnswer,
    error_answer,
    json_answer,
)
from kitekeel_callers.caller_request import (
    CallerRequest,
    Environment,
    RequestReader,
    read_idempotency_key,
)
from kitekeel_callers.idempotency import IdempotentRequests, KeptAnswerError
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import KitekeelError, NoConfigurationError, NoRoomError, NotRunError
from kitekeel_steering.http_messages import StreamedAnswer
from kitekeel_steering.key_table import KeptAnswer
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.request_phases import Phase

_ANSWER_STATUS_HEADER = "Kitekeel-Answer-Status"
_NOT_KEPT_CODE = "answer-not-kept"

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class RequestRunner(Protocol):
    """Runs a request on a back end."""

    def is_ready(self) -> bool:
        """Return whether a configuration has been loaded."""

    def run(self, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Return a back end's answer, or raise an error that says why there is none."""


class EndedRequestObserver(Protocol):
    """Is notified of each request that has ended."""

    def note_ended(self, request: CallerRequest, outcome: str, cause: str) -> None:
        """Record an ended request with the outcome sent to its caller and the cause."""


class Intake:
    """Answers each request with its back end's answer or a locally generated one.

    Args:
        reader: parses requests.
        runner: runs requests on back ends.
        idempotent: runs non-repeatable requests at most once.
        metrics: counts outcomes.
        ended: is notified of each ended request.
        is_leaving: while it returns true, answers carry ``Connection: close``.
    """

    def __init__(
        self,
        reader: RequestReader,
        runner: RequestRunner,
        idempotent: IdempotentRequests,
        metrics: Metrics,
        ended: EndedRequestObserver,
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
            return self._respond_locally(
                error_answer(error, bool(read_idempotency_key(environment))), start_response
            )
        request.phases.enter(Phase.KEY)
        try:
            answer = self._run(request)
            request.phases.enter(Phase.ANSWER)
            first_piece = next(answer.pieces, b"")
        except KeptAnswerError as error:
            return self._respond_with_error(
                request, _kept_answer(error.answer), error, start_response
            )
        except KitekeelError as error:
            return self._respond_with_error(request, error_answer(error), error, start_response)
        return self._respond_streamed(request, answer, first_piece, start_response)

    def _run(self, request: CallerRequest) -> StreamedAnswer:
        # Counted from the arrival, because on an overloaded CPU a request is read much later.
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

    def _respond_with_error(
        self,
        request: CallerRequest,
        answer: BufferedAnswer,
        error: KitekeelError,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        request.phases.end()
        self._ended.note_ended(request, _get_outcome(answer), f"{error.code}: {error.message}")
        return self._respond_locally(answer, start_response)

    def _respond_locally(
        self, answer: BufferedAnswer, start_response: StartResponse
    ) -> Iterable[bytes]:
        headers = list(answer.headers)
        self._metrics.increment(f"requests.{_get_outcome(answer)}")
        self._add_connection_close(headers)
        start_response(answer.status_line, headers)
        return [answer.body]

    def _respond_streamed(
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
        self._add_connection_close(headers)
        start_response(f"{answer.status} {answer.reason}", headers)
        return _AnswerBody(first_piece, answer.pieces, lambda: self._finish_streamed(request))

    def _finish_streamed(self, request: CallerRequest) -> None:
        request.phases.end()
        self._ended.note_ended(request, ANSWERED, "")

    def _add_connection_close(self, headers: list[tuple[str, str]]) -> None:
        if self._is_leaving():
            headers.append(("Connection", "close"))


class _AnswerBody(Iterator[bytes]):
    """A streamed body; the server also closes it when the caller disconnects.

    A truncated body resets the caller's connection, so that the caller does not take it as
    complete.
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
        """Close the body and release its resources; the server always calls this."""
        try:
            close = getattr(self._pieces, "close", None)
            if close is not None:
                close()
        finally:
            self._on_end()


class _NotKeptBody(msgspec.Struct, frozen=True):
    """Body for a repeat of a request that has run but whose answer was too long to store."""

    outcome: str
    code: str
    answer_status: int


def _get_outcome(answer: BufferedAnswer) -> str:
    return dict(answer.headers).get(OUTCOME_HEADER, ANSWERED)


def _kept_answer(answer: KeptAnswer) -> BufferedAnswer:
    if answer.body is not None:
        headers = (*answer.headers, (OUTCOME_HEADER, ANSWERED))
        return json_answer(HTTPStatus(answer.status), answer.body, headers)
    body = msgspec.json.encode(_NotKeptBody(ANSWERED, _NOT_KEPT_CODE, answer.status))
    headers = (
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, ANSWERED),
        (CODE_HEADER, _NOT_KEPT_CODE),
        (_ANSWER_STATUS_HEADER, str(answer.status)),
    )
    return json_answer(HTTPStatus.CONFLICT, body, headers)
