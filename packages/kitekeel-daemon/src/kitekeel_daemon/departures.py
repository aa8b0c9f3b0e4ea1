"""Measures how long this daemon still sends to a back end after it was reported to be leaving.

A leaving back end must get no new work after a few seconds. Several stages add to the delay: the
wait for further changes, the delay of removals that look like lapsed records, and the remaining
bytes of a request that is already being sent.
"""

from __future__ import annotations

from collections import OrderedDict

from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.fleet_items import BackEndRecord, ItemKind
from kitekeel_steering.fleet_view import ViewChange

# Number of recent departures remembered; older ones have no requests in flight any more.
_MAX_DEPARTURES = 1_000


class Departures:
    """Tracks the back ends that left recently, and when this daemon received the report of each.

    Args:
        metrics: records the measured times.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._heard_at: OrderedDict[str, float] = OrderedDict()

    def on_change(self, change: ViewChange) -> None:
        """Record a departure, or forget it if the back end has restarted."""
        item = change.item
        if item.kind is not ItemKind.BACK_END:
            return
        is_leaving = item.removed or (item.back_end is not None and item.back_end.draining)
        if change.is_restart:
            self._heard_at.pop(item.name, None)
        if not is_leaving or item.name in self._heard_at:
            return
        self._note(item.name, change.heard_at)

    def note_leaving(self, record: BackEndRecord) -> None:
        """Record that a back end announced its end in an answer."""
        if record.instance not in self._heard_at:
            self._note(record.instance, steady_seconds())

    def _note(self, instance: str, heard_at: float) -> None:
        self._heard_at[instance] = heard_at
        self._metrics.note_departure("believed", steady_seconds() - heard_at)
        if len(self._heard_at) > _MAX_DEPARTURES:
            self._heard_at.popitem(last=False)

    def note_written(self, instance: str, written_at: float) -> None:
        """Record when the last byte of a request to a back end was sent."""
        heard_at = self._heard_at.get(instance)
        if heard_at is not None and written_at > heard_at:
            self._metrics.note_departure("last-byte", written_at - heard_at)
