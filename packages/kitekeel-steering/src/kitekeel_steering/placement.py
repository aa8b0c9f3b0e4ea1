"""Which regions may take a request, in which order, and from when on."""

from __future__ import annotations

import msgspec

from kitekeel_steering.grant_messages import DemandKey, PoolName
from kitekeel_steering.model import Configuration


class Candidate(msgspec.Struct, frozen=True):
    """A pool that may take the request once it has waited for some time.

    Attributes:
        after_seconds: time in the queue from which the pool comes into question. A request goes to
            a farther region only after waiting as long as the way there and back would add.
    """

    pool: PoolName
    key: DemandKey
    after_seconds: float


def nearest_regions(configuration: Configuration, service: str, region: str) -> list[str]:
    """Return the regions with back ends of the service that are not drained, nearest first."""
    names = {
        back_end.region
        for back_end in configuration.back_ends
        if back_end.service == service and not configuration.is_drained(back_end)
    }
    return sorted(names, key=lambda name: (configuration.one_way_seconds(region, name), name))


def candidates(
    configuration: Configuration, service: str, region: str, priority_class: str
) -> tuple[Candidate, ...]:
    """Return the pools for a request of a daemon in a region, nearest first."""
    regions = nearest_regions(configuration, service, region)
    if not regions:
        return ()
    nearest = configuration.one_way_seconds(region, regions[0])
    return tuple(
        Candidate(
            PoolName(service, name),
            DemandKey(priority_class),
            2 * (configuration.one_way_seconds(region, name) - nearest),
        )
        for name in regions
    )
