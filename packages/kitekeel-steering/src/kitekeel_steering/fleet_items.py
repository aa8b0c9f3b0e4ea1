"""The items that a fleet view consists of, and the news that brings them.

Items are typed by kind and carry the revision at which the platform's store recorded them. The
store and the other daemons tell them part by part.
"""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.routing import RoutingConfiguration

# Figures beyond these are not a back end's own, whether its record or its answers state them: the
# largest back ends known have 9 slots, and the coldest stay cold for 12 s.
MOST_SLOTS = 100_000
LONGEST_COLD_SECONDS = 3_600.0


def may_be_same_process(started_at_ms: int, other_started_at_ms: int) -> bool:
    """Return whether two start times may belong to the same process; 0 means unknown."""
    return started_at_ms == other_started_at_ms or 0 in (started_at_ms, other_started_at_ms)


class BackEndRecord(msgspec.Struct, frozen=True):
    """A back end as it registered itself.

    Attributes:
        instance: the name under which it registers; it may start again under the same one.
        slots: requests that it works on at once.
        draining: whether it is about to leave and must get no new work.
        cold_seconds: how much longer it stays cold, counted from when the record was written.
        started_at_ms: when it started by its own clock, in milliseconds since 1970; 0 where it
            does not tell. Compared with other starts of the same instance alone.
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
        """Tell whether another record of the same name is of the same process, as far as known."""
        return may_be_same_process(self.started_at_ms, other.started_at_ms)


class ItemKind(enum.IntEnum):
    """The kinds of beliefs."""

    CONFIGURATION = 0
    BACK_END = 1
    EVACUATION = 2


class FleetPart(enum.IntEnum):
    """The two parts of the view; each is read and watched on its own."""

    CONFIGURATION = 0
    BACK_ENDS = 1


def part_of(kind: ItemKind) -> FleetPart:
    """Return the part that a kind of belief belongs to."""
    return FleetPart.BACK_ENDS if kind is ItemKind.BACK_END else FleetPart.CONFIGURATION


class ViewItem(msgspec.Struct, frozen=True, array_like=True):
    """One belief, or the news that it no longer holds.

    Attributes:
        name: the back end's instance or the zone; empty for the configuration.
        revision: the store's revision of the last change.
        configuration, back_end: the content, by kind; both ``None`` once it was removed and for
            evacuations.
        removed: whether the item is gone.
    """

    kind: ItemKind
    name: str
    revision: int
    configuration: RoutingConfiguration | None = None
    back_end: BackEndRecord | None = None
    removed: bool = False


class Extent(msgspec.Struct, frozen=True, array_like=True):
    """How far a part is known.

    The store counts the changes of all parts, and of other keys, with one revision. So a part may
    be known through revisions at which nothing of it changed.

    Attributes:
        covered_through: the revision up to which every change is known.
        last_change: the last of those changes.
    """

    covered_through: int = 0
    last_change: int = 0


class PartKnowledge(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon says it knows of a part when it asks for the rest.

    Attributes:
        fingerprint: hash over what it believes; 0 where it does not yet believe all it knows.
    """

    extent: Extent = Extent()
    fingerprint: int = 0


class PartNews(msgspec.Struct, frozen=True, array_like=True):
    """What the store or another daemon tells of one part.

    Attributes:
        after: the items tell every change after this revision; 0 for a snapshot.
        extent: how far they do.
        items: beliefs and, unless it is a snapshot, removals; some may be later still.
        is_snapshot: whether the items are the whole part, so that what they lack is gone.
        is_same: whether the sender believes what the receiver said it believes; there are no items.
    """

    part: FleetPart
    after: int
    extent: Extent
    items: tuple[ViewItem, ...]
    is_snapshot: bool = False
    is_same: bool = False
