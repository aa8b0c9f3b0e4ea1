"""Distinguishes records that expired during a store outage from those of back ends that have left.

Removals that are probably lapses are held back until the back ends have had time to rewrite their
records; see :mod:`kitekeel_platform.store_contact` for that time. Removals carry the store's
revision, so one that is applied late cannot undo a record that was rewritten in between.
"""

from __future__ import annotations

from collections.abc import Iterable

from kitekeel_steering.fleet_items import ItemKind, ViewItem
from kitekeel_steering.fleet_view import FleetView

# Back ends leave a few at a time; more removals at once indicate an outage that this daemon missed.
_MASS_REMOVAL_FRACTION = 1 / 3
_MIN_MASS_REMOVALS = 3


def find_lapses(
    items: Iterable[ViewItem], view: FleetView, is_after_outage: bool
) -> tuple[ViewItem, ...]:
    """Return the removals that are probably lapses.

    Args:
        items: changes reported by the store.
        view: the view before these changes.
        is_after_outage: whether the store has only just become available again.
    """
    unannounced = tuple(each for each in items if _is_unannounced_removal(each, view))
    is_mass = len(unannounced) >= max(
        _MIN_MASS_REMOVALS, _MASS_REMOVAL_FRACTION * len(view.all_back_ends())
    )
    return unannounced if is_after_outage or is_mass else ()


def _is_unannounced_removal(item: ViewItem, view: FleetView) -> bool:
    """Return whether the item removes a back end that had not announced that it would leave."""
    if item.kind is not ItemKind.BACK_END or not item.removed:
        return False
    record = view.find_back_end(item.name)
    return record is not None and not record.draining
