"""Messages between daemons that add up the demand on services short of room."""

from __future__ import annotations

from typing import Annotated

import msgspec

from kitekeel_steering.demand_totals import MAX_REGION_POOLS
from kitekeel_steering.service_demand import ServiceDemand

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_Group = Annotated[int, msgspec.Meta(ge=0, le=1_000)]
_Demands = Annotated[tuple[ServiceDemand, ...], msgspec.Meta(max_length=MAX_REGION_POOLS)]


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """The demand on some pools, sent to the keeper of a group of pools.

    Attributes:
        sender: peer address of the daemon.
        region: the sender's region.
        demands: the sender's own figures, or the sums of its region; empty if it has none left.
        is_region: whether the figures are the sums of the sender's region.
    """

    group: _Group
    sender: _Name
    region: _Name
    demands: _Demands
    is_region: bool = False


class DemandReply(msgspec.Struct, frozen=True, array_like=True):
    """The sums of all regions for the reported pools, or those of the responder's region.

    Attributes:
        is_keeper: whether the responder adds up the reports of its region. If it does not, a reply
            without sums says nothing about its region.
    """

    sums: _Demands
    is_keeper: bool = True
