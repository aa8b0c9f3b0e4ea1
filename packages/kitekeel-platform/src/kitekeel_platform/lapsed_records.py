"""Tells records that lapsed while the store was away from those of back ends that have left.

A back end's record lives only as long as the back end renews it. While the store is away no renewal
succeeds, so the store may come back without the records of back ends that work well; they write
them again at their next heartbeat. Such removals are held for a moment. Removals carry the store's
revision, so one that is applied late cannot undo a record that was written again in between.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kitekeel_steering.fleet_view import FleetView, ItemKind, ViewItem

LAPSE_HOLD_SECONDS = 1.9
"""A heartbeat of the back ends and the time that its news takes to get here."""

# Back ends leave a few at a time. An outage that this daemon did not notice shows as more at once.
_MASS_SHARE = 1 / 3
_LEAST_MASS = 3


class SortedChanges(msgspec.Struct, frozen=True):
    """Changes to take over at once, and removals to take over after the hold."""

    at_once: tuple[ViewItem, ...]
    held: tuple[ViewItem, ...]


def sort_changes(
    items: Iterable[ViewItem], view: FleetView, is_after_outage: bool
) -> SortedChanges:
    """Sort out the removals that are probably lapses.

    Args:
        items: changes that the store tells.
        view: what was believed before them.
        is_after_outage: whether the store has only just been reached again.
    """
    changes = tuple(items)
    unannounced = tuple(each for each in changes if _is_unannounced_removal(each, view))
    is_mass = len(unannounced) >= max(_LEAST_MASS, _MASS_SHARE * len(view.all_back_ends()))
    if not (is_after_outage or is_mass):
        return SortedChanges(changes, ())
    held = {id(each) for each in unannounced}
    return SortedChanges(tuple(each for each in changes if id(each) not in held), unannounced)


def _is_unannounced_removal(item: ViewItem, view: FleetView) -> bool:
    """Tell whether a back end that had not said it would leave is gone."""
    if item.kind is not ItemKind.BACK_END or not item.removed:
        return False
    record = view.find_back_end(item.name)
    return record is not None and not record.draining
