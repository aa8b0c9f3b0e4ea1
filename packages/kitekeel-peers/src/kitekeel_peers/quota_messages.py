"""Messages between daemons about the tokens that tenants' requests take."""

from __future__ import annotations

import msgspec

from kitekeel_steering.tenant_quota import QuotaShares


class QuotaWant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one tenant that a daemon asks for, or gives back where they are negative.

    Attributes:
        shares: the tenant's, by the sender's configuration; used where the keeper's own does not
            name the tenant yet.
    """

    tenant: str
    tokens: int
    shares: QuotaShares


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Lends seconds to the keeper of a group of tenants, and asks for tokens.

    Attributes:
        sender: peer address of the daemon.
        seconds: time since its last loan; 0 from another keeper, which lends nothing.
        daemons: how many daemons share the limits by the sender's count.
        is_keeper: whether the tokens are for the pool of another region.
    """

    group: int
    sender: str
    seconds: float
    daemons: int
    wants: tuple[QuotaWant, ...]
    is_keeper: bool = False


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of one tenant that are the asker's from now on."""

    tenant: str
    tokens: int


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """What there was of the wanted tokens; tenants without any are left out."""

    grants: tuple[QuotaGrant, ...]
