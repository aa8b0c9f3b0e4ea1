"""Typed statements of the query and command language."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.model import DrainScope


class Subject(enum.Enum):
    """What a query shows."""

    SERVICES = "services"
    REGIONS = "regions"
    ZONES = "zones"
    BACKENDS = "backends"
    DAEMONS = "daemons"
    CLASSES = "classes"
    SHIFTS = "shifts"
    DRAINS = "drains"
    POOLS = "pools"
    CONFIGURATION = "configuration"
    REVISIONS = "revisions"
    COUNTERS = "counters"


class Query(msgspec.Struct, frozen=True):
    """Shows what is true now."""

    subject: Subject


class ShiftCommand(msgspec.Struct, frozen=True):
    """Moves a share of a service's requests to another region."""

    service: str
    source: str
    target: str
    share: float
    slot_cap: int
    ramp_seconds: float
    name: str


class CancelShiftCommand(msgspec.Struct, frozen=True):
    """Returns a shift's traffic on its ramp; a shift already cancelled is removed."""

    name: str


class DrainCommand(msgspec.Struct, frozen=True):
    """Ends new work for a place, or lets it begin again."""

    scope: DrainScope
    name: str
    undo: bool


class CapLinkCommand(msgspec.Struct, frozen=True):
    """Sets the most requests in flight over a link; 0 lifts the limit."""

    first: str
    second: str
    limit: int


class CapShiftCommand(msgspec.Struct, frozen=True):
    """Sets the most moved requests running at once; 0 lifts the cap."""

    name: str
    limit: int


class SetClassCommand(msgspec.Struct, frozen=True):
    """Changes one setting of a class; the others are ``None``."""

    service: str
    name: str
    sure_share: float | None = None
    most_share: float | None = None
    rank: int | None = None


class SetServiceCommand(msgspec.Struct, frozen=True):
    """Changes one setting of a service; the other is ``None``."""

    name: str
    longest_run_seconds: float | None = None
    warm_up_seconds: float | None = None


class SetSlotsCommand(msgspec.Struct, frozen=True):
    """Changes a back end's slots."""

    back_end: str
    slots: int


class ApplyCommand(msgspec.Struct, frozen=True):
    """Replaces places, links, services and back ends by those of an INI text."""

    text: str


Command = (
    ShiftCommand
    | CancelShiftCommand
    | DrainCommand
    | CapLinkCommand
    | CapShiftCommand
    | SetClassCommand
    | SetServiceCommand
    | SetSlotsCommand
    | ApplyCommand
)
Statement = Query | Command
