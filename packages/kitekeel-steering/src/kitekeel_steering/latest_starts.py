"""Distinguishes successive processes of a back end that use the same instance name.

A back end that crashes may restart under its previous name; its records then state a later start.
The store's order does not order the processes: a write of the old process may take effect
after the first write of the new one. So a record with a later start replaces one with an earlier
start regardless of their revisions and sources, and an earlier start is never accepted again.

Start times are read from the back end's own clock and only compared with each other. A back end
whose clock was set back between two starts is taken for the old process; it is used again once it
starts at a time after its previous start.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from kitekeel_steering.fleet_items import ViewItem
from kitekeel_steering.store_revision import StoreRevision

# Four times the number of back ends of the largest known fleet with all of them replaced once; an
# entry takes 100 bytes.
_MAX_STARTS = 10_000


class MergedItem(msgspec.Struct, frozen=True):
    """The item to store after a merge.

    Attributes:
        is_restart: whether it belongs to a later process of the back end than the stored item.
    """

    item: ViewItem
    is_restart: bool = False


class LatestStarts:
    """The latest start time stated by each back end."""

    def __init__(self) -> None:
        self._starts: OrderedDict[str, int] = OrderedDict()

    def merge(self, item: ViewItem, known: ViewItem | None, is_later: bool) -> MergedItem | None:
        """Return the item to store after an update, or ``None`` if the update changes nothing.

        Args:
            item: the received item of a back end.
            known: the stored item or removal of the back end, or ``None``.
            is_later: whether the item is the later one by the order of the store.
        """
        position = item.position if known is None else max(item.position, known.position)
        if item.back_end is None:
            return MergedItem(item.placed_at(position)) if is_later else None
        latest = self._starts.get(item.name, 0)
        start = item.back_end.started_at_ms or latest
        is_restart = 0 < latest < start
        if not is_later and not (is_restart and _may_have_restarted(item, known)):
            is_copy = known is not None and item.era > known.era
            return MergedItem(known.placed_at(position)) if known and is_copy else None
        if start < latest:
            return MergedItem(_at_position(item, known, position))
        self._record_start(item.name, start)
        if start == item.back_end.started_at_ms:
            return MergedItem(item.placed_at(position), is_restart)
        record = msgspec.structs.replace(item.back_end, started_at_ms=start)
        merged = msgspec.structs.replace(item, back_end=record)
        return MergedItem(merged.placed_at(position), is_restart)

    def _record_start(self, name: str, start: int) -> None:
        if not start:
            return
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > _MAX_STARTS:
            self._starts.popitem(last=False)


def _may_have_restarted(item: ViewItem, known: ViewItem | None) -> bool:
    """Return whether a later start overrides the order of the store.

    A removal in the same era is that of the later process; one of an earlier era cannot be.
    """
    return known is not None and (known.back_end is not None or item.era > known.era)


def _at_position(item: ViewItem, known: ViewItem | None, position: StoreRevision) -> ViewItem:
    """Return the known record of the later process, or a removal, at the given position."""
    if known is not None and known.back_end is not None:
        return known.placed_at(position)
    return ViewItem(item.kind, item.name, position.number, removed=True, era=position.era)
