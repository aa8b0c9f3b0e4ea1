"""Distinguishes successive processes of a back end that use the same instance name.

A back end that crashes may restart under its previous name; its records then state a later start.
The store's revisions alone do not order the processes: a write of the old process may take effect
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

    def merge(self, item: ViewItem, known: ViewItem | None) -> MergedItem | None:
        """Return the item to store after an update, or ``None`` if the update changes nothing.

        Args:
            item: the received item of a back end.
            known: the stored item or removal of the back end, or ``None``.
        """
        is_newer = known is None or item.revision > known.revision
        if item.back_end is None:
            return MergedItem(item) if is_newer else None
        latest = self._starts.get(item.name, 0)
        start = item.back_end.started_at_ms or latest
        is_restart = 0 < latest < start
        if not is_newer and not (is_restart and _is_present(known)):
            return None
        revision = item.revision if known is None else max(item.revision, known.revision)
        if start < latest:
            return MergedItem(_at_revision(item, known, revision))
        self._record_start(item.name, start)
        if start == item.back_end.started_at_ms and revision == item.revision:
            return MergedItem(item, is_restart)
        record = msgspec.structs.replace(item.back_end, started_at_ms=start)
        return MergedItem(ViewItem(item.kind, item.name, revision, back_end=record), is_restart)

    def _record_start(self, name: str, start: int) -> None:
        if not start:
            return
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > _MAX_STARTS:
            self._starts.popitem(last=False)


def _is_present(known: ViewItem | None) -> bool:
    return known is not None and known.back_end is not None


def _at_revision(item: ViewItem, known: ViewItem | None, revision: int) -> ViewItem:
    """Return the known record of the later process, or a removal, at the given revision."""
    record = known.back_end if known is not None else None
    return ViewItem(item.kind, item.name, revision, back_end=record, removed=record is None)
