"""Typed messages between daemons, encoded as MessagePack arrays by msgspec."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.events import Stamp
from kitekeel_steering.key_table import KeyRecord
from kitekeel_steering.progress import PartProgress


class MemberState(enum.IntEnum):
    """State of a member; among records of one counter the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberPhase(enum.IntEnum):
    """How far a daemon is in its life, as it says itself."""

    STARTING = 0
    SERVING = 1
    LEAVING = 2


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the daemons tell each other about one daemon instance.

    Attributes:
        instance: unique for each process start.
        place: number of the entry machine in its region, from 1.
        counter: raised by the member itself to refute a suspicion.
        phase: how far it is in its life; callers are sent only to one that is serving.
        successor: the instance that answers for its keys after it has left.
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

    @property
    def is_serving(self) -> bool:
        """Tell whether the member is alive, not suspected, and open to new work."""
        return self.state is MemberState.ALIVE and self.phase is MemberPhase.SERVING

    def outranks(self, other: MemberRecord) -> bool:
        """Tell whether this record is newer than another one of the same instance."""
        if other.state is MemberState.LEFT:
            return False
        if self.state is MemberState.LEFT:
            return True
        return (self.counter, self.state) > (other.counter, other.state)


def describe_state(record: MemberRecord) -> str:
    """Return a member's state in a word, for people."""
    if record.state is MemberState.ALIVE:
        return record.phase.name.lower()
    return record.state.name.lower()


class ProbeRequest(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat with news.

    Attributes:
        progress: for each part of its state, how far the sender knows it.
        digest: hash over all member records the sender knows.
        target: the member to be probed on the sender's behalf; empty for the receiver itself.
    """

    sender: str
    stamp: Stamp
    updates: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    digest: int
    target: str = ""


class ProbeReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a heartbeat."""

    instance: str
    stamp: Stamp
    updates: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    digest: int
    reached: bool = True


class JoinRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for every member record, giving one's own."""

    record: MemberRecord
    stamp: Stamp


class JoinReply(msgspec.Struct, frozen=True, array_like=True):
    """Every member record, and the sender's progress as in a heartbeat."""

    records: tuple[MemberRecord, ...]
    progress: tuple[PartProgress, ...]
    stamp: Stamp


class PeerProgress(msgspec.Struct, frozen=True):
    """What another daemon told of its progress, part by part.

    Two daemons of different versions may tell of different numbers of parts; those that both have
    are compared.
    """

    address: str
    parts: tuple[PartProgress, ...]

    def parts_ahead_of(self, own: tuple[PartProgress, ...]) -> list[int]:
        """Return the parts, by number, that are known further there than here."""
        pairs = zip(self.parts, own, strict=False)
        return [
            part for part, (there, here) in enumerate(pairs) if there.last_change > here.last_change
        ]

    def parts_unlike(self, own: tuple[PartProgress, ...]) -> list[int]:
        """Return the parts that are known as far there as here, but believed otherwise."""
        pairs = zip(self.parts, own, strict=False)
        return [part for part, (there, here) in enumerate(pairs) if _contradict(there, here)]


def _contradict(there: PartProgress, here: PartProgress) -> bool:
    if there.last_change != here.last_change or not (there.fingerprint and here.fingerprint):
        return False
    return there.fingerprint != here.fingerprint


class PullRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the configuration if it is later than a revision."""

    later_than: int


class PullReply(msgspec.Struct, frozen=True, array_like=True):
    """The configuration document, empty where there is no later one."""

    revision: int
    document: bytes


class SpreadTarget(msgspec.Struct, frozen=True, array_like=True):
    """A daemon that is to take a configuration."""

    instance: str
    peer_address: str


class SpreadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tells of a revision; the receiver takes it and passes it on to its part of the targets."""

    revision: int
    source_address: str
    targets: tuple[SpreadTarget, ...]
    remaining_seconds: float


class SpreadReply(msgspec.Struct, frozen=True, array_like=True):
    """The instances on which the revision, or a later one, is in force."""

    confirmed: tuple[str, ...]


class HandoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hands a part of a stopping instance's keys to its successor."""

    source: str
    records: tuple[KeyRecord, ...]


class HandoverReply(msgspec.Struct, frozen=True, array_like=True):
    """Tells that the records were taken over."""

    accepted: bool
