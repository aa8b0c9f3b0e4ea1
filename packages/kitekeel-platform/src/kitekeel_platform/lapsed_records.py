"""Tells records that lapsed while the store was away from those of back ends that have left.

Removals that are probably lapses are withheld until the back ends had time to write their records
again; see :mod:`kitekeel_platform.store_contact` for that time. Removals carry the store's
revision, so one that is applied late cannot undo a record that was written again in between.
"""

from __future__ import annotations

from collections.abc import Iterable

from kitekeel_steering.fleet_items import ItemKind, ViewItem
from kitekeel_steering.fleet_view import FleetView

# Back ends leave a few at a time. An outage that this daemon did not notice shows as more at once.
_MASS_SHARE = 1 / 3
_MIN_MASS = 3


def find_lapses(
    items: Iterable[ViewItem], view: FleetView, is_after_outage: bool
) -> tuple[ViewItem, ...]:
    """Return the removals that are probably lapses.

    Args:
        items: changes that the store tells.
        view: what was believed before them.
        is_after_outage: whether the store has only just come back.
    """
    unannounced = tuple(each for each in items if _is_unannounced_removal(each, view))
    is_mass = len(unannounced) >= max(_MIN_MASS, _MASS_SHARE * len(view.all_back_ends()))
    return unannounced if is_after_outage or is_mass else ()


def _is_unannounced_removal(item: ViewItem, view: FleetView) -> bool:
    """Tell whether a back end that had not said it would leave is gone."""
    if item.kind is not ItemKind.BACK_END or not item.removed:
        return False
    record = view.find_back_end(item.name)
    return record is not None and not record.draining
