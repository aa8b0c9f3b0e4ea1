"""Leaves room in the homes of tenants for their requests, which cannot go anywhere else.

The load in question: tenants from everywhere have a home in a region with few slots. Their requests
fill it, and what its own callers and the keys spread over all regions send there on top must queue
or be refused, although other regions have room for those.

What homed tenants ask for is told by their limits, which all daemons know alike: lists of back ends
must be the same on every daemon, so that each object stays warm in one place.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from kitekeel_steering.tenants import Tenant

HomedShares = Mapping[tuple[str, ...], float]

# A region always takes a little of what may go anywhere, so that its caches do not get cold.
_LEAST_FACTOR = 0.05


def homed_shares(tenants: Iterable[Tenant]) -> HomedShares:
    """Return the part of all tenants' limits, 0 to 1, that belongs to each set of homes.

    Tenants without a limit say nothing about what they ask for and are left out.
    """
    limited = [each for each in tenants if each.rate > 0]
    total = sum(each.rate for each in limited)
    found: dict[tuple[str, ...], float] = {}
    for each in limited:
        if each.home_regions:
            homes = tuple(sorted(each.home_regions))
            found[homes] = found.get(homes, 0.0) + each.rate / total
    return found


def free_factors(slots_by_region: Mapping[str, int], homed: HomedShares) -> Mapping[str, float]:
    """Return the part of each region's slots that is left beside homed requests, 0 to 1.

    Regions whose slots all are left are not in it.

    Args:
        slots_by_region: slots of one service.
        homed: see :func:`homed_shares`.
    """
    all_slots = sum(slots_by_region.values())
    taken: dict[str, float] = {}
    for homes, share in homed.items():
        slots_of_homes = sum(slots_by_region.get(each, 0) for each in homes)
        for region in homes:
            if slots_of_homes:
                # Of all slots, in proportion to the region's part of the homes.
                part = slots_by_region.get(region, 0) / slots_of_homes
                taken[region] = taken.get(region, 0.0) + share * all_slots * part
    return {
        region: max(_LEAST_FACTOR, 1.0 - slots / slots_by_region[region])
        for region, slots in taken.items()
        if slots_by_region.get(region, 0)
    }
