"""A request with its route, and what has been tried for it."""

from __future__ import annotations

import msgspec

from kitekeel_steering.crash_ledger import CarefulTry
from kitekeel_steering.log_messages import LogMessage
from kitekeel_steering.proxied_messages import ProxiedRequest
from kitekeel_steering.routing import Route
from kitekeel_steering.tenants import Caller


class RoutedRequest(msgspec.Struct):
    """A request on its way through a daemon.

    Attributes:
        caller: whose request it is.
        regions: the only regions that may serve it, empty for all; ``None`` where there is none.
        priority: its tenant's or its route's; 0 is the most urgent.
        deadline: monotonic time by which the caller must have its final answer.
        attempts: how many back ends may have received it.
        sends: how many back ends were chosen, reached or not.
        claims_refused: how often no token of a back end's rate limit was available.
        lines: its decisions so far, to be logged once it has ended.
        was_rejected_needlessly: whether the last back end rejected it with a slot free.
        identity: the same for each try of the same request; empty where nothing is known of it.
        careful_try: the one send that it may have although it is quarantined.
    """

    request: ProxiedRequest
    request_id: str
    route: Route
    service: str
    caller: Caller
    regions: tuple[str, ...] | None
    priority: int
    affinity_key: str
    urgency_rank: int
    deadline: float
    tried: set[str]
    lines: list[LogMessage]
    attempts: int = 0
    sends: int = 0
    claims_refused: int = 0
    may_have_run: bool = False
    was_rejected_needlessly: bool = False
    identity: str = ""
    careful_try: CarefulTry | None = None
    known: int = 0
    usable: int = 0
