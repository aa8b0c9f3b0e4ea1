"""The order of what the platform's store says: revisions, and the eras between its restores.

The store counts its changes by revisions. When it is restored from a copy, it loses the changes
since the copy and gives out their revisions again, so a revision alone orders nothing. Its era,
which rises with each restore, tells the uses of a revision apart.

A restored store holds two kinds of items. Those written since are later than anything of an earlier
era. Those of the copy were written before the restore and are ordered by their revisions among the
items of earlier eras, although the store reports both kinds in the same era.
"""

from __future__ import annotations

import msgspec

_MAX_NUMBER = (1 << 64) - 1
# A restore is a rare event; a few earlier eras matter only if restores follow one another.
_MAX_ERAS = 16


class StoreRevision(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A revision of the store and the era in which the store reported it.

    Attributes:
        era: how often the store had been restored; 0 if the source does not say.
        number: the store's revision.
    """

    era: int = 0
    number: int = 0


class CopyLimits:
    """For each era, the lowest revision known to be at or above the end of the copy it began with.

    Any revision at which the store was read after a restore is such a limit, so the lowest one that
    any daemon knows is used. Items above it were certainly written after the restore.
    """

    def __init__(self) -> None:
        self._limits: dict[int, int] = {}

    def note(self, limit: StoreRevision) -> None:
        """Record that the copy with which an era began ends at or before a revision."""
        self._limits[limit.era] = min(limit.number, self.of(limit.era))
        while len(self._limits) > _MAX_ERAS:
            del self._limits[min(self._limits)]

    def of(self, era: int) -> int:
        """Return the limit of an era, or the largest revision if none is known."""
        return self._limits.get(era, _MAX_NUMBER)

    def is_known(self, era: int) -> bool:
        """Return whether any revision is known at which the store was read in an era."""
        return era in self._limits

    def may_be_copied(self, revision: StoreRevision) -> bool:
        """Return whether a change may have been made before the restore that began its era."""
        return revision.number <= self.of(revision.era)

    def is_later(self, revision: StoreRevision, known: StoreRevision) -> bool:
        """Return whether a change was made after a known one, as far as that can be told.

        Equal numbers of two eras either name the same change or a later one of the later era, which
        therefore counts as later.
        """
        if revision.era == known.era:
            return revision.number > known.number
        if revision.era < known.era:
            return not self.is_later(known, revision)
        return revision.number >= known.number or not self.may_be_copied(revision)
