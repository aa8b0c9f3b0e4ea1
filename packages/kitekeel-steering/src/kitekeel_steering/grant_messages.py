"""Messages between a holder of slot grants and the keeper of a pool.

A pool consists of the back ends of one service in one region. An exchange takes about 100 bytes
plus 20 for each back end in it.
"""

from __future__ import annotations

import enum

import msgspec


class PoolName(msgspec.Struct, frozen=True, array_like=True):
    """Identifies the back ends of one service in one region."""

    service: str
    region: str

    def __str__(self) -> str:
        return f"{self.service}/{self.region}"


class DemandKey(msgspec.Struct, frozen=True, array_like=True):
    """What slots are requested for: a class, and the shift that moves the work (empty for none)."""

    priority_class: str
    shift: str = ""


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """The number of slots that a holder requests for one key.

    Attributes:
        needed: slots in use and requests waiting.
        spare: additional slots that it would keep idle for upcoming requests.
    """

    key: DemandKey
    needed: int
    spare: int


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The slots of one back end that a holder keeps.

    Attributes:
        kept: slots that it continues to hold; never fewer than those in use.
        in_use: slots that are running work.
    """

    back_end: str
    kept: int
    in_use: int


class ResultCount(msgspec.Struct, frozen=True, array_like=True):
    """Successes and failures of one back end since the last exchange."""

    back_end: str
    successes: int
    failures: int
    total_seconds: float


class ExchangeRequest(msgspec.Struct, frozen=True, array_like=True):
    """A holder's request to the keeper, which also renews its grants.

    Attributes:
        place: the entry machine's number in its region, 0 for a holder of another region.
        sequence: increases with each request, so that late messages can be detected.
        key_use: slots in use under each key, which the keeper counts against caps.
        keeper: the addressed instance; a new process at the same address must not answer for it.
        echo: ``keeper_time`` of this keeper's last reply, 0 for none. The request was sent after
            that reply, so the keeper can date the vote by its own clock without any assumption
            about network delay.
        after_silence: whether the holder switched to this keeper because the previous one stopped
            responding.
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
    """How many slots the holder may use for one key."""

    key: DemandKey
    slots: int


class KeeperState(enum.Enum):
    """Whether the addressed daemon may grant slots."""

    GRANTING = "granting"
    NO_AUTHORITY = "no-authority"
    RESIGNED = "resigned"


class ExchangeReply(msgspec.Struct, frozen=True, array_like=True):
    """The keeper's grants, which are valid for the grant lifetime from the sending of the request.

    Attributes:
        authority: the share of the pool that the keeper may grant.
        keeper_time: the keeper's monotonic time, to be echoed in the next request.
    """

    sequence: int
    state: KeeperState
    allowances: tuple[Allowance, ...]
    quotas: tuple[Quota, ...]
    authority: float
    keeper_time: float = 0.0
