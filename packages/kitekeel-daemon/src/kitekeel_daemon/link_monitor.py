"""Detects lost links to back ends early, probes them until they are restored, and logs both."""

from __future__ import annotations

import asyncio
import random

from kitekeel_backends.back_end_dialer import (
    BackEndDialer,
    BackEndOutOfReachError,
    DialTarget,
    make_unpooled_connection,
)
from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_backends.process_state import ProcessState
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.running_exchanges import RunningExchanges
from kitekeel_steering.back_end_links import ALL_SERVICES, LinkHealth, LinkLoss
from kitekeel_steering.back_end_log_messages import BackEndLinksLost, BackEndLinksRestored
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import ConnectFailedError
from kitekeel_steering.fleet_items import BackEndRecord, ItemKind
from kitekeel_steering.fleet_view import FleetView, ViewChange

# Each connection costs a back end work, so lost links are probed one at a time.
_REVIEW_SECONDS = 0.25
# If no back end has answered for this long, although several have requests, links are checked.
_SILENCE_SECONDS = 0.5
_BACK_ENDS_CHECKED = 3
_CHECK_INTERVAL_SECONDS = 1.0
# Number of other back ends tried before a refused connection is put down to this daemon's links.
_OTHERS_CONNECTED = 2


class LinkMonitor:
    """Keeps the state of one daemon's links current; used on one event loop.

    Args:
        view: lists the back ends.
        links: the state of the links.
        dialer: opens connections, and updates the state with each.
        pool: holds the connections to back ends.
        running: the exchanges in progress.
    """

    def __init__(
        self,
        view: FleetView,
        links: LinkHealth,
        dialer: BackEndDialer,
        pool: ConnectionPool,
        running: RunningExchanges,
        clock: Clock,
        generator: random.Random,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self.links = links
        self._dialer = dialer
        self._pool = pool
        self._running = running
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self._log = log
        self._checked_at = float("-inf")
        self._checks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Check silent links and probe lost ones until cancelled."""
        while True:
            await asyncio.sleep(_REVIEW_SECONDS)
            self._pool.close_unusable()
            self._check_silent()
            await self._probe_lost()

    def on_change(self, change: ViewChange) -> None:
        """Forget the link to a back end that was removed or restarted."""
        if change.item.kind is ItemKind.BACK_END and (change.item.removed or change.is_restart):
            self.links.forget(change.item.name)

    async def find_process_state(self, record: BackEndRecord, seconds: float) -> ProcessState:
        """Return the state of a back end's process.

        A refused connection shows that the process is gone only if this daemon's links work, so
        another daemon must be refused too, and another back end must accept a connection.
        """
        state = await self._dialer.find_process_state(_target(record), seconds)
        if state is ProcessState.GONE and not await self._is_connected_besides(record):
            return ProcessState.SILENT
        return state

    async def _is_connected_besides(self, record: BackEndRecord) -> bool:
        """Return whether another back end accepts a connection; true if there is no other."""
        others = [each for each in self._view.all_back_ends() if each.address != record.address]
        chosen = self._random.sample(others, min(len(others), _OTHERS_CONNECTED))
        for other in chosen:
            if await self._is_connected(other):
                return True
        return not chosen

    async def _is_connected(self, record: BackEndRecord) -> bool:
        try:
            connection = await self._dialer.open_direct(_target(record), make_unpooled_connection)
        except ConnectFailedError:
            return False
        connection.close()
        return True

    def _check_silent(self) -> None:
        """Connect to several back ends if none answers although all of them have requests."""
        now = self._clock.monotonic()
        is_recent = now - self._checked_at < _CHECK_INTERVAL_SECONDS
        if is_recent or now - self.links.answered_at() < _SILENCE_SECONDS:
            return
        silent = self._running.waiting_directly_since(now - _SILENCE_SECONDS)
        if len(silent) < _BACK_ENDS_CHECKED:
            return
        self._checked_at = now
        for record in self._random.sample(silent, _BACK_ENDS_CHECKED):
            task = asyncio.get_running_loop().create_task(self._check(record))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    async def _check(self, record: BackEndRecord) -> None:
        if self.links.is_lost(record.instance, record.service):
            return
        try:
            connection = await self._dialer.open(_target(record), make_unpooled_connection)
        except (ConnectFailedError, BackEndOutOfReachError):
            # The dialer has recorded the failure.
            return
        connection.close()

    async def _probe_lost(self) -> None:
        """Try one direct connection to a back end whose link is lost."""
        if not self.links.is_any_lost():
            return
        lost = [
            each
            for each in self._view.all_back_ends()
            if self.links.is_lost(each.instance, each.service)
        ]
        if not lost:
            return
        self._metrics.increment("back-ends.link-probes")
        await self._is_connected(self._random.choice(lost))

    def on_lost(self, loss: LinkLoss) -> None:
        """Log a loss, and end the exchanges that cannot be answered any more."""
        self._metrics.increment("back-ends.links-lost")
        self._log.state(
            BackEndLinksLost(loss.service or "all", loss.evidence.value, loss.back_ends)
        )
        if not self.links.answers_arrive(loss.service):
            self._running.end_unanswered(None if loss.service == ALL_SERVICES else loss.service)

    def on_restored(self, loss: LinkLoss, seconds: float) -> None:
        """Log the end of a loss."""
        self._metrics.increment("back-ends.links-restored")
        self._log.state(
            BackEndLinksRestored(loss.service or "all", round(seconds, 2), loss.evidence.value)
        )


def _target(record: BackEndRecord) -> DialTarget:
    return DialTarget(record.address, record.instance, record.service)
