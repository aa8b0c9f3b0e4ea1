"""Keeps each key's list of back ends until the back ends or the regions' demands change."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from weakref import WeakKeyDictionary

import msgspec

from kitekeel_steering.placement_policy import Candidate, Candidates
from kitekeel_steering.region_ranking import RegionPlan, plan_regions

# A list of 50 back ends takes 0.4 KB; a daemon meets some hundred keys in a minute.
_MOST_LISTS = 2_000


class RegionObservations(msgspec.Struct, frozen=True):
    """What a daemon observes of the regions.

    Attributes:
        demand_by_region: returns how much each region's callers ask for, in any unit; the same
            object until that changes.
        is_shared: tells whether other regions ask for the same objects of a service.
    """

    demand_by_region: Callable[[], Mapping[str, float]]
    is_shared: Callable[[str], bool] = lambda _service: False


class _Planned(msgspec.Struct, frozen=True):
    """A plan, and the observations that it was worked out for."""

    demand_by_region: Mapping[str, float]
    is_shared: bool
    plan: RegionPlan


class _RankedList(msgspec.Struct, frozen=True):
    """A key's list, and the plan that it was worked out by."""

    plan: RegionPlan
    ranked: tuple[Candidate, ...]


class KeyLists:
    """The lists of one daemon.

    Args:
        own_region: where the daemon is.
        regions: what the daemon observes of all regions.
    """

    def __init__(self, own_region: str, regions: RegionObservations) -> None:
        self._own_region = own_region
        self._regions = regions
        self._planned: WeakKeyDictionary[Candidates, _Planned] = WeakKeyDictionary()
        self._lists: OrderedDict[tuple[str, str], _RankedList] = OrderedDict()

    def ranked(self, service: str, key: str, candidates: Candidates) -> tuple[Candidate, ...]:
        """Return the back ends in the order of the key's list."""
        plan = self._plan(service, candidates)
        known = self._lists.get((service, key))
        if known is not None and known.plan is plan:
            return known.ranked
        ranked = plan.rank(key, candidates.members)
        self._lists[service, key] = _RankedList(plan, ranked)
        if len(self._lists) > _MOST_LISTS:
            self._lists.popitem(last=False)
        return ranked

    def _plan(self, service: str, candidates: Candidates) -> RegionPlan:
        """Return how the service's keys are divided.

        Objects that all regions ask for have one list everywhere, so that each has one first back
        end and not one in each region.
        """
        demand = self._regions.demand_by_region()
        is_shared = self._regions.is_shared(service)
        known = self._planned.get(candidates)
        if known and known.demand_by_region is demand and known.is_shared is is_shared:
            return known.plan
        if is_shared:
            plan = RegionPlan(self._own_region, local_share=0.0)
        else:
            plan = plan_regions(self._own_region, candidates.members, demand)
        self._planned[candidates] = _Planned(demand, is_shared, plan)
        return plan
