"""Messages between daemons that transfer request tokens."""

from __future__ import annotations

from typing import Annotated

import msgspec

from kitekeel_steering.tenant_quota import QuotaShares

_Tokens = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class QuotaWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one limit that a daemon requests, or returns if the number is negative.

    Attributes:
        shares: the tenant's shares in the sender's configuration; used if the keeper's own
            configuration does not contain the tenant yet.
    """

    tenant: str
    tokens: _Tokens
    shares: QuotaShares


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Lends time to the keeper of a group of tenants, and requests tokens.

    Attributes:
        sender: peer address of the daemon.
        seconds: time since its last loan; 0 from another keeper, which lends nothing.
        daemons: number of daemons that share the limits, as counted by the sender.
        is_keeper: whether the tokens go to or come from the pool of another keeper.
        lenders: number of daemons that lend to the keeper that forwards these tokens; 0 if none are
            forwarded.
    """

    group: int
    sender: str
    seconds: float
    daemons: int
    wants: tuple[QuotaWant, ...]
    is_keeper: bool = False
    lenders: _Count = 0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one tenant that are transferred to the requester."""

    tenant: str
    tokens: int


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """The granted tokens; tenants without any are omitted."""

    grants: tuple[QuotaGrant, ...]
