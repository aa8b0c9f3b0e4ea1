"""Parses a caller's request from its WSGI environment."""

from __future__ import annotations

import re
import secrets
from typing import Any, cast
from urllib.parse import quote

import msgspec

from kitekeel_callers.arrival import ARRIVED_AT
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import BadRequestError, BodyTooLargeError
from kitekeel_steering.http_messages import (
    ForwardedRequest,
    RequestBody,
    end_to_end_headers,
)
from kitekeel_steering.request_phases import RequestPhases
from kitekeel_steering.stated_numbers import whole_number

SERVICE_PREFIX = "/v1/services/"
REQUEST_ID = "Kitekeel-Request-Id"
CLASS = "Kitekeel-Class"
CLASS_KEY = "Kitekeel-Class-Key"
DEADLINE = "Kitekeel-Deadline-Ms"
REPEATABLE = "Kitekeel-Repeatable"
IDEMPOTENCY_KEY = "Idempotency-Key"
RELAYED = "Kitekeel-Relayed"

_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_TOKEN_PATTERN = re.compile(r"^[A-Za-z0-9._~+/=:-]{1,256}$")
_NOT_FORWARDED_HEADERS = frozenset({CLASS_KEY.lower(), DEADLINE.lower(), REQUEST_ID.lower()})

Environment = dict[str, Any]


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request and the fields parsed from its headers.

    Attributes:
        deadline_seconds: time limit set by the caller, counted from the arrival.
        key: the ``Idempotency-Key``, or an empty string.
        relayed: another daemon forwarded it to this one as its key's home.
        phases: measures the time spent in each phase.
    """

    service: str
    class_name: str
    class_key: str
    deadline_seconds: float
    key: str
    repeatable: bool
    relayed: bool
    forwarded: ForwardedRequest
    phases: RequestPhases


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on one request; sizes in bytes."""

    largest_body: int = 64 * 1024 * 1024
    default_deadline_seconds: float = 10.0
    longest_deadline_seconds: float = 300.0


class RequestReader:
    """Parses WSGI environments into requests.

    Args:
        limits: limits on one request.
        region: the daemon's region, sent to back ends as the origin.
    """

    def __init__(self, limits: RequestLimits, region: str) -> None:
        self._limits = limits
        self._region = region

    def read(self, environment: Environment) -> CallerRequest:
        """Return the request.

        Raises:
            BadRequestError: a header does not have the documented form.
            BodyTooLargeError: ``Content-Length`` is above the limit.
        """
        service, target = _split_path(environment)
        method = str(environment["REQUEST_METHOD"])
        repeatable_header = _header(environment, REPEATABLE).lower()
        repeatable = repeatable_header == "yes" or (
            repeatable_header != "no" and method in _REPEATABLE_METHODS
        )
        forwarded = self._build_forwarded_request(environment, method, target)
        return CallerRequest(
            service=service,
            class_name=_token_header(environment, CLASS, ""),
            class_key=_token_header(environment, CLASS_KEY, ""),
            deadline_seconds=self._parse_deadline(environment),
            key=_token_header(environment, IDEMPOTENCY_KEY, ""),
            repeatable=repeatable,
            relayed=bool(_header(environment, RELAYED)),
            forwarded=forwarded,
            phases=RequestPhases(environment.get(ARRIVED_AT, steady_seconds())),
        )

    def _build_forwarded_request(
        self, environment: Environment, method: str, target: str
    ) -> ForwardedRequest:
        length = self._parse_body_length(environment)
        has_body = length is None or length > 0
        body = cast(RequestBody, environment["wsgi.input"]) if has_body else None
        headers = end_to_end_headers(_all_headers(environment))
        return ForwardedRequest(
            request_id=_token_header(environment, REQUEST_ID, "") or secrets.token_hex(8),
            method=method,
            target=target,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in _NOT_FORWARDED_HEADERS
            ),
            body=body,
            body_length=length,
            origin_region=self._region,
        )

    def _parse_deadline(self, environment: Environment) -> float:
        raw = _header(environment, DEADLINE)
        if not raw:
            return self._limits.default_deadline_seconds
        milliseconds = whole_number(raw.encode("latin-1", "replace"))
        if not milliseconds:
            raise BadRequestError(f"{DEADLINE} must be a whole number of milliseconds above 0")
        return min(milliseconds / 1000, self._limits.longest_deadline_seconds)

    def _parse_body_length(self, environment: Environment) -> int | None:
        if "chunked" in str(environment.get("HTTP_TRANSFER_ENCODING", "")).lower():
            return None
        raw = str(environment.get("CONTENT_LENGTH") or "0")
        length = whole_number(raw.encode("latin-1", "replace"))
        if length is None:
            raise BadRequestError("Content-Length is not a number")
        if length > self._limits.largest_body:
            raise BodyTooLargeError(
                f"the body exceeds the limit of {self._limits.largest_body} bytes"
            )
        return length


def read_idempotency_key(environment: Environment) -> str:
    """Return the ``Idempotency-Key`` of a request, also when the rest cannot be parsed."""
    return _header(environment, IDEMPOTENCY_KEY)


def _split_path(environment: Environment) -> tuple[str, str]:
    path = str(environment.get("PATH_INFO", ""))
    service, separator, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
    if not service:
        raise BadRequestError(f"the path must be {SERVICE_PREFIX}SERVICE/...")
    target = quote((separator or "/") + rest, safe="/:@!$&'()*+,;=~%")
    query = str(environment.get("QUERY_STRING", ""))
    return service, f"{target}?{query}" if query else target


def _header(environment: Environment, name: str) -> str:
    return str(environment.get("HTTP_" + name.upper().replace("-", "_"), "")).strip()


def _token_header(environment: Environment, name: str, default: str) -> str:
    value = _header(environment, name)
    if not value:
        return default
    if not _TOKEN_PATTERN.match(value):
        raise BadRequestError(f"{name} must be 1 to 256 characters of A-Z a-z 0-9 . _ ~ + / = : -")
    return value


def _all_headers(environment: Environment) -> list[tuple[str, str]]:
    headers = [
        (name[5:].replace("_", "-").title(), str(value))
        for name, value in environment.items()
        if name.startswith("HTTP_") and name != "HTTP_HOST"
    ]
    if environment.get("CONTENT_TYPE"):
        headers.append(("Content-Type", str(environment["CONTENT_TYPE"])))
    return headers
