"""Tells the processes apart that one back end has been under its name.

A back end that crashes may start again under the name that it had. Its records then state a later
start. The store's revisions alone do not order them: a write of the process that is gone may come
to pass after the first one of the later process. So a later start wins over an earlier one whatever
their revisions and the way that they came, and an earlier one never returns.

Starts are readings of the back end's own clock and are compared with each other alone. A back end
whose clock went back between two starts looks like a process that is gone; it is used again once
its clock has passed its former start.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

from kitekeel_steering.fleet_items import ViewItem

# Four times the back ends of the largest fleet known with all of them replaced once, at 100 bytes.
_MOST_STARTS = 10_000


class MergedItem(msgspec.Struct, frozen=True):
    """What is to be believed of a back end.

    Attributes:
        is_restart: whether it is another process than the one believed before.
    """

    item: ViewItem
    is_restart: bool = False


class LatestStarts:
    """The latest start that each back end has stated."""

    def __init__(self) -> None:
        self._starts: OrderedDict[str, int] = OrderedDict()

    def merge(self, item: ViewItem, known: ViewItem | None) -> MergedItem | None:
        """Return what to believe after a piece of news, or ``None`` where it changes nothing.

        Args:
            item: the news of a back end.
            known: what is believed of it, or the news that it is gone; ``None`` for nothing.
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
        self._note(item.name, start)
        if start == item.back_end.started_at_ms and revision == item.revision:
            return MergedItem(item, is_restart)
        record = msgspec.structs.replace(item.back_end, started_at_ms=start)
        return MergedItem(ViewItem(item.kind, item.name, revision, back_end=record), is_restart)

    def _note(self, name: str, start: int) -> None:
        if not start:
            return
        self._starts[name] = start
        self._starts.move_to_end(name)
        if len(self._starts) > _MOST_STARTS:
            self._starts.popitem(last=False)


def _is_present(known: ViewItem | None) -> bool:
    return known is not None and known.back_end is not None


def _at_revision(item: ViewItem, known: ViewItem | None, revision: int) -> ViewItem:
    """Return what is believed of the later process, also where the news names an earlier one."""
    record = known.back_end if known is not None else None
    return ViewItem(item.kind, item.name, revision, back_end=record, removed=record is None)
