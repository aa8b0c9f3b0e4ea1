"""The head of a back end's answer, with how it was obtained."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.proxied_messages import RawHeaders


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of an answer, and how it was obtained.

    Attributes:
        dialled: the back end that the request was sent to.
        request_id: the request that was answered.
        sent_at: monotonic time at which it was sent, in seconds.
        relay: the daemon through which the connection leads; empty if it is direct.
        is_connection_open: returns whether the connection is still open.
    """

    dialled: BackEndRecord
    status: int
    headers: RawHeaders
    request_id: str = ""
    sent_at: float = 0.0
    relay: str = ""
    is_connection_open: Callable[[], bool] = lambda: False
