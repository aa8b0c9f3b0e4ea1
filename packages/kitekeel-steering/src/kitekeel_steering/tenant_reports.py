"""Reports to operators on how tenants use their limits."""

from __future__ import annotations

import msgspec

TENANTS_PATH = "/tenants"


class TenantReport(msgspec.Struct, frozen=True):
    """One tenant's requests at one daemon, per second over about the last ten seconds.

    Attributes:
        rate: the limit over all daemons; 0 for none.
        burst: requests beyond the rate that may arrive at once.
        keys: number of its API keys.
        admitted: requests within the limit.
        refused: requests beyond the limit.
    """

    name: str
    rate: float
    burst: float
    keys: int
    admitted: float
    refused: float


class TenantsReply(msgspec.Struct, frozen=True):
    """A daemon's response.

    Attributes:
        daemon: name of the daemon.
        configuration_version: the configuration version of the limits.
        without_keeper: whether it admits only its equal part because no quota keeper responds.
        others: metrics addresses of the other known daemons.
    """

    daemon: str
    configuration_version: int
    without_keeper: bool
    others: tuple[str, ...]
    tenants: tuple[TenantReport, ...]
