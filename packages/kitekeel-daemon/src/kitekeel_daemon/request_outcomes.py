"""How requests end, and the daemon's own answers."""

from __future__ import annotations

import enum
from http import HTTPStatus

from kitekeel_steering.proxied_messages import MessageBody, ProxiedAnswer


class Outcome(enum.Enum):
    """How a request ended, as its final log line and the counters say."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    TIMED_OUT = "timed-out"
    ABANDONED = "abandoned"
    NO_ROUTE = "no-route"
    NOT_READY = "not-ready"


class Reason(enum.Enum):
    """What decided an end that no back end and no placement gives the reason for."""

    ANSWER = "back-end-answered"
    CALLER_LEFT = "caller-left"
    DEADLINE = "deadline"
    RETRY_BUDGET = "retry-budget"
    NO_CONFIGURATION = "no-configuration"
    NO_MATCH = "no-match"
    ENDS_BACK_ENDS = "ends-back-ends"


def own_answer(
    status: HTTPStatus, headers: tuple[tuple[bytes, bytes], ...] = (), body: bytes = b""
) -> ProxiedAnswer:
    """Return an answer of the daemon's own."""
    return ProxiedAnswer(
        status, status.phrase.encode(), headers, MessageBody(body, None, len(body))
    )


def refusal(retry_after_seconds: float) -> ProxiedAnswer:
    """Return the promise that a request has not run and will not, and when to come back."""
    retry_after = (b"Retry-After", f"{retry_after_seconds:.2f}".encode())
    return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (retry_after,))
