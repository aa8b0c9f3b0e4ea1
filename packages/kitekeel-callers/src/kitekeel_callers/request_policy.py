"""Decisions about callers' requests before they run, and what all connections of a server share."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from kitekeel_callers.memory_budget import MemoryBudget
from kitekeel_steering.metrics import MemoryMetrics, Metrics
from kitekeel_steering.proxied_messages import MessageBody, ProxiedAnswer, ProxiedRequest


class RequestPolicy(Protocol):
    """Decides about requests before they are handed to the handler."""

    def may_run_ahead(self, request: ProxiedRequest) -> bool:
        """Return whether a request may run before earlier ones of its connection are answered."""

    async def refuse_for_memory(self, request: ProxiedRequest) -> ProxiedAnswer:
        """Answer a request whose body does not fit into memory; it is not run."""

    def is_refused_unread(self, request: ProxiedRequest) -> bool:
        """Return whether a request, given without its body, is refused before that is read."""

    async def refuse_unread(self, request: ProxiedRequest) -> ProxiedAnswer:
        """Answer a request that is refused before its body is read; it is not run."""


class SequentialPolicy:
    """Runs each request only after the answers before it."""

    def may_run_ahead(self, _request: ProxiedRequest) -> bool:
        """Return false."""
        return False

    async def refuse_for_memory(self, _request: ProxiedRequest) -> ProxiedAnswer:
        """Answer that the request was not run."""
        return _unavailable()

    def is_refused_unread(self, _request: ProxiedRequest) -> bool:
        """Return false."""
        return False

    async def refuse_unread(self, _request: ProxiedRequest) -> ProxiedAnswer:
        """Answer that the request was not run."""
        return _unavailable()


def _unavailable() -> ProxiedAnswer:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    return ProxiedAnswer(status, status.phrase.encode(), (), MessageBody())


class SharedResources:
    """What the connections of a server share.

    Args:
        policy: decides whether requests may run ahead of earlier answers; by default none may.
        metrics: counts what ran ahead, and connections that were cut.
        memory: counts what is held for callers; without a bound by default.
    """

    def __init__(
        self,
        policy: RequestPolicy | None = None,
        metrics: Metrics | None = None,
        memory: MemoryBudget | None = None,
    ) -> None:
        self.policy: RequestPolicy = policy or SequentialPolicy()
        self.metrics: Metrics = metrics or MemoryMetrics()
        self.memory = memory or MemoryBudget()
