"""HTTP client of the operators' interface of a daemon."""

from __future__ import annotations

from typing import TypeVar

import msgspec
import urllib3

from kitekeel_operators.endpoints import KEY_HEADER
from kitekeel_operators.messages import (
    ApplyRequest,
    CommandReply,
    EventsReply,
    FailureReply,
    QueryReply,
    StatementRequest,
)
from kitekeel_steering.errors import KitekeelError

_OK = 200

Reply = TypeVar("Reply", bound=msgspec.Struct)


class DaemonUnreachableError(KitekeelError):
    """No daemon answers at the address."""

    code = "daemon-unreachable"


class UnreadableReplyError(DaemonUnreachableError):
    """A reply came from the address, but it is not a valid document of the operators' interface.

    This happens while a daemon starts, when its server has no thread for the call yet.
    """

    code = "unreadable-reply"


class OperatorRefusedError(KitekeelError):
    """The daemon refused the call.

    Attributes:
        refusal_code: the error code in the daemon's reply.
    """

    code = "refused"

    def __init__(self, failure: FailureReply) -> None:
        super().__init__(failure.message, failure.retry_after_seconds)
        self.refusal_code = failure.code


class OperatorClient:
    """Client of one daemon's operators' interface.

    Args:
        address: ``IP:port``.
        key: the operators' key.
        timeout_seconds: timeout of one call; a command returns once all daemons have confirmed it
            or the called daemon stops waiting for them.
    """

    def __init__(self, address: str, key: str, timeout_seconds: float = 20.0) -> None:
        self._base_url = f"http://{address}/v1"
        self._headers = {KEY_HEADER: key, "Content-Type": "application/json"}
        self._timeout_seconds = timeout_seconds
        self._http = urllib3.PoolManager(retries=False)

    def query(self, text: str) -> QueryReply:
        """Run a query."""
        return self._call("query", StatementRequest(text), QueryReply)

    def command(self, request: StatementRequest) -> CommandReply:
        """Run a command."""
        return self._call("command", request, CommandReply)

    def apply(self, request: ApplyRequest) -> CommandReply:
        """Apply a configuration text."""
        return self._call("apply", request, CommandReply)

    def events(self) -> EventsReply:
        """Return the daemon's events."""
        return self._call("events", None, EventsReply)

    def stop(self) -> FailureReply:
        """Begin a planned stop."""
        return self._call("stop", None, FailureReply)

    def _call(self, path: str, body: msgspec.Struct | None, reply_type: type[Reply]) -> Reply:
        payload = msgspec.json.encode(body) if body is not None else b"{}"
        try:
            response = self._http.request(
                "POST",
                f"{self._base_url}/{path}",
                body=payload,
                headers=self._headers,
                timeout=self._timeout_seconds,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise DaemonUnreachableError(f"no daemon answers at {self._base_url}") from error
        if response.status != _OK:
            raise OperatorRefusedError(self._decode(response, FailureReply))
        return self._decode(response, reply_type)

    def _decode(self, response: urllib3.BaseHTTPResponse, reply_type: type[Reply]) -> Reply:
        try:
            return msgspec.json.decode(response.data, type=reply_type)
        except msgspec.MsgspecError as error:
            text = f"what answers at {self._base_url} with status {response.status} is not readable"
            raise UnreadableReplyError(f"{text}: {error}") from error
