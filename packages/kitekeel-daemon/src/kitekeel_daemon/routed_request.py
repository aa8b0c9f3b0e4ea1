"""A request with its route and the state of its sends."""

from __future__ import annotations

import msgspec

from kitekeel_steering.crash_ledger import CarefulTry
from kitekeel_steering.log_messages import LogMessage
from kitekeel_steering.proxied_messages import ProxiedRequest
from kitekeel_steering.routing import Route
from kitekeel_steering.shortage_pool import ShortagePool
from kitekeel_steering.tenants import Caller


class RoutedRequest(msgspec.Struct):
    """A routed request that this daemon is processing.

    Attributes:
        caller: the identified sender of the request.
        regions: the only regions that may serve it; empty if all may, ``None`` if none may.
        priority: the priority of its tenant or its route; 0 is the most urgent.
        affinity_key: requests with the same key prefer the same back end.
        urgency_rank: number of more urgent priorities that share the service.
        deadline: monotonic time by which the caller must have its final answer.
        tried: names of the back ends that must not be chosen again.
        messages: log messages about it so far, written once it has ended.
        attempts: number of sends that may have reached a back end.
        sends: number of sends, including those that reached no back end.
        refused_claims: number of times that no token of a back end's rate limit was available.
        running_sends: number of sends that have no result yet.
        has_run: whether a back end may have run it, by the sends that have a result.
        was_rejected_with_free_slot: whether the last back end rejected it despite a free slot.
        was_asked_to_pause: whether the last back end asked this daemon to send nothing for a while.
        identity: equal for all retries of a request; empty if no crash record can match it.
        careful_try: permission to send it once although it is quarantined.
        known: number of back ends of the service in the view.
        usable: number of candidates that were not tried yet.
        shortage_pool: counts the request and its sends; ``None`` if nothing divides the room.
        retry_after_seconds: after what time its caller should return; ``None`` if not decided yet.
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
    messages: list[LogMessage]
    attempts: int = 0
    sends: int = 0
    refused_claims: int = 0
    running_sends: int = 0
    has_run: bool = False
    was_rejected_with_free_slot: bool = False
    was_asked_to_pause: bool = False
    identity: str = ""
    careful_try: CarefulTry | None = None
    known: int = 0
    usable: int = 0
    shortage_pool: ShortagePool | None = None
    retry_after_seconds: float | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether a back end may have run the request, or may be running it."""
        return self.has_run or self.running_sends > 0
