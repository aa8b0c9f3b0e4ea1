"""Divides a pool's slots between priority classes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from kitekeel_steering.model import PriorityClass
from kitekeel_steering.ordered_allocation import Claim, allocate_in_order


def allocate_classes(
    room: int, classes: Sequence[PriorityClass], needed: Mapping[str, int]
) -> dict[str, int]:
    """Return how many slots each class gets.

    Every class first gets what it needs up to its guaranteed share. The rest goes to the classes in
    the order of their rank, up to the maximum of each class.

    Args:
        room: slots available in the pool.
        classes: the service's classes, the most urgent first.
        needed: the number of slots that each class needs.

    Example:
        >>> urgent = PriorityClass("urgent", rank=1, sure_share=0.5, most_share=1.0)
        >>> bulk = PriorityClass("bulk", rank=9, sure_share=0.1, most_share=0.8)
        >>> allocate_classes(10, [urgent, bulk], {"urgent": 3, "bulk": 20})
        {'urgent': 3, 'bulk': 7}
    """
    claims = [_claim(room, each, needed.get(each.name, 0)) for each in classes]
    allocation = allocate_in_order(room, claims)
    return {each.name: slots for each, slots in zip(classes, allocation, strict=True)}


def guaranteed_slots(room: int, priority_class: PriorityClass) -> int:
    """Return the number of slots that are guaranteed to the class if it needs them."""
    return min(int(room * priority_class.sure_share), max_slots(room, priority_class))


def max_slots(room: int, priority_class: PriorityClass) -> int:
    """Return the maximum slots of the class; at least one if the pool has any."""
    if room <= 0:
        return 0
    return max(1, int(room * priority_class.most_share))


def _claim(room: int, priority_class: PriorityClass, needed: int) -> Claim[int]:
    guaranteed = min(needed, guaranteed_slots(room, priority_class))
    return Claim(guaranteed, min(needed, max_slots(room, priority_class)))
