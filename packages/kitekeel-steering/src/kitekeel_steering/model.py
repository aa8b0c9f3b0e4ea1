"""The configuration that operators create: regions, services, classes, shifts and drains."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.store_revision import StoreRevision

CONFIGURATION_KEY = "kitekeel/configuration"
MAX_COMMAND_RECORDS = 200


class Region(msgspec.Struct, frozen=True):
    """A region with its zones.

    Attributes:
        entry_machines: number of entry machines, each of which can run a daemon, in the region.
    """

    name: str
    zones: tuple[str, ...]
    entry_machines: int


class Link(msgspec.Struct, frozen=True):
    """The network link between two regions, with the same delay in both directions.

    Attributes:
        one_way_seconds: one-way delay.
        request_limit: maximum number of requests in flight on the link; 0 means no limit.
    """

    first: str
    second: str
    one_way_seconds: float
    request_limit: int = 0


class PriorityClass(msgspec.Struct, frozen=True):
    """A priority class of one service.

    Attributes:
        rank: 1 is the most urgent.
        sure_share: share of a region's slots that is guaranteed to the class on demand.
        most_share: maximum share of a region's slots that the class may use.
        pushes_aside: names of the classes whose queued requests it may displace.
        key: secret with which a caller proves its right to the class; empty if none is required.
        queue_places: maximum number of requests of the class queued in one daemon.
    """

    name: str
    rank: int
    sure_share: float
    most_share: float
    pushes_aside: tuple[str, ...] = ()
    key: str = ""
    queue_places: int = 64


class Service(msgspec.Struct, frozen=True):
    """A service and its priority classes.

    Attributes:
        longest_run_seconds: maximum time that one request may take at a back end.
        warm_up_seconds: time over which the load of a cold back end is increased to normal.
    """

    name: str
    classes: tuple[PriorityClass, ...]
    longest_run_seconds: float
    warm_up_seconds: float = 5.0

    def find_class(self, name: str) -> PriorityClass | None:
        """Return the class with the given name, or ``None``."""
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
    """Kind of object that a drain applies to."""

    BACK_END = "backend"
    ZONE = "zone"
    REGION = "region"


class Drain(msgspec.Struct, frozen=True):
    """A back end, zone or region that receives no new requests."""

    scope: DrainScope
    name: str


class Shift(msgspec.Struct, frozen=True):
    """Moves a share of one service's requests from one region to another.

    Attributes:
        share: maximum share of the eligible requests to move, 0 to 1.
        slot_cap: maximum number of moved requests running at once; 0 means no limit.
        ramp_seconds: time over which the moved share increases from 0.
        cancelled: true while the traffic is moved back.
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
    """A command that was applied, and the configuration revision that it created."""

    command_id: str
    revision: int
    text: str


class Configuration(msgspec.Struct, frozen=True):
    """The complete configuration, as one document.

    Attributes:
        revision: the platform's version of the document, which each write increments.
        era: how often the platform had come back from a copy, after which it gives versions out
            again.
    """

    revision: int = 0
    regions: tuple[Region, ...] = ()
    links: tuple[Link, ...] = ()
    services: tuple[Service, ...] = ()
    back_ends: tuple[BackEnd, ...] = ()
    drains: tuple[Drain, ...] = ()
    shifts: tuple[Shift, ...] = ()
    commands: tuple[CommandRecord, ...] = ()
    era: int = 0

    @property
    def order(self) -> StoreRevision:
        """The order of the document among all that were in force."""
        return StoreRevision(self.era, self.revision)

    def is_older_copy_of(self, other: Configuration) -> bool:
        """Return whether this is an earlier state of another document, from before a restore.

        That is so if the other one records the last command of this one, and later ones.
        """
        if self.era <= other.era or not other.commands:
            return False
        if self.find_command(other.commands[-1].command_id) is not None:
            return False
        return not self.commands or other.find_command(self.commands[-1].command_id) is not None

    def find_service(self, name: str) -> Service | None:
        """Return the service with the given name, or ``None``."""
        return next((service for service in self.services if service.name == name), None)

    def find_region(self, name: str) -> Region | None:
        """Return the region with the given name, or ``None``."""
        return next((region for region in self.regions if region.name == name), None)

    def find_link(self, first: str, second: str) -> Link | None:
        """Return the link between two regions, given in either order, or ``None``."""
        ends = {first, second}
        return next((link for link in self.links if {link.first, link.second} == ends), None)

    def one_way_seconds(self, first: str, second: str) -> float:
        """Return the one-way delay between two regions; 0 if they have no link."""
        link = self.find_link(first, second)
        return link.one_way_seconds if link else 0.0

    def pool_back_ends(self, service: str, region: str) -> tuple[BackEnd, ...]:
        """Return the back ends of one service in one region."""
        return tuple(
            each for each in self.back_ends if each.service == service and each.region == region
        )

    def is_drained(self, back_end: BackEnd) -> bool:
        """Return whether a drain applies to the back end."""
        names = {
            DrainScope.BACK_END: back_end.name,
            DrainScope.ZONE: back_end.zone,
            DrainScope.REGION: back_end.region,
        }
        return any(names[drain.scope] == drain.name for drain in self.drains)

    def find_command(self, command_id: str) -> CommandRecord | None:
        """Return the record of an applied command, or ``None`` if it is not or no longer stored."""
        return next((each for each in self.commands if each.command_id == command_id), None)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the configuration as the JSON document that the platform stores."""
    return msgspec.json.encode(configuration)


def decode_configuration(document: bytes) -> Configuration:
    """Return the configuration in a JSON document.

    Raises:
        msgspec.ValidationError: the document does not match the schema.
    """
    return msgspec.json.decode(document, type=Configuration)
