"""Keeps a gateway's fleet view in step with the store and the other daemons, and tells how.

The parts that follow the store and compare with other daemons know nothing of each other; here the
findings of one become the reactions of the others.
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
from kitekeel_platform.fleet_sync import FleetSync, SyncListeners, TakenAnswer
from kitekeel_platform.store_contact import StoreContact
from kitekeel_platform.store_probe import StoreProbe
from kitekeel_platform.watch_duty import FRESH_SECONDS, WatchDuty
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import FleetPart, PartKnowledge
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
    StoreWatched,
)

# How soon a daemon takes up or gives up watching. A change of the member table is seconds old by
# the time it arrives, so a finer figure would gain nothing.
_DUTY_SECONDS = 0.1
# Documents whose finding was told; as many as half of the records of the largest fleet known.
_MOST_TOLD_FINDINGS = 500
# A whole read takes some tenths of a second, 0.9 s at most seen on a slow link.
_STORE_FIRST_SECONDS = 1.0
# The longest way to the store and back takes 0.12 s.
_ANSWER_SECONDS = 0.15


class FleetRole(msgspec.Struct, frozen=True):
    """A daemon's part among those that follow the store.

    Attributes:
        is_watcher: tells whether it is among those that watch the store for the others.
        is_alone: tells whether it knows no other daemon.
        watchers: tells how many daemons watch.
        all_start: whether all daemons start together, before any callers come.
    """

    is_watcher: Callable[[], bool]
    is_alone: Callable[[], bool]
    watchers: Callable[[], int]
    all_start: bool


class FleetFollower:
    """Follows the store by watches where that is this daemon's part, and else hears from others.

    Args:
        store: the platform's store.
        view: what is kept in step.
        record_heartbeat_seconds: time between two renewals of a back end's record.
        role: this daemon's part.
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
        self._store_first_until = clock.monotonic() + _STORE_FIRST_SECONDS
        self._view = view
        self._role = role
        self._metrics = metrics
        self._log = log
        generator = random.Random()
        self._told_findings: OrderedDict[str, int] = OrderedDict()
        self._duty = WatchDuty(clock, generator, role.all_start)
        self._is_watching = False
        self._confirms_from = float("-inf")
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

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        syncs = [each.run() for each in self._syncs.values()]
        return [self._do_duty(), self._probe.run(), *syncs]

    @property
    def is_watching(self) -> bool:
        """Tell whether this daemon asks the store itself at present."""
        return self._is_watching

    def must_hear_others(self) -> bool:
        """Tell whether this daemon is to ask others for news.

        A watcher starts from the store as long as that answers soon, so that it does not pass on
        what another one may have missed.
        """
        if not self._role.is_watcher():
            return True
        return not self._view.is_ready() and self._clock.monotonic() >= self._store_first_until

    def on_peer_news(self, address: str, changes: int, age_seconds: float | None) -> None:
        """Note that another daemon told its news, how many items, and how old it is."""
        self._duty.note_news(age_seconds)
        if age_seconds is not None:
            self._view.confirm(age_seconds)
            if age_seconds <= FRESH_SECONDS:
                # The store answers the daemon that told.
                self._contact.note_answer()
        if changes:
            self._metrics.increment("peers.news", changes)
            self._log.state(PeerAnswered(address, changes, 0.0))

    def on_peer_silent(self, address: str, reason: str) -> None:
        """Note that a daemon of which news was expected did not answer, or could not be told."""
        self._metrics.increment("peers.news-failed")
        self._log.state(PeerAnswered(address, 0, 0.0, reason))

    def exchange_listeners(
        self, on_subscriber: Callable[[str, tuple[PartKnowledge, ...]], None]
    ) -> ExchangeListeners:
        """Return what the exchange with other daemons asks and tells.

        Args:
            on_subscriber: called with a daemon that wants to be told of changes, and what it knows.
        """
        return ExchangeListeners(
            on_subscriber,
            lambda part: not self._is_watching or self._syncs[part].is_joining_changes,
            self._on_pulled,
            self._on_contradiction,
        )

    def check_anew(self, paused_seconds: float) -> None:
        """Ask the store anew after this process did not run, as its watches may lead nowhere.

        The probe that then shows the beliefs to be current comes after the watches, which are
        answered at once where anything has changed.
        """
        self._contact.note_own_pause(paused_seconds)
        for each in self._syncs.values():
            each.restart()
        self._confirms_from = self._clock.monotonic() + _ANSWER_SECONDS
        asyncio.get_running_loop().call_later(_ANSWER_SECONDS, self._probe.ask_soon)

    def on_dependency(self, name: str, is_up: bool, reason: str) -> None:
        """Tell that something this daemon depends on is lost, and why, or is regained."""
        age = round(self._view.age_seconds(), 2)
        lost = DependencyLost(name, reason, age)
        self._log.state(DependencyRegained(name, age) if is_up else lost)

    async def _do_duty(self) -> None:
        """Watch the store whenever that is this daemon's part or nobody else's news is fresh."""
        while True:
            is_watcher = self._role.is_watcher()
            must_watch = self._duty.must_watch(is_watcher, self._role.is_alone())
            if must_watch != self._is_watching:
                self._is_watching = must_watch
                self._metrics.increment("store.watch-begun" if must_watch else "store.watch-ended")
                age = round(self._view.age_seconds(), 2)
                self._log.state(StoreWatched(must_watch, is_watcher, age))
                self._probe.follow(must_watch)
                for each in self._syncs.values():
                    each.follow(must_watch)
            await asyncio.sleep(_DUTY_SECONDS)

    def _on_probe_answer(self) -> None:
        """Take the beliefs for current where the store would have told any change."""
        if self._clock.monotonic() < self._confirms_from:
            return
        if all(each.is_watching for each in self._syncs.values()):
            self._view.confirm()

    def _on_probed(self, is_up: bool, reason: str) -> None:
        self.on_dependency("store", is_up, reason)
        if is_up:
            for each in self._syncs.values():
                each.restart()

    def on_finding(self, finding: DocumentFinding) -> None:
        """Count a document that could not be read, and tell each once; a read finds it again."""
        self._metrics.increment("store.findings")
        if self._told_findings.get(finding.key) == finding.revision:
            return
        self._told_findings[finding.key] = finding.revision
        if len(self._told_findings) > _MOST_TOLD_FINDINGS:
            self._told_findings.popitem(last=False)
        self._log.state(DocumentRejected(finding.reason))

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
        if self._probe.is_store_lost or not self._is_watching:
            return
        for part in result.ahead:
            # The store answers this daemon, so the part's watch should have told the news.
            self._syncs[part].catch_up()

    def _on_contradiction(self, address: str, parts: list[FleetPart]) -> None:
        self._metrics.increment("view.contradicted")
        for part in parts:
            self._log.state(BeliefsContradicted(address, part.name.lower()))
            self._syncs[part].read_anew()
