"""Typed statements of the query and command language."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.model import DrainScope


class Subject(enum.Enum):
    """The subject of a query."""

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
    """Shows the current state of a subject."""

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
    """Cancels a shift, whose traffic returns along its ramp; removes one already cancelled."""

    name: str


class DrainCommand(msgspec.Struct, frozen=True):
    """Drains a back end, zone or region, so that it gets no new work, or undoes that."""

    scope: DrainScope
    name: str
    undo: bool


class CapLinkCommand(msgspec.Struct, frozen=True):
    """Sets the maximum number of requests in flight over a link; 0 removes the limit."""

    first: str
    second: str
    limit: int


class CapShiftCommand(msgspec.Struct, frozen=True):
    """Sets the maximum number of concurrent requests moved by a shift; 0 removes the cap."""

    name: str
    limit: int


class SetClassCommand(msgspec.Struct, frozen=True):
    """Changes one setting of a priority class; the other settings are ``None``."""

    service: str
    name: str
    sure_share: float | None = None
    most_share: float | None = None
    rank: int | None = None


class SetServiceCommand(msgspec.Struct, frozen=True):
    """Changes one setting of a service; the other setting is ``None``."""

    name: str
    longest_run_seconds: float | None = None
    warm_up_seconds: float | None = None


class SetSlotsCommand(msgspec.Struct, frozen=True):
    """Sets the number of slots of a back end."""

    back_end: str
    slots: int


class ApplyCommand(msgspec.Struct, frozen=True):
    """Replaces regions, zones, links, services and back ends by those of an INI text."""

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
