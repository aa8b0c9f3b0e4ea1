"""Messages between a holder of slot grants and the keeper of a pool.

A pool is the back ends of one service in one region. Sizes: an exchange is some 100 bytes, and 20
for each back end named in it.
"""

from __future__ import annotations

import enum

import msgspec


class PoolName(msgspec.Struct, frozen=True, array_like=True):
    """The back ends of one service in one region."""

    service: str
    region: str

    def __str__(self) -> str:
        return f"{self.service}/{self.region}"


class DemandKey(msgspec.Struct, frozen=True, array_like=True):
    """What slots are asked for: a class, and the shift that moves the work (empty for none)."""

    priority_class: str
    shift: str = ""


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """How many slots a holder asks for under one key.

    Attributes:
        needed: slots in use and requests waiting.
        spare: further slots that it would keep idle for the next requests.
    """

    key: DemandKey
    needed: int
    spare: int


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The slots of one back end that a holder keeps.

    Attributes:
        kept: slots it goes on holding; never fewer than those in use.
        in_use: slots with work on them.
    """

    back_end: str
    kept: int
    in_use: int


class ResultCount(msgspec.Struct, frozen=True, array_like=True):
    """How the answers of one back end went since the last exchange."""

    back_end: str
    successes: int
    failures: int
    total_seconds: float


class ExchangeRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a holder tells the keeper; each one also renews its grants.

    Attributes:
        place: the entry machine's number in its region, 0 for a holder of another region.
        sequence: grows with each request, so that a late one is known as such.
        key_use: slots in use under each key, which the keeper counts against caps.
        keeper: the instance that is asked; a new process at its address must not answer for it.
        echo: ``keeper_time`` of this keeper's last reply, 0 for none. The request was sent after
            it, so the keeper dates the vote by its own clock and trusts no network delay.
        after_silence: the holder turned to this keeper because the last one fell silent.
    """

    pool: PoolName
    holder: str
    origin_region: str
    place: int
    sequence: int
    claims: tuple[Claim, ...]
    demands: tuple[Demand, ...]
    key_use: tuple[Quota, ...]
    results: tuple[ResultCount, ...] = ()
    keeper: str = ""
    echo: float = 0.0
    after_silence: bool = False


class Allowance(msgspec.Struct, frozen=True, array_like=True):
    """How many slots of one back end the holder may use."""

    back_end: str
    slots: int


class Quota(msgspec.Struct, frozen=True, array_like=True):
    """How many slots under one key."""

    key: DemandKey
    slots: int


class KeeperState(enum.Enum):
    """Whether the asked daemon may grant."""

    GRANTING = "granting"
    NO_AUTHORITY = "no-authority"
    RESIGNED = "resigned"


class ExchangeReply(msgspec.Struct, frozen=True, array_like=True):
    """What the keeper grants until the time to live has passed since the request was sent.

    Attributes:
        authority: the share of the pool that the keeper may grant.
        keeper_time: the keeper's monotonic clock, to be echoed in the next request.
    """

    sequence: int
    state: KeeperState
    allowances: tuple[Allowance, ...]
    quotas: tuple[Quota, ...]
    authority: float
    keeper_time: float = 0.0
