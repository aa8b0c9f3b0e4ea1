"""Keeps a gateway's fleet view in step with the store and the other daemons, and tells how.

The parts that follow the store and compare with other daemons know nothing of each other; here the
findings of one become the reactions of the others.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.view_exchange import ExchangeListeners, PullResult
from kitekeel_platform.fleet_store import FleetStore
from kitekeel_platform.fleet_sync import FleetSync, SyncListeners, TakenAnswer
from kitekeel_platform.store_contact import StoreContact
from kitekeel_platform.store_probe import StoreProbe
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import FleetPart
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.log_messages import (
    BeliefsContradicted,
    DependencyLost,
    DependencyRegained,
    DocumentRejected,
    HistoryLost,
    PeerAnswered,
    RemovalsHeld,
    StoreAnswered,
)


class FleetFollower:
    """Follows the store by watches, and starts them anew where others know better.

    Args:
        store: the platform's store.
        view: what is kept in step.
        record_heartbeat_seconds: time between two renewals of a back end's record.
        daemons: tells how many daemons follow the store.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        clock: Clock,
        record_heartbeat_seconds: float,
        daemons: Callable[[], int],
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._metrics = metrics
        self._log = log
        generator = random.Random()
        contact = StoreContact(clock, record_heartbeat_seconds)
        self._probe = StoreProbe(store, self._on_probed, generator, contact)
        listeners = SyncListeners(
            self.on_dependency,
            self._on_finding,
            self._on_removals_held,
            self._on_store_answer,
            self._on_history_lost,
        )
        self._syncs = {
            part: FleetSync(part, store, view, listeners, generator, contact, daemons)
            for part in FleetPart
        }

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        return [self._probe.run(), *(each.run() for each in self._syncs.values())]

    def exchange_listeners(self) -> ExchangeListeners:
        """Return what the exchange with other daemons asks and tells."""
        return ExchangeListeners(
            lambda part: self._syncs[part].is_joining_changes,
            self._on_pulled,
            self._on_contradiction,
        )

    def on_dependency(self, name: str, is_up: bool, reason: str) -> None:
        """Tell that something this daemon depends on is lost, and why, or is regained."""
        age = round(self._view.age_seconds(), 2)
        lost = DependencyLost(name, reason, age)
        self._log.state(DependencyRegained(name, age) if is_up else lost)

    def _on_probed(self, is_up: bool, reason: str) -> None:
        self.on_dependency("store", is_up, reason)
        if is_up:
            for each in self._syncs.values():
                each.restart()

    def _on_finding(self, finding: str) -> None:
        self._metrics.increment("store.findings")
        self._log.state(DocumentRejected(finding))

    def _on_removals_held(self, count: int) -> None:
        self._log.state(RemovalsHeld(count, round(self._view.age_seconds(), 2)))

    def _on_store_answer(self, answer: TakenAnswer) -> None:
        call = "read" if answer.after is None else "watch"
        self._metrics.note_store_call(call, answer.seconds)
        self._log.state(
            StoreAnswered(
                part=answer.part.name.lower(),
                call=call,
                after=answer.after,
                first=min((each.revision for each in answer.found.items), default=0),
                revision=answer.found.revision,
                changes=len(answer.found.items),
                held=answer.held,
                seconds=round(answer.seconds, 3),
            )
        )

    def _on_history_lost(self, part: FleetPart, after: int | None) -> None:
        self._metrics.increment("store.history-lost")
        self._log.state(HistoryLost(part.name.lower(), after))

    def _on_pulled(self, result: PullResult) -> None:
        self._metrics.increment("peers.pull-failed" if result.failure else "peers.pulled")
        self._log.state(
            PeerAnswered(result.address, result.changes, round(result.seconds, 3), result.failure)
        )
        if self._probe.is_store_lost:
            return
        for part in result.ahead:
            # The store answers this daemon, so the part's watch should have told the news.
            self._syncs[part].catch_up()

    def _on_contradiction(self, address: str, parts: list[FleetPart]) -> None:
        self._metrics.increment("view.contradicted")
        for part in parts:
            self._log.state(BeliefsContradicted(address, part.name.lower()))
            self._syncs[part].read_anew()
