"""Determines which regions may serve a request, in which order and after what wait."""

from __future__ import annotations

import msgspec

from kitekeel_steering.grant_messages import DemandKey, PoolName
from kitekeel_steering.model import Configuration


class PoolOption(msgspec.Struct, frozen=True):
    """A pool that may serve the request once it has waited for some time.

    Attributes:
        after_seconds: queueing time after which the pool becomes eligible. A request goes to a more
            distant region only after it has waited for as long as the additional round trip takes.
    """

    pool: PoolName
    key: DemandKey
    after_seconds: float


def nearest_regions(configuration: Configuration, service: str, region: str) -> list[str]:
    """Return the regions that have undrained back ends of the service, nearest first."""
    names = {
        back_end.region
        for back_end in configuration.back_ends
        if back_end.service == service and not configuration.is_drained(back_end)
    }
    return sorted(names, key=lambda name: (configuration.one_way_seconds(region, name), name))


def pool_options(
    configuration: Configuration, service: str, region: str, priority_class: str
) -> tuple[PoolOption, ...]:
    """Return the pools for a request received by a daemon in a region, nearest first."""
    regions = nearest_regions(configuration, service, region)
    if not regions:
        return ()
    nearest = configuration.one_way_seconds(region, regions[0])
    return tuple(
        PoolOption(
            PoolName(service, name),
            DemandKey(priority_class),
            2 * (configuration.one_way_seconds(region, name) - nearest),
        )
        for name in regions
    )
