"""Tracks the rate limits that back ends advertise in their answers."""

from __future__ import annotations

from kitekeel_daemon.answer_headers import read_rate_limit
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.back_end_limits import BackEndLimits, LimitRecord
from kitekeel_steering.events import HybridClock
from kitekeel_steering.fleet_items import BackEndRecord, ItemKind
from kitekeel_steering.fleet_view import FleetView, ViewChange
from kitekeel_steering.log_messages import BackEndLimitChanged, BackEndLimitUnreadable
from kitekeel_steering.proxied_messages import HeaderNames, RawHeaders, find_headers

_MOST_LOGGED_BYTES = 200


class BackEndLimiter:
    """Tracks the rate limits of the back ends in the view; used on one event loop."""

    def __init__(
        self,
        view: FleetView,
        names: HeaderNames,
        clock: HybridClock,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._names = names
        self._metrics = metrics
        self._log = log
        self._logged_unreadable: set[str] = set()
        self.limits = BackEndLimits(clock, self._is_current, self._on_change)

    def note_sent(self, record: BackEndRecord, is_first: bool) -> None:
        """Count a request sent to a back end with a known rate limit.

        Args:
            record: the back end that the request is sent to.
            is_first: whether this is the first time the request is sent.
        """
        if self.limits.rate(record.instance) is not None:
            self._metrics.increment(f"back-ends.limited-{'first' if is_first else 'repeat'}-sends")

    def note_answer(self, record: BackEndRecord, headers: RawHeaders) -> None:
        """Update the back end's limit from the headers of its answer."""
        values = find_headers(headers, self._names.rate_limit)
        stated = read_rate_limit(values)
        if stated.unreadable and record.instance not in self._logged_unreadable:
            self._logged_unreadable.add(record.instance)
            text = b",".join(values)[:_MOST_LOGGED_BYTES].decode("latin-1")
            self._log.state(BackEndLimitUnreadable(record.instance, text))
        if stated.is_known:
            self.limits.note_answer(record.instance, record.started_at_ms, stated.rate)

    def on_change(self, change: ViewChange) -> None:
        """Discard the limit of a back end that was removed or restarted."""
        item = change.item
        if item.kind is ItemKind.BACK_END and (item.removed or change.is_restart):
            self.limits.forget(item.name)
            self._logged_unreadable.discard(item.name)

    def _is_current(self, instance: str, started_at_ms: int) -> bool:
        current = self._view.find_back_end(instance)
        return current is not None and (
            current.started_at_ms == started_at_ms or 0 in (current.started_at_ms, started_at_ms)
        )

    def _on_change(self, record: LimitRecord, source: str) -> None:
        self._metrics.increment("back-ends.limit-changes")
        self._log.state(
            BackEndLimitChanged(record.instance, record.started_at_ms, record.rate, source)
        )
