"""Keeps track of the pauses that back ends request, together with the daemons that relay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection

from kitekeel_daemon.answer_head import AnswerHead
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.backoff_notices import BackoffNotice, BackoffNotices
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.back_end_log_messages import BackEndBackoffStarted
from kitekeel_steering.backoffs import Backoffs
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import FleetView, ViewChange
from kitekeel_steering.process_table import ProcessTable

OWN = "own"
# Added to the pause in a notice, so that further answers during this time need no further notice.
_NOTICE_MARGIN_SECONDS = 0.25
# How long the record of a new process takes to reach all daemons.
_RECORD_DELAY_SECONDS = 3.0


class BackoffTracker:
    """The pauses requested from one daemon; used on one event loop.

    Args:
        daemons_relayed_to: returns the daemons that have connections through this one to a back
            end, by its instance name.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        daemons_relayed_to: Callable[[str], Collection[str]],
    ) -> None:
        self._view = view
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._daemons_relayed_to = daemons_relayed_to
        self._notices: BackoffNotices | None = None
        self._told_until: ProcessTable[float] = ProcessTable()
        self.pauses = Backoffs()

    def share(
        self,
        client: PeerClient,
        table: MemberTable,
        server: PeerServer,
        on_failure: Callable[[str, str], None],
    ) -> None:
        """Start exchanging notices with the other daemons; see :class:`BackoffNotices`."""
        loop = asyncio.get_running_loop()
        self._notices = BackoffNotices(client, table, loop, self._on_notice, on_failure)
        self._notices.register(server)

    def close(self) -> None:
        """Stop calling other daemons."""
        if self._notices is not None:
            self._notices.close()

    def count(self) -> int:
        """Return the number of back ends that are not sent requests because of a pause."""
        return self.pauses.count_active(self._clock.monotonic())

    def note_requested(self, record: BackEndRecord, seconds: float, head: AnswerHead) -> None:
        """Record a pause of some seconds from now on, requested in the head of an answer."""
        self._metrics.increment("back-ends.backoffs-requested")
        relay = head.relay
        self._log_start(record, seconds, OWN, head.request_id, relay)
        until = self._clock.monotonic() + seconds
        self.pauses.of(record).extend(until, head.is_connection_open)
        told_until = self._told_until.find(record.instance, record.started_at_ms)
        if told_until is not None and told_until >= self._clock.monotonic() + seconds:
            return
        told_seconds = seconds + _NOTICE_MARGIN_SECONDS
        told = [relay] if relay else self._daemons_relayed_to(record.instance)
        if told:
            until = self._clock.monotonic() + told_seconds
            self._told_until.store(record.instance, record.started_at_ms, until)
            self._tell(told, record, told_seconds, is_from_relay=not relay)

    def note_answered(self, record: BackEndRecord, sent_at: float) -> None:
        """Record an answer that requested no pause, to a request sent at a monotonic time."""
        self.pauses.of(record).note_answered(sent_at)

    def _on_notice(self, notice: BackoffNotice) -> None:
        record = self._view.find_back_end(notice.back_end)
        if record is None or 0 < notice.started_at_ms < record.started_at_ms:
            return
        self._metrics.increment("back-ends.backoff-notices")
        self._log_start(record, notice.seconds, notice.sender, "", "")
        until = self._clock.monotonic() + notice.seconds
        # The process that requested the pause may be newer than the record known here.
        self.pauses.of(record).extend(until, self._is_recent())
        if notice.is_from_relay:
            return
        others = set(self._daemons_relayed_to(record.instance)) - {notice.sender}
        self._tell(others, record, notice.seconds, is_from_relay=True)

    def on_change(self, change: ViewChange) -> None:
        """Apply a pause to a restarted back end if its new process has requested it."""
        if change.is_restart and change.item.back_end is not None:
            # The restart closes the connection that told of the pause, and another may be known
            # at once.
            now = self._clock.monotonic()
            self.pauses.note_restart(change.item.back_end, now, self._is_recent())

    def _is_recent(self) -> Callable[[], bool]:
        """Return a function that tells whether the record of a newer process may still arrive."""
        since = self._clock.monotonic()
        return lambda: self._clock.monotonic() - since < _RECORD_DELAY_SECONDS

    def _log_start(
        self, record: BackEndRecord, seconds: float, source: str, answered: str, relay: str
    ) -> None:
        """Log a pause unless it extends one that is in progress."""
        if not self.pauses.of(record).is_active(self._clock.monotonic()):
            self._log.state(
                BackEndBackoffStarted(
                    back_end=record.instance,
                    service=record.service,
                    seconds=round(seconds, 3),
                    until=round(self._clock.wall() + seconds, 3),
                    source=source,
                    answered=answered,
                    relay=relay,
                )
            )

    def _tell(
        self,
        daemons: Collection[str],
        record: BackEndRecord,
        seconds: float,
        is_from_relay: bool,
    ) -> None:
        if self._notices is None:
            return
        notice = BackoffNotice(
            self._notices.own_name(), record.instance, record.started_at_ms, seconds, is_from_relay
        )
        self._notices.send(daemons, notice)
