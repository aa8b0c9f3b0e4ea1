"""Measures how long after the news that a back end leaves this daemon still sends to it.

A leaving back end must get no new work after a few seconds. The news passes through several stages
that each take time: the wait for more changes, a hold of removals that look like lapses, and the
bytes of a request that was already on its way.
"""

from __future__ import annotations

from collections import OrderedDict

from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.fleet_items import ItemKind
from kitekeel_steering.fleet_view import ViewChange

# Departures older than the last so many have no requests under way any more.
_MOST_DEPARTURES = 1_000


class Departures:
    """The back ends that have left lately, and when the news of each came in.

    Args:
        metrics: takes the times.
    """

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._heard_at: OrderedDict[str, float] = OrderedDict()

    def on_change(self, change: ViewChange) -> None:
        """Follow a change of the view."""
        item = change.item
        if item.kind is not ItemKind.BACK_END:
            return
        is_leaving = item.removed or (item.back_end is not None and item.back_end.draining)
        if change.is_restart:
            self._heard_at.pop(item.name, None)
        if not is_leaving or item.name in self._heard_at:
            return
        self._heard_at[item.name] = change.heard_at
        self._metrics.note_departure("believed", steady_seconds() - change.heard_at)
        if len(self._heard_at) > _MOST_DEPARTURES:
            self._heard_at.popitem(last=False)

    def note_written(self, instance: str, written_at: float) -> None:
        """Note when the last byte of a request to a back end left."""
        heard_at = self._heard_at.get(instance)
        if heard_at is not None and written_at > heard_at:
            self._metrics.note_departure("last-byte", written_at - heard_at)
