"""Lists the requests that crash back ends, from gateway daemons, and releases them."""

from __future__ import annotations

import time
from http import HTTPStatus

import msgspec

from kitekeel_operators.client import DaemonUnreachableError, OperatorRefusedError
from kitekeel_operators.gateway_calls import call_gateway
from kitekeel_operators.messages import FailureReply
from kitekeel_steering.crash_reports import (
    CRASH_RECORDS_PATH,
    RELEASE_SUFFIX,
    SECRET_HEADER,
    CrashReport,
)

_RECORD_UNKNOWN_CODE = "crash-record-unknown"
_SECRET_WRONG_CODE = "secret-wrong"


def fetch_crash_reports(address: str) -> list[CrashReport]:
    """Return the crash reports of the gateway with this metrics address.

    Raises:
        DaemonUnreachableError: it did not answer, or its reply is not valid.
    """
    body = call_gateway("GET", address, CRASH_RECORDS_PATH, {}).data
    try:
        return msgspec.json.decode(body, type=list[CrashReport])
    except msgspec.MsgspecError as error:
        raise DaemonUnreachableError(f"{address} answers no crash records: {error}") from error


def release(address: str, identity: str, secret: str) -> None:
    """Release a request at every daemon; the called daemon informs the others.

    Raises:
        DaemonUnreachableError: it did not answer.
        OperatorRefusedError: the secret is wrong, or there is no record of the request.
    """
    path = f"{CRASH_RECORDS_PATH}/{identity}{RELEASE_SUFFIX}"
    status = call_gateway("POST", address, path, {SECRET_HEADER.decode(): secret}).status
    if status == HTTPStatus.FORBIDDEN:
        raise _refusal(_SECRET_WRONG_CODE, "the daemons' shared secret is wrong")
    if status != HTTPStatus.OK:
        raise _refusal(_RECORD_UNKNOWN_CODE, f"nothing is known of request {identity}")


def format_crash_reports(reports: list[CrashReport]) -> str:
    """Return the reports as text, quarantined requests first."""
    if not reports:
        return "no request has ended back ends"
    now = time.time()
    lines: list[str] = []
    for each in sorted(reports, key=lambda one: (not one.is_quarantined, -len(one.ends))):
        state = "quarantined" if each.is_quarantined else "suspect"
        age = max(0.0, now - each.last_end_at)
        lines.append(f"{each.identity}  {state}  service {each.service}")
        lines.append(f"    {len(each.ends)} processes ended, the last {age:.0f} s ago")
        lines.append(f"    ended: {', '.join(each.ends)}")
        lines.append(f"    versions: {', '.join(each.versions) or 'not stated'}")
        if each.tries:
            lines.append(f"    tried again: {', '.join(each.tries)}")
        if each.times_cleared:
            lines.append(f"    cleared {each.times_cleared} times before")
    return "\n".join(lines)


def _refusal(code: str, message: str) -> OperatorRefusedError:
    return OperatorRefusedError(FailureReply(code, message))
