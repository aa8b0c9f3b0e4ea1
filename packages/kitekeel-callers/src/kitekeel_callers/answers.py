"""Answers that are the daemon's own: their status, outcome and code, as one JSON form.

Every one says for the *request*, not only for this attempt, whether it was run: ``not-run`` or
``unknown``. ``Retry-After`` stands where asking again makes sense.
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
    """The body of an answer of the daemon's own."""

    outcome: str
    code: str
    message: str
    retry_after_seconds: int | None


class OwnAnswer(msgspec.Struct, frozen=True):
    """A whole small answer."""

    status: HTTPStatus
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def status_line(self) -> str:
        """Return the status as WSGI wants it."""
        return f"{self.status.value} {self.status.phrase}"


def error_answer(error: KitekeelError, keyed: bool = False) -> OwnAnswer:
    """Return the answer for an error.

    Args:
        error: why there is no answer of a back end.
        keyed: the key's home was not asked, so an earlier attempt may have run.
    """
    not_run = isinstance(error, NotRunError) and not keyed
    retry_after = _whole_seconds(error.retry_after_seconds)
    body = ErrorBody(NOT_RUN if not_run else UNKNOWN, error.code, error.message, retry_after)
    headers = [
        ("Content-Type", "application/json"),
        (OUTCOME_HEADER, body.outcome),
        (CODE_HEADER, error.code),
    ]
    if retry_after is not None:
        headers.append(("Retry-After", str(retry_after)))
    return json_answer(_status(error), msgspec.json.encode(body), tuple(headers))


def json_answer(status: HTTPStatus, body: bytes, headers: tuple[tuple[str, str], ...]) -> OwnAnswer:
    """Return an answer with its length."""
    return OwnAnswer(status, (*headers, ("Content-Length", str(len(body)))), body)


def _status(error: KitekeelError) -> HTTPStatus:
    for kind, status in _STATUS_BY_ERROR:
        if isinstance(error, kind):
            return status
    return HTTPStatus.SERVICE_UNAVAILABLE


def _whole_seconds(seconds: float | None) -> int | None:
    return None if seconds is None else max(1, math.ceil(seconds))
