"""Answers that the daemon generates itself, with status, outcome and code, in one JSON format.

Each error answer states for the *request*, not only for this attempt, whether it has run:
``not-run`` or ``unknown``. ``Retry-After`` is set where a retry makes sense.
"""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec

from kitekeel_steering.errors import (
    BadRequestError,
    BodyTooLargeError,
    ClassNotProvedError,
    ConnectFailedError,
    ConnectionBrokenError,
    DeadlinePassedError,
    HomeUnreachableError,
    IdempotencyKeyInvalidError,
    IdempotencyKeyRequiredError,
    IdempotencyKeyReusedError,
    KeyExpiredError,
    KitekeelError,
    NotRunError,
    StillRunningError,
    UnknownServiceError,
)

OUTCOME_HEADER = "Kitekeel-Outcome"
CODE_HEADER = "Kitekeel-Code"
ANSWERED = "answered"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

_STATUS_BY_ERROR: tuple[tuple[type[KitekeelError], HTTPStatus], ...] = (
    (BadRequestError, HTTPStatus.BAD_REQUEST),
    (IdempotencyKeyRequiredError, HTTPStatus.BAD_REQUEST),
    (IdempotencyKeyInvalidError, HTTPStatus.BAD_REQUEST),
    (IdempotencyKeyReusedError, HTTPStatus.UNPROCESSABLE_ENTITY),
    (ClassNotProvedError, HTTPStatus.FORBIDDEN),
    (UnknownServiceError, HTTPStatus.NOT_FOUND),
    (BodyTooLargeError, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    (ConnectFailedError, HTTPStatus.BAD_GATEWAY),
    (ConnectionBrokenError, HTTPStatus.BAD_GATEWAY),
    (HomeUnreachableError, HTTPStatus.BAD_GATEWAY),
    (DeadlinePassedError, HTTPStatus.GATEWAY_TIMEOUT),
    (StillRunningError, HTTPStatus.CONFLICT),
    (KeyExpiredError, HTTPStatus.GONE),
)


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON body of an error answer."""

    outcome: str
    code: str
    message: str
    retry_after_seconds: int | None


class BufferedAnswer(msgspec.Struct, frozen=True):
    """A complete answer with its body in memory."""

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """Return the status line in the form that WSGI requires."""
        return f"{self.status.value} {self.status.phrase}"


def error_answer(error: KitekeelError, home_not_asked: bool = False) -> BufferedAnswer:
    """Return the answer for an error.

    Args:
        error: the reason why no back end answered.
        home_not_asked: the request has an idempotency key whose home was not asked, so an earlier
            attempt may have run.
    """
    not_run = isinstance(error, NotRunError) and not home_not_asked
    retry_after = _round_up_seconds(error.retry_after_seconds)
    body = ErrorBody(NOT_RUN if not_run else UNKNOWN, error.code, error.message, retry_after)
    headers = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, body.outcome),
        (CODE_HEADER, error.code),
    ]
    if retry_after is not None:
        headers.append(("Retry-After", str(retry_after)))
    return json_answer(_status_for(error), msgspec.json.encode(body), tuple(headers))


def json_answer(
    status: HTTPStatus, body: bytes, headers: tuple[tuple[str, str], ...]
) -> BufferedAnswer:
    """Return an answer with ``Content-Length`` set."""
    return BufferedAnswer(status, (*headers, ("Content-Length", str(len(body)))), body)


def _status_for(error: KitekeelError) -> HTTPStatus:
    for kind, status in _STATUS_BY_ERROR:
        if isinstance(error, kind):
            return status
    return HTTPStatus.SERVICE_UNAVAILABLE


def _round_up_seconds(seconds: float | None) -> int | None:
    return None if seconds is None else max(1, math.ceil(seconds))
