"""The typed configuration that operators create: places, services, classes, shifts, drains."""

from __future__ import annotations

import enum

import msgspec

CONFIGURATION_KEY = "kitekeel/configuration"
REMEMBERED_COMMANDS = 200


class Region(msgspec.Struct, frozen=True):
    """A region with its zones.

    Attributes:
        entry_machines: how many entry machines (places for daemons) the region has.
    """

    name: str
    zones: tuple[str, ...]
    entry_machines: int


class Link(msgspec.Struct, frozen=True):
    """The way between two regions, the same in both directions.

    Attributes:
        one_way_seconds: delay one way.
        request_limit: most requests in flight over it at once; 0 means no limit.
    """

    first: str
    second: str
    one_way_seconds: float
    request_limit: int = 0


class PriorityClass(msgspec.Struct, frozen=True):
    """A priority class of one service.

    Attributes:
        rank: 1 is the most urgent.
        sure_share: share of a region's room that the class gets when it asks for it.
        most_share: most of a region's room that the class may take.
        pushes_aside: names of the classes whose waiting places it may take.
        key: what a caller shows to prove the right to the class; empty for none.
        queue_places: most requests of the class that wait in one daemon.
    """

    name: str
    rank: int
    sure_share: float
    most_share: float
    pushes_aside: tuple[str, ...] = ()
    key: str = ""
    queue_places: int = 64


class Service(msgspec.Struct, frozen=True):
    """A service and its classes.

    Attributes:
        longest_run_seconds: most time that one request may take at a back end.
        warm_up_seconds: time over which a cold back end is ramped up.
    """

    name: str
    classes: tuple[PriorityClass, ...]
    longest_run_seconds: float
    warm_up_seconds: float = 5.0

    def find_class(self, name: str) -> PriorityClass | None:
        """Return the class of that name, if there is one."""
        return next((each for each in self.classes if each.name == name), None)


class BackEnd(msgspec.Struct, frozen=True):
    """One back-end server of one service."""

    name: str
    service: str
    region: str
    zone: str
    address: str
    slots: int
    connections: int


class DrainScope(enum.Enum):
    """What a drain empties."""

    BACK_END = "backend"
    ZONE = "zone"
    REGION = "region"


class Drain(msgspec.Struct, frozen=True):
    """A place that gets no new work."""

    scope: DrainScope
    name: str


class Shift(msgspec.Struct, frozen=True):
    """Moves a share of one service's requests from one region to another.

    Attributes:
        share: most of the eligible requests that are moved, 0 to 1.
        slot_cap: most moved requests running at once; 0 means no cap in slots.
        ramp_seconds: time over which the share grows from nothing.
        cancelled: true while the traffic is being returned.
    """

    name: str
    service: str
    source: str
    target: str
    share: float
    slot_cap: int
    ramp_seconds: float
    cancelled: bool = False


class CommandRecord(msgspec.Struct, frozen=True):
    """A command that was applied, and the revision it made."""

    command_id: str
    revision: int
    text: str


class Configuration(msgspec.Struct, frozen=True):
    """All that operators configure, as one document with a revision that only grows."""

    revision: int = 0
    regions: tuple[Region, ...] = ()
    links: tuple[Link, ...] = ()
    services: tuple[Service, ...] = ()
    back_ends: tuple[BackEnd, ...] = ()
    drains: tuple[Drain, ...] = ()
    shifts: tuple[Shift, ...] = ()
    commands: tuple[CommandRecord, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service of that name, if there is one."""
        return next((service for service in self.services if service.name == name), None)

    def find_region(self, name: str) -> Region | None:
        """Return the region of that name, if there is one."""
        return next((region for region in self.regions if region.name == name), None)

    def find_link(self, first: str, second: str) -> Link | None:
        """Return the link between two regions, in whichever order they are given."""
        ends = {first, second}
        return next((link for link in self.links if {link.first, link.second} == ends), None)

    def one_way_seconds(self, first: str, second: str) -> float:
        """Return the delay one way between two regions, 0 within a region."""
        link = self.find_link(first, second)
        return link.one_way_seconds if link else 0.0

    def pool_back_ends(self, service: str, region: str) -> tuple[BackEnd, ...]:
        """Return the back ends of one service in one region."""
        return tuple(
            each for each in self.back_ends if each.service == service and each.region == region
        )

    def is_drained(self, back_end: BackEnd) -> bool:
        """Tell whether a drain covers the back end."""
        names = {
            DrainScope.BACK_END: back_end.name,
            DrainScope.ZONE: back_end.zone,
            DrainScope.REGION: back_end.region,
        }
        return any(names[drain.scope] == drain.name for drain in self.drains)

    def find_command(self, command_id: str) -> CommandRecord | None:
        """Return the record of a command that was applied, if it is still remembered."""
        return next((each for each in self.commands if each.command_id == command_id), None)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the document as JSON, as it is kept at the platform."""
    return msgspec.json.encode(configuration)


def decode_configuration(document: bytes) -> Configuration:
    """Return the configuration in a JSON document.

    Raises:
        msgspec.ValidationError: the document does not have the documented form.
    """
    return msgspec.json.decode(document, type=Configuration)
