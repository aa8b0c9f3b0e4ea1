"""Passes each change of the fleet view on to the components of a gateway, and logs it."""

from __future__ import annotations

from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_daemon.back_end_limiter import BackEndLimiter
from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.backoff_tracker import BackoffTracker
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.departures import Departures
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.link_monitor import LinkMonitor
from kitekeel_daemon.process_ends import ProcessEndDetector
from kitekeel_daemon.running_exchanges import RunningExchanges
from kitekeel_platform.fleet_sync import STORE_SOURCE
from kitekeel_steering.fleet_items import ItemKind, ViewItem
from kitekeel_steering.fleet_view import IgnoredItem, RestoreNoticed, ViewChange
from kitekeel_steering.store_log_messages import (
    ItemKept,
    StoreChangeIgnored,
    ViewChanged,
    ViewRestored,
)


class ViewChanges:
    """Dispatches view changes; called on the event loop."""

    def __init__(
        self,
        states: BackEndStates,
        departures: Departures,
        running: RunningExchanges,
        ends: ProcessEndDetector,
        limiter: BackEndLimiter,
        link_monitor: LinkMonitor,
        backoffs: BackoffTracker,
        pool: ConnectionPool,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        # Before the states, which treat all that is known of a restarted back end as outdated.
        self._followers = (backoffs, states, departures, running, ends, limiter, link_monitor)
        self._pool = pool
        self._metrics = metrics
        self._log = log

    def on_change(self, change: ViewChange) -> None:
        """Pass one change on, update the metrics, and log it."""
        item = change.item
        for each in self._followers:
            each.on_change(change)
        if change.is_restart and item.back_end is not None:
            self._pool.close_idle(item.back_end.address)
            self._metrics.increment("view.back-ends-restarted")
        if item.kind is ItemKind.BACK_END and item.removed:
            self._metrics.increment("view.back-ends-removed")
        self._log.state(
            ViewChanged(
                item=_describe(item),
                revision=item.revision,
                source=change.source,
                removed=item.removed,
                draining=item.back_end is not None and item.back_end.draining,
                version=item.configuration.version if item.configuration is not None else None,
                started_at_ms=item.back_end.started_at_ms if item.back_end is not None else 0,
                restarted=change.is_restart,
                era=item.era,
            )
        )

    def on_ignored(self, ignored: IgnoredItem) -> None:
        """Count and log an item of the store that is older than the known one.

        Late messages of other daemons are routinely older, and are not logged.
        """
        if ignored.source != STORE_SOURCE:
            return
        self._metrics.increment("view.store-changes-ignored")
        item, known = ignored.item, ignored.known
        self._log.state(
            StoreChangeIgnored(_describe(item), item.revision, known.revision, item.era, known.era)
        )

    def on_restore(self, restore: RestoreNoticed) -> None:
        """Count and log that a part entered a later era, and each item that is kept."""
        self._metrics.increment("view.restored")
        self._metrics.increment("view.items-kept", len(restore.kept))
        self._log.state(
            ViewRestored(
                part=restore.part.name.lower(),
                source=restore.source,
                former_era=restore.former.era,
                era=restore.extent.era,
                former_revision=restore.former.covered_through,
                revision=restore.extent.covered_through,
                kept=len(restore.kept),
            )
        )
        for item in restore.kept:
            self._log.state(_kept_line(item, restore.extent.era))


def _kept_line(item: ViewItem, era: int) -> ItemKept:
    store_revision = item.revision if item.era == era else None
    origin = item.origin
    return ItemKept(_describe(item), origin.number, origin.era, store_revision, item.removed)


def _describe(item: ViewItem) -> str:
    return f"{item.kind.name.lower()} {item.name}".strip()
