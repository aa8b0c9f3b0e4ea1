"""Keeps a gateway's fleet view synchronised with the store and the other daemons, and logs it.

Store synchronisation and the exchange with other daemons are independent components. This module
connects them: what one of them detects triggers actions in the others.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable, Coroutine

import msgspec

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.view_exchange import ExchangeListeners, PullResult
from kitekeel_platform.fleet_store import DocumentFinding, FleetStore
from kitekeel_platform.fleet_sync import FleetSync, StoreAnswer, SyncListeners
from kitekeel_platform.store_contact import StoreContact
from kitekeel_platform.store_probe import StoreProbe
from kitekeel_platform.watch_duty import FRESH_SECONDS, WatchDuty
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import FleetPart, PartKnowledge
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.log_messages import (
    DependencyLost,
    DependencyRegained,
    DocumentRejected,
    PeerAnswered,
)
from kitekeel_steering.store_log_messages import (
    BeliefsContradicted,
    HistoryLost,
    RemovalsHeld,
    StoreAnswered,
    StoreEraChanged,
    StoreWatched,
)
from kitekeel_steering.store_revision import StoreRevision

# How often a daemon reviews whether it must watch the store. Changes of the member table are
# already seconds old when they arrive, so a shorter interval would gain nothing.
_WATCH_REVIEW_SECONDS = 0.1
# Number of findings remembered so that each is logged once: half of the records of the largest
# known fleet.
_MAX_LOGGED_FINDINGS = 500
# How long a starting watcher waits for the store before it asks other daemons. A full read takes a
# few tenths of a second, and at most 0.9 s was seen on a slow link.
_STORE_WAIT_SECONDS = 1.0
# Time allowed for a store round trip; the longest takes 0.12 s.
_STORE_ROUND_TRIP_SECONDS = 0.15


class FleetRole(msgspec.Struct, frozen=True):
    """A daemon's role among those that share the watching of the store.

    Attributes:
        is_watcher: returns whether it is among those that watch the store for the others.
        is_alone: returns whether it knows no other daemon.
        watchers: returns how many daemons watch the store.
        all_start: whether all daemons start together, before any callers send requests.
    """

    is_watcher: Callable[[], bool]
    is_alone: Callable[[], bool]
    watchers: Callable[[], int]
    all_start: bool


class FleetFollower:
    """Updates the view by store watches if this daemon is a watcher, and otherwise from peers.

    Args:
        store: the platform's store.
        view: the fleet view to keep current.
        record_heartbeat_seconds: time between two renewals of a back end's record.
        role: this daemon's role.
    """

    def __init__(
        self,
        store: FleetStore,
        view: FleetView,
        clock: Clock,
        record_heartbeat_seconds: float,
        role: FleetRole,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._clock = clock
        self._wait_for_store_until = clock.monotonic() + _STORE_WAIT_SECONDS
        self._view = view
        self._role = role
        self._metrics = metrics
        self._log = log
        generator = random.Random()
        self._logged_findings: OrderedDict[str, StoreRevision] = OrderedDict()
        self._watch_duty = WatchDuty(clock, generator, role.all_start)
        self._is_watching = False
        self._ignore_probes_until = float("-inf")
        self._contact = contact = StoreContact(clock, record_heartbeat_seconds)
        self._probe = StoreProbe(store, self._on_probe_answer, self._on_probed, generator, contact)
        listeners = SyncListeners(
            self.on_dependency,
            self.on_finding,
            self._on_removals_held,
            self._on_store_answer,
            self._on_history_lost,
        )
        self._syncs = {
            part: FleetSync(part, store, view, listeners, generator, contact, role.watchers)
            for part in FleetPart
        }
        store.era.add_listener(self._on_era)
        store.era.add_finding_listener(self._on_era_finding)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        syncs = [each.run() for each in self._syncs.values()]
        return [self._run_watch_duty(), self._probe.run(), *syncs]

    @property
    def is_watching(self) -> bool:
        """Return whether this daemon currently watches the store itself."""
        return self._is_watching

    def needs_peer_news(self) -> bool:
        """Return whether this daemon must ask other daemons for changes.

        A starting watcher gives the store time to answer first, so that it does not pass on a view
        from which another daemon may have missed changes.
        """
        if not self._role.is_watcher():
            return True
        return not self._view.is_ready() and self._clock.monotonic() >= self._wait_for_store_until

    def on_peer_news(self, address: str, changes: int, age_seconds: float | None) -> None:
        """Note that a peer sent its changes, how many items they had, and how old its view is."""
        self._watch_duty.note_news(age_seconds)
        if age_seconds is not None:
            self._view.confirm(age_seconds)
            if age_seconds <= FRESH_SECONDS:
                # So fresh a view shows that the store answers this peer.
                self._contact.note_answer()
        if changes:
            self._metrics.increment("peers.news", changes)
            self._log.state(PeerAnswered(address, changes, 0.0))

    def on_peer_failure(self, address: str, reason: str) -> None:
        """Note that a peer did not answer a request for changes, or could not be sent any."""
        self._metrics.increment("peers.news-failed")
        self._log.state(PeerAnswered(address, 0, 0.0, reason))

    def exchange_listeners(
        self, on_subscriber: Callable[[str, tuple[PartKnowledge, ...]], None]
    ) -> ExchangeListeners:
        """Return the callbacks for the exchange with other daemons.

        Args:
            on_subscriber: called with the address of a daemon that subscribes to changes, and with
                what it already knows.
        """
        return ExchangeListeners(
            on_subscriber,
            lambda part: not self._is_watching or self._syncs[part].is_collecting_changes,
            self._on_pulled,
            self._on_contradiction,
        )

    def restart_watches(self, paused_seconds: float) -> None:
        """Restart the store watches after this process was paused, as the old ones may be dead.

        The probe that confirms the view is sent after the watches, because a watch is answered at
        once if anything has changed.
        """
        self._contact.note_own_pause(paused_seconds)
        for each in self._syncs.values():
            each.restart()
        self._ignore_probes_until = self._clock.monotonic() + _STORE_ROUND_TRIP_SECONDS
        asyncio.get_running_loop().call_later(_STORE_ROUND_TRIP_SECONDS, self._probe.ask_soon)

    def on_dependency(self, name: str, is_up: bool, reason: str) -> None:
        """Log that a dependency of this daemon was lost, and why, or is available again."""
        age = round(self._view.age_seconds(), 2)
        lost = DependencyLost(name, reason, age)
        self._log.state(DependencyRegained(name, age) if is_up else lost)

    async def _run_watch_duty(self) -> None:
        """Watch the store while this daemon is a watcher or no peer has fresh news."""
        while True:
            is_watcher = self._role.is_watcher()
            must_watch = self._watch_duty.must_watch(is_watcher, self._role.is_alone())
            if must_watch != self._is_watching:
                self._is_watching = must_watch
                self._metrics.increment("store.watch-begun" if must_watch else "store.watch-ended")
                age = round(self._view.age_seconds(), 2)
                self._log.state(StoreWatched(must_watch, is_watcher, age))
                self._probe.follow(must_watch)
                for each in self._syncs.values():
                    each.follow(must_watch)
            self._view.drop_unconfirmed()
            await asyncio.sleep(_WATCH_REVIEW_SECONDS)

    def _on_probe_answer(self) -> None:
        """Mark the view as current if the watches would have reported any change."""
        if self._clock.monotonic() < self._ignore_probes_until:
            return
        if all(each.is_watching for each in self._syncs.values()):
            self._view.confirm()

    def _on_probed(self, is_up: bool, reason: str) -> None:
        self.on_dependency("store", is_up, reason)
        if is_up:
            for each in self._syncs.values():
                each.restart()

    def _on_era(self, former: int, era: int) -> None:
        if former:
            self._metrics.increment("store.restored")
            self._contact.note_restore()
        self._log.state(StoreEraChanged(former, era))
        for each in self._syncs.values():
            each.enter_era(era)

    def _on_era_finding(self, reason: str) -> None:
        self._metrics.increment("store.findings")
        self._log.state(DocumentRejected(reason))

    def on_finding(self, finding: DocumentFinding) -> None:
        """Count a document that could not be read, and log each revision of it once.

        Every read of the store finds the same document again.
        """
        self._metrics.increment("store.findings")
        if self._logged_findings.get(finding.key) == finding.position:
            return
        self._logged_findings[finding.key] = finding.position
        if len(self._logged_findings) > _MAX_LOGGED_FINDINGS:
            self._logged_findings.popitem(last=False)
        self._log.state(DocumentRejected(finding.reason))

    def _on_removals_held(self, count: int, seconds: float) -> None:
        self._metrics.increment("store.removals-held", count)
        view_age = round(self._view.age_seconds(), 2)
        self._log.state(RemovalsHeld(count, view_age, round(seconds, 3)))

    def _on_store_answer(self, answer: StoreAnswer) -> None:
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
                unwatched=round(answer.unwatched_seconds, 3),
                era=answer.found.era,
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
        if self._probe.is_store_lost or not self._is_watching:
            return
        for part in result.ahead:
            # The store answers this daemon, so the part's watch should have reported this change.
            self._syncs[part].restart_if_stale()

    def _on_contradiction(self, address: str, parts: list[FleetPart]) -> None:
        self._metrics.increment("view.contradicted")
        for part in parts:
            self._log.state(BeliefsContradicted(address, part.name.lower()))
            self._syncs[part].request_full_read()
