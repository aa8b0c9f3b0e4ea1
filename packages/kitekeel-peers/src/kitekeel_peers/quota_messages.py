"""Messages between daemons that transfer request tokens."""

from __future__ import annotations

from typing import Annotated

import msgspec

from kitekeel_steering.tenant_quota import QuotaShares

_Tokens = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class QuotaWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one limit that a daemon asks for, or gives back where they are negative.

    Attributes:
        shares: the tenant's, by the sender's configuration; used where the keeper's own does not
            name the tenant yet.
    """

    tenant: str
    tokens: _Tokens
    shares: QuotaShares


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Lends seconds to the keeper of a group of tenants, and asks for tokens.

    Attributes:
        sender: peer address of the daemon.
        seconds: time since its last loan; 0 from another keeper, which lends nothing.
        daemons: how many daemons share the limits by the sender's count.
        is_keeper: whether the tokens go to or come from the pool of another region.
        lenders: how many daemons lend to the keeper that forwards these tokens; 0 if none are
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
    """Tokens of one tenant that are the asker's from now on."""

    tenant: str
    tokens: int


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """What there was of the wanted tokens; tenants without any are left out."""

    grants: tuple[QuotaGrant, ...]
