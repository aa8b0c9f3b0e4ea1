"""Keeps track of the back ends that announced their end, together with the other daemons.

A back end counts requests by the address that they come from, and a relayed request comes from the
relaying daemon. So each daemon learns the announcements that any other one has received.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.leaving_exchange import LeavingExchange
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.back_end_log_messages import BackEndLeaving
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.leaving_back_ends import LeavingBackEnds, LeavingRecord

# A process that ends sooner after its announcement has probably crashed.
_MIN_LEAVING_SECONDS = 2.0


class LeavingTracker:
    """The announcements known to one daemon; used on one event loop.

    Args:
        is_announcer_connected: see :class:`LeavingBackEnds`.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        is_announcer_connected: Callable[[BackEndRecord], bool] = lambda _: False,
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._log = log
        self._listeners: list[Callable[[BackEndRecord], None]] = []
        self._exchange: LeavingExchange | None = None
        self.back_ends = LeavingBackEnds(
            clock, view.find_back_end, self._on_leaving, is_announcer_connected
        )

    def add_listener(self, listener: Callable[[BackEndRecord], None]) -> None:
        """Register a function that is called with each registered back end found to be leaving."""
        self._listeners.append(listener)

    def share(
        self,
        client: PeerClient,
        table: MemberTable,
        server: PeerServer,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        """Start sharing announcements with the other daemons; see :class:`LeavingExchange`."""
        loop = asyncio.get_running_loop()
        self._exchange = LeavingExchange(self.back_ends, client, table, loop, generator, on_failure)
        self._exchange.register(server)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        return [self._exchange.run()] if self._exchange is not None else []

    def close(self) -> None:
        """Stop calling other daemons."""
        if self._exchange is not None:
            self._exchange.close()

    def count(self) -> int:
        """Return the number of registered back ends that have announced their end."""
        return len(self.back_ends.records())

    def is_end_expected(self, record: BackEndRecord) -> bool:
        """Return whether the end of a back end's process now is probably the announced one.

        It is announced in an answer, or by a record that says that the back end is draining.
        """
        seconds = self.back_ends.leaving_seconds(record)
        current = self._view.find_back_end(record.instance)
        if seconds is None and current is not None and current.draining:
            is_same = current.is_same_process(record)
            seconds = self._view.record_age_seconds(record.instance) if is_same else None
        return seconds is not None and seconds >= _MIN_LEAVING_SECONDS

    def _on_leaving(self, leaving: LeavingRecord, source: str, answered: str) -> None:
        current = self._view.find_back_end(leaving.instance)
        self._metrics.increment("back-ends.leaving-announced")
        self._log.state(
            BackEndLeaving(
                leaving.instance,
                current.service if current is not None else "",
                leaving.started_at_ms,
                source,
                answered,
            )
        )
        if current is not None and self.back_ends.is_leaving(current):
            for listener in self._listeners:
                listener(current)
        if self._exchange is not None:
            self._exchange.publish(leaving)
