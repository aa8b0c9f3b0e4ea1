"""Decides between two items of the same name, of which one may be older than it looks.

Within an era of the store, the item of the higher revision is the later one. Between eras, the item
of the later era may come from the copy that the store was restored from. Such an item does not
replace what was known before the restore. The known content is then kept at the revision of the
copy, so that the next change of the item replaces it, and its own revision is stated beside it.

Where a revision may belong to the copy or to a change after the restore, the content is chosen that
sends fewer requests to the wrong place.
"""

from __future__ import annotations

from kitekeel_steering.fleet_items import ItemKind, ViewItem
from kitekeel_steering.latest_starts import LatestStarts, MergedItem
from kitekeel_steering.store_revision import CopyLimits, StoreRevision


def has_same_content(item: ViewItem, other: ViewItem) -> bool:
    """Return whether two items of the same name differ in their revisions at most."""
    return (
        item.removed == other.removed
        and item.back_end == other.back_end
        and item.configuration == other.configuration
    )


class ItemMerger:
    """Merges received items with known ones.

    Attributes:
        limits: tells items of a copy from those written after its restore.
    """

    def __init__(self) -> None:
        self.limits = CopyLimits()
        self._starts = LatestStarts()
        self._ended_evacuations: dict[str, StoreRevision] = {}

    def merge(self, item: ViewItem, known: ViewItem | None) -> MergedItem | None:
        """Return the item to store, or ``None`` if the received item changes nothing.

        Args:
            item: the received item.
            known: the stored item or removal of the same name, or ``None``.
        """
        if item.kind is ItemKind.CONFIGURATION and item.configuration is None:
            return None
        if item.kind is ItemKind.EVACUATION:
            self._note_ended_evacuation(item, known)
        is_later = known is None or self._is_later(item, known)
        if item.kind is ItemKind.BACK_END:
            return self._starts.merge(item, known, is_later)
        if known is None:
            return MergedItem(item)
        if is_later:
            return MergedItem(item.placed_at(max(item.position, known.position)))
        if item.era > known.era:
            return MergedItem(known.placed_at(item.position))
        return None

    def _is_later(self, item: ViewItem, known: ViewItem) -> bool:
        is_later = self.limits.is_later(item.origin, known.origin)
        if item.kind is ItemKind.CONFIGURATION:
            return _has_later_version(item, known, is_later)
        if item.origin.era == known.origin.era:
            return is_later
        if item.removed and item.era > known.era and item.revision >= self.limits.of(item.era):
            # Made since the restore, as a copy contains no removals.
            return True
        if item.kind is ItemKind.EVACUATION:
            return is_later or self._may_be_evacuated_again(item, known)
        return _is_later_record(item, known, is_later)

    def _note_ended_evacuation(self, item: ViewItem, known: ViewItem | None) -> None:
        if item.removed and known is not None and not known.removed:
            self._ended_evacuations[item.name] = known.origin

    def _may_be_evacuated_again(self, item: ViewItem, known: ViewItem) -> bool:
        """Return whether an evacuation in a restored store is not the one known to have ended."""
        if item.removed or not known.removed or item.position <= known.position:
            return False
        ended = self._ended_evacuations.get(item.name)
        return ended is None or ended.number != item.revision


def _has_later_version(item: ViewItem, known: ViewItem, is_later: bool) -> bool:
    """Compare configurations, whose versions increase whatever becomes of the store."""
    if item.configuration is None or known.configuration is None:
        return is_later
    version, known_version = item.configuration.version, known.configuration.version
    if item.era == known.era and item.kept_from is None and known.kept_from is None:
        return is_later and version >= known_version
    return version > known_version or (version == known_version and item.position > known.position)


def _is_later_record(item: ViewItem, known: ViewItem, is_later: bool) -> bool:
    """Compare back ends of two eras; a process that announced its end does not take that back."""
    record, known_record = item.back_end, known.back_end
    if record is None or known_record is None or not record.is_same_process(known_record):
        return is_later
    is_of_later_era = item.origin.era > known.origin.era
    if record.draining and not known_record.draining:
        return is_later or is_of_later_era
    if known_record.draining and not record.draining:
        return is_later and is_of_later_era
    return is_later
