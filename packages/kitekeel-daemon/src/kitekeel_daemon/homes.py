"""Finds the home daemon of idempotency keys, and relays requests to it over HTTP."""

from __future__ import annotations

import msgspec

from kitekeel_backends.forwarding import Forwarder
from kitekeel_callers.caller_request import (
    CLASS_KEY,
    DEADLINE,
    RELAYED,
    REQUEST_ID,
    SERVICE_PREFIX,
    CallerRequest,
)
from kitekeel_callers.idempotency import Home
from kitekeel_peers.membership import Membership
from kitekeel_steering.http_messages import StreamedAnswer

_RELAY_CONNECTIONS = 8


class MemberHomes:
    """Uses the membership to find the daemon responsible for an instance's keys."""

    def __init__(self, membership: Membership, own_instance: str) -> None:
        self._membership = membership
        self._own_instance = own_instance

    def own_instance(self) -> str:
        """Return this daemon's instance."""
        return self._own_instance

    def resolve(self, instance: str) -> Home | None:
        """Return the live daemon responsible for an instance's keys, or ``None``."""
        record = self._membership.resolve_home(instance)
        return Home(record.instance, record.caller_address) if record is not None else None


class HttpRelay:
    """Relays requests to the caller interface of their home daemon.

    A request that must not be repeated always uses a new connection, so that after a failed connect
    it is certain that nothing was sent.
    """

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    def relay(self, home: Home, request: CallerRequest, deadline: float) -> StreamedAnswer:
        """Send a request to its home and return the answer.

        Raises:
            ConnectFailedError: the home accepts no connection; nothing was sent.
            OutcomeUnknownError: the connection broke or the deadline passed.
        """
        original = request.forwarded
        own_headers = (
            (RELAYED, "yes"),
            (CLASS_KEY, request.class_key),
            (REQUEST_ID, original.request_id),
            (DEADLINE, str(int(request.deadline_seconds * 1000))),
        )
        relayed = msgspec.structs.replace(
            original,
            target=f"{SERVICE_PREFIX}{request.service}{original.target}",
            headers=(*original.headers, *((name, value) for name, value in own_headers if value)),
        )
        return self._forwarder.send(
            home.caller_address, _RELAY_CONNECTIONS, relayed, False, deadline
        )
