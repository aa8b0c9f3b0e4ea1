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
    NO_KEY = "no-key"
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
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    TENANT_OVER_LIMIT = "tenant-over-limit"
    NO_COMMON_HOME = "no-common-home"


def own_answer(
    status: HTTPStatus, headers: tuple[tuple[bytes, bytes], ...] = (), body: bytes = b""
) -> ProxiedAnswer:
    """Return an answer of the daemon's own."""
    return ProxiedAnswer(
        status, status.phrase.encode(), headers, MessageBody(body, None, len(body))
    )


def refusal(
    retry_after_seconds: float, status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE
) -> ProxiedAnswer:
    """Return the promise that a request has not run and will not, and when to come back."""
    retry_after = (b"Retry-After", f"{retry_after_seconds:.2f}".encode())
    return own_answer(status, (retry_after,))


def unauthorized() -> ProxiedAnswer:
    """Return the answer to a request that needs an API key and states no valid one."""
    return own_answer(HTTPStatus.UNAUTHORIZED, ((b"WWW-Authenticate", b"Bearer"),))
