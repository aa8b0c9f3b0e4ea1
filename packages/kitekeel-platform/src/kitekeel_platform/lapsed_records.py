"""Distinguishes records that expired during a store outage from those of back ends that have left.

Removals that are probably lapses are held back until the back ends have had time to rewrite their
records; see :mod:`kitekeel_platform.store_contact` for that time. Removals carry the store's
revision, so one that is applied late cannot undo a record that was rewritten in between.

Removals are never held back on account of their number alone: a zone of back ends may leave at
once, and its removals must take effect as soon as those of a single one.
"""

from __future__ import annotations

from collections.abc import Iterable

from kitekeel_platform.store_contact import RecentOutage
from kitekeel_steering.fleet_items import ItemKind, ViewItem
from kitekeel_steering.fleet_view import FleetView

# If an outage is only possible, that many removals at once indicate that there was one.
_MASS_REMOVAL_FRACTION = 1 / 3
_MIN_MASS_REMOVALS = 3


def find_lapses(
    items: Iterable[ViewItem], view: FleetView, outage: RecentOutage
) -> tuple[ViewItem, ...]:
    """Return the removals that are probably lapses.

    Args:
        items: changes reported by the store.
        view: the view before these changes.
        outage: what is known about an outage that has just ended.
    """
    if outage is RecentOutage.NONE:
        return ()
    unannounced = tuple(each for each in items if _is_unannounced_removal(each, view))
    is_mass = len(unannounced) >= max(
        _MIN_MASS_REMOVALS, _MASS_REMOVAL_FRACTION * len(view.all_back_ends())
    )
    return unannounced if outage is RecentOutage.NOTICED or is_mass else ()


def _is_unannounced_removal(item: ViewItem, view: FleetView) -> bool:
    """Return whether the item removes a back end that had not announced that it would leave."""
    if item.kind is not ItemKind.BACK_END or not item.removed:
        return False
    record = view.find_back_end(item.name)
    return record is not None and not record.draining
