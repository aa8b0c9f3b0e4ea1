"""Typed messages between daemons, encoded as MessagePack arrays by msgspec."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.events import Stamp
from kitekeel_steering.key_table import KeyRecord
from kitekeel_steering.load_level import LoadLevel, stated_load_level
from kitekeel_steering.progress import PartProgress


class MemberState(enum.IntEnum):
    """State of a member; of two records with equal counters, the one with the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberPhase(enum.IntEnum):
    """Lifecycle phase of a daemon, as announced by itself."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """Membership record of one daemon instance, as exchanged between daemons.

    Attributes:
        instance: unique for each process start.
        place: number of the entry machine in its region, from 1.
        counter: incarnation number, raised by the member itself to refute a suspicion.
        phase: lifecycle phase; callers are sent only to serving members.
        successor: the instance responsible for its keys after it has left.
        relay_address: ``IP:port`` at which it connects others to back ends; empty if it does not.
        capacity: requests per second that its machine bears; 0 if it states none.
        load_level: a number of :class:`LoadLevel`; an integer, as later versions may add levels.
    """

    instance: str
    region: str
    zone: str
    place: int
    peer_address: str
    caller_address: str
    operator_address: str
    counter: int = 0
    state: MemberState = MemberState.ALIVE
    phase: MemberPhase = MemberPhase.STARTING
    successor: str = ""
    relay_address: str = ""
    capacity: int = 0
    load_level: int = LoadLevel.NORMAL

    @property
    def is_serving(self) -> bool:
        """Return whether the member is alive, not suspected, and accepts new work."""
        return self.state is MemberState.ALIVE and self.phase is MemberPhase.SERVING

    def outranks(self, other: MemberRecord) -> bool:
        """Return whether this record supersedes another one of the same instance.

        Records pass through daemons of former versions, which drop the fields that they do not
        know. Of two otherwise equal records, the one that has them is kept.
        """
        if other.state is MemberState.LEFT:
            return False
        if self.state is MemberState.LEFT:
            return True
        own = (self.counter, self.state, self.capacity, self.load_level)
        return own > (other.counter, other.state, other.capacity, other.load_level)


def describe_state(record: MemberRecord) -> str:
    """Return a human-readable word for a member's state."""
    if record.state is MemberState.ALIVE:
        return record.phase.name.lower()
    return record.state.name.lower()


def describe_load(record: MemberRecord) -> str:
    """Return a human-readable word for a member's load; empty if it is normal."""
    level = stated_load_level(record.load_level)
    return "" if level is LoadLevel.NORMAL else level.name.lower()


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that carries membership updates.

    Attributes:
        progress: for each part of its state, how far the sender knows it.
        digest: hash over the sender's records of live members.
        target: the member to probe on the sender's behalf; empty to probe the receiver itself.
    """

    sender: str
    stamp: Stamp
    updates: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    digest: int
    target: str = ""


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a heartbeat."""

    instance: str
    stamp: Stamp
    updates: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    digest: int
    reached: bool = True


class JoinRequest(msgspec.Struct, frozen=True, array_like=True):
    """Sends the sender's record and requests all member records."""

    record: MemberRecord
    stamp: Stamp


class JoinReply(msgspec.Struct, frozen=True, array_like=True):
    """All member records, and the responder's progress as in a heartbeat."""

    records: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    stamp: Stamp


class PeerProgress(msgspec.Struct, frozen=True):
    """Progress of another daemon in each part of its state.

    Daemons of different versions may have different numbers of parts; only common ones are
    compared.
    """

    address: str
    parts: tuple[PartProgress, ...]

    def parts_ahead_of(self, own: tuple[PartProgress, ...]) -> list[int]:
        """Return the indexes of the parts in which the other daemon is ahead of this one."""
        pairs = zip(self.parts, own, strict=False)
        return [part for part, (there, here) in enumerate(pairs) if there.changed > here.changed]

    def conflicting_parts(self, own: tuple[PartProgress, ...]) -> list[int]:
        """Return the indexes of the parts with equal last changes but different contents."""
        pairs = zip(self.parts, own, strict=False)
        return [part for part, (there, here) in enumerate(pairs) if _conflicts(there, here)]


def _conflicts(there: PartProgress, here: PartProgress) -> bool:
    if there.changed != here.changed or not (there.fingerprint and here.fingerprint):
        return False
    return there.fingerprint != here.fingerprint


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests the configuration if it is later than a revision of an era."""

    later_than: int
    era: int = 0


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """The configuration document; empty if there is no later one."""

    revision: int
    document: bytes
    era: int = 0


class SpreadTarget(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that a configuration is to be propagated to."""

    instance: str
    peer_address: str


class SpreadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Announces a revision; the receiver pulls it and forwards this to the given targets."""

    revision: int
    source_address: str
    targets: tuple[SpreadTarget, ...]
    remaining_seconds: float
    era: int = 0


class SpreadReply(msgspec.Struct, frozen=True, array_like=True):
    """The instances on which the revision, or a later one, is in force."""

    confirmed: tuple[str, ...]


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Transfers a part of a stopping instance's keys to its successor."""

    source: str
    records: tuple[KeyRecord, ...]


class HandoverReply(msgspec.Struct, frozen=True, array_like=True):
    """Confirms that the records were imported."""

    accepted: bool
