"""Items that are kept although the store, restored from a copy, lacks them or has older ones.

An item that the copy lacks was written after the copy, and its writer writes it again if it is
still there. It is kept for as long as that may take while the store can be reached. Other daemons
may not know the item, so it is sent to those whose view differs, and so is its end for a while.
"""

from __future__ import annotations

from collections.abc import Iterable

from kitekeel_steering.fleet_items import FleetPart, ItemKind, part_of

ItemKey = tuple[ItemKind, str]

# An operator that ends an evacuation which the restored store lacks causes no event, so a zone must
# not wait for one.
_EVACUATION_SECONDS = 30.0
DEFAULT_RECORD_SECONDS = 5.0
# A daemon that had lost contact itself enters an era late, and may have missed the ends of back
# ends in it. It waits less, so that it does not use them any more once it counts as in contact.
_LATE_RECORD_SHARE = 2 / 3


class KeptItems:
    """The kept items of one view, and how much longer those that the store lacks are kept.

    Args:
        record_seconds: time for which the record of a back end is kept.
    """

    def __init__(self, record_seconds: float) -> None:
        self._keys: set[ItemKey] = set()
        self._full_seconds = {
            ItemKind.BACK_END: record_seconds,
            ItemKind.EVACUATION: _EVACUATION_SECONDS,
        }
        self._seconds_left = dict(self._full_seconds)
        self._dropped: dict[ItemKey, float] = {}

    def begin_era(self, part: FleetPart, lost_contact_seconds: float) -> None:
        """Start waiting for the items of a part to be written again after a restore.

        Args:
            part: the part that has entered a later era.
            lost_contact_seconds: how long this daemon did not know the state of the store.
        """
        for kind, seconds in self._full_seconds.items():
            if part_of(kind) is part:
                is_late = kind is ItemKind.BACK_END and lost_contact_seconds > seconds
                self._seconds_left[kind] = seconds * _LATE_RECORD_SHARE if is_late else seconds

    def elapse(self, seconds: float) -> None:
        """Count time during which the store could be reached."""
        for kind, left in self._seconds_left.items():
            self._seconds_left[kind] = max(0.0, left - seconds)
        self._dropped = {
            key: left - seconds for key, left in self._dropped.items() if left > seconds
        }

    def note_dropped(self, key: ItemKey) -> None:
        """Record that an item was dropped, which other daemons that know it are told."""
        self._dropped[key] = self._full_seconds[key[0]]

    def is_waiting_for(self, kind: ItemKind) -> bool:
        """Return whether items of a kind that the store lacks may still be written again."""
        return self._seconds_left.get(kind, 1.0) > 0.0

    def update(self, key: ItemKey, is_kept: bool) -> None:
        """Record whether an item is kept."""
        if is_kept:
            self._keys.add(key)
        else:
            self._keys.discard(key)
        self._dropped.pop(key, None)

    def of_part(self, part: FleetPart) -> Iterable[ItemKey]:
        """Return the keys of the items of a part that are kept or were dropped lately."""
        return sorted(key for key in self._keys | self._dropped.keys() if part_of(key[0]) is part)
