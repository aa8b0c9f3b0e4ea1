"""The items that a fleet view consists of, and the updates in which they are sent.

Items are typed by kind and carry the revision at which the platform's store recorded them. The
store and the other daemons send updates separately for each part of the view.

The types are sent between daemons as arrays, in which the place of a field is part of the protocol.
The era of a revision therefore stands behind the fields that earlier versions know.
"""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.routing import RoutingConfiguration
from kitekeel_steering.store_revision import StoreRevision

# Larger values in the record or the answers of a back end are treated as invalid. The largest back
# ends known have 9 slots, and the slowest to warm up stay cold for 12 s.
MAX_SLOTS = 100_000
MAX_COLD_SECONDS = 3_600.0


def may_be_same_process(started_at_ms: int, other_started_at_ms: int) -> bool:
    """Return whether two start times may belong to the same process; 0 means unknown."""
    return started_at_ms == other_started_at_ms or 0 in (started_at_ms, other_started_at_ms)


class BackEndRecord(msgspec.Struct, frozen=True):
    """A back end as it registered itself.

    Attributes:
        instance: the name under which it registers; it may restart under the same name.
        slots: maximum number of requests that it runs concurrently.
        draining: whether it is about to stop and must receive no new requests.
        cold_seconds: how much longer it stays cold, counted from the time the record was written.
        started_at_ms: start time by its own clock, in milliseconds since 1970; 0 if it does not
            state one. Only compared with other start times of the same instance.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    cold_seconds: float = 0.0
    version: str = ""
    started_at_ms: int = 0

    def is_same_process(self, other: BackEndRecord) -> bool:
        """Return whether another record of the instance may belong to the same process."""
        return may_be_same_process(self.started_at_ms, other.started_at_ms)


class ItemKind(enum.IntEnum):
    """The kinds of items in a fleet view."""

    CONFIGURATION = 0
    BACK_END = 1
    EVACUATION = 2


class FleetPart(enum.IntEnum):
    """The two parts of the view, which are read and watched separately."""

    CONFIGURATION = 0
    BACK_ENDS = 1


def part_of(kind: ItemKind) -> FleetPart:
    """Return the part that a kind of item belongs to."""
    return FleetPart.BACK_ENDS if kind is ItemKind.BACK_END else FleetPart.CONFIGURATION


class ViewItem(msgspec.Struct, frozen=True, array_like=True):
    """One item of the fleet view, or its removal.

    Attributes:
        name: the instance of the back end, or the zone; empty for the configuration.
        revision: the store's revision of the last change of the item.
        configuration, back_end: the content, depending on the kind; both ``None`` for a removal and
            for evacuations.
        removed: whether the item was removed.
        era: the store's era at that revision; 0 if the source does not say.
        kept_from: the revision, of an earlier era, at which this content was recorded; ``None`` for
            the content that the store has at ``revision``. A restored store may have older content
            than was known before the restore.
    """

    kind: ItemKind
    name: str
    revision: int
    configuration: RoutingConfiguration | None = None
    back_end: BackEndRecord | None = None
    removed: bool = False
    era: int = 0
    kept_from: StoreRevision | None = None

    @property
    def position(self) -> StoreRevision:
        """The store's last change of the item, which orders it among the changes of its era."""
        return StoreRevision(self.era, self.revision)

    @property
    def origin(self) -> StoreRevision:
        """The change that wrote the content."""
        return self.kept_from or self.position

    def placed_at(self, position: StoreRevision) -> ViewItem:
        """Return the same content at another position of the store."""
        origin = self.origin
        return msgspec.structs.replace(
            self,
            revision=position.number,
            era=position.era,
            kept_from=origin if origin.era < position.era else None,
        )


class Extent(msgspec.Struct, frozen=True, array_like=True):
    """The revisions up to which a part is known completely, all of one era.

    The store counts the changes of all parts, and of other keys, in one sequence of revisions. So
    ``covered_through`` may be a revision at which the part itself did not change.

    Attributes:
        covered_through: the revision up to which every change of the part is known.
        last_change: the revision of the last of these changes.
        era: the store's era; 0 if the source does not say.
        copy_limit: the lowest known revision at which the store was read in this era, which is at
            or above the end of the copy that the era began with; 0 if none is known.
    """

    covered_through: int = 0
    last_change: int = 0
    era: int = 0
    copy_limit: int = 0

    @property
    def covered(self) -> StoreRevision:
        """The revision up to which every change of the part is known."""
        return StoreRevision(self.era, self.covered_through)

    @property
    def changed(self) -> StoreRevision:
        """The revision of the last known change of the part."""
        return StoreRevision(self.era, self.last_change)


class PartKnowledge(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon states that it knows of a part when it requests the rest.

    Attributes:
        fingerprint: hash of its items; 0 if it has not yet applied every change that it knows.
    """

    extent: Extent = Extent()
    fingerprint: int = 0


class PartUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update of one part, from the store or from another daemon.

    Attributes:
        after: the items include every change after this revision of the extent's era; 0 for a
            snapshot.
        extent: the revisions up to which they do.
        items: items and removals; some may be later than the extent or of an earlier era. A
            snapshot contains removals only of items that the store still has.
        is_snapshot: whether the items are the whole part, so that all other items were removed.
        is_same: whether the sender's state equals the one that the receiver stated; there are no
            items then.
    """

    part: FleetPart
    after: int
    extent: Extent
    items: tuple[ViewItem, ...]
    is_snapshot: bool = False
    is_same: bool = False
