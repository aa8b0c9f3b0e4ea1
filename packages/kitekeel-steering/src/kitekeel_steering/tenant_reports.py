"""What a gateway tells operators of its tenants' use of their limits."""

from __future__ import annotations

import msgspec

TENANTS_PATH = "/tenants"


class TenantReport(msgspec.Struct, frozen=True):
    """One tenant's requests at one daemon, a second over about the last ten.

    Attributes:
        rate: the limit of all daemons together; 0 for none.
        burst: requests beyond the rate that may come at once.
        keys: how many API keys it has.
        admitted: requests within the limit.
        refused: requests beyond it.
    """

    name: str
    rate: float
    burst: float
    keys: int
    admitted: float
    refused: float


class TenantsReply(msgspec.Struct, frozen=True):
    """A daemon's answer.

    Attributes:
        daemon: its name.
        configuration_version: the version that the limits are of.
        without_keeper: whether it admits its equal part, as no keeper of tokens answers.
        others: metrics addresses of the other daemons that it knows.
    """

    daemon: str
    configuration_version: int
    without_keeper: bool
    others: tuple[str, ...]
    tenants: tuple[TenantReport, ...]
