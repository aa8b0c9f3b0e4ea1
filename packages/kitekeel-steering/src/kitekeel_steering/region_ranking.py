"""Ranks the back ends for a key so that each region serves its own callers as far as it can.

A region keeps the part of its keys that its slots can carry; the others are spread over all
regions. Every daemon of a region works out the same list without any exchange: it depends on the
key, on the back ends, and on how many daemons each region has.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping

import msgspec

from kitekeel_steering.placement_policy import Candidate
from kitekeel_steering.rendezvous import weight

# Rendezvous weights are whole numbers from 0 up to this one.
_WEIGHT_RANGE = float(1 << 64)
_LOCAL_SALT = "local"


class RankedBackEnds(msgspec.Struct, frozen=True):
    """The back ends of a key, the best first.

    Attributes:
        local: those of the own region where the key is to be served there; else empty.
        overall: those of all regions.
    """

    local: tuple[Candidate, ...]
    overall: tuple[Candidate, ...]

    def first(self) -> Candidate | None:
        """Return the back end that serves the key while nothing is wrong with it."""
        return next(iter(self.local or self.overall), None)


class RegionPlan(msgspec.Struct, frozen=True):
    """How the keys that are asked for in one region are divided among the regions.

    Attributes:
        own_region: where the keys are asked for.
        local_share: part of the keys, 0 to 1, whose first back ends are in the own region.
    """

    own_region: str
    local_share: float

    def is_local(self, key: str) -> bool:
        """Tell whether the key's first back ends are in the own region.

        The order in which keys change sides as the share moves is the same in all daemons.
        """
        return _uniform(key, _LOCAL_SALT) < self.local_share

    def rank(
        self,
        key: str,
        candidates: Iterable[Candidate],
        factors: Mapping[str, float] | None = None,
    ) -> RankedBackEnds:
        """Return the back ends in the order of the key's list.

        Args:
            key: what the requests about one object share.
            candidates: the back ends.
            factors: by which part of its slots a back end counts, by instance; 1 where missing.
        """
        weights = factors or {}
        ranked = sorted(
            candidates,
            key=lambda each: _score(key, each, weights.get(each.record.instance, 1.0)),
            reverse=True,
        )
        if not self.is_local(key):
            return RankedBackEnds((), tuple(ranked))
        local = tuple(each for each in ranked if each.region == self.own_region)
        return RankedBackEnds(local, tuple(ranked))


class RegionRoom(msgspec.Struct, frozen=True):
    """The slots of the back ends that may serve a service's keys."""

    own_slots: int
    all_slots: int

    def share(self) -> float:
        """Return the own region's part, 0 to 1."""
        return self.own_slots / self.all_slots if self.all_slots else 0.0


def region_room(own_region: str, candidates: Iterable[Candidate]) -> RegionRoom:
    """Return the slots of one region and of all."""
    slots: dict[str, int] = defaultdict(int)
    for each in candidates:
        slots[each.region] += max(1, each.record.slots)
    return RegionRoom(slots[own_region], sum(slots.values()))


def local_share(
    region: RegionRoom, demand_by_region: Mapping[str, float], own_region: str
) -> float:
    """Return the part of the keys asked for in one region that it keeps, 0 to 1.

    A region whose part of the slots is smaller than its part of the demand keeps so many keys that
    these and its part of the keys that all regions give away fill its slots.

    Args:
        region: the slots.
        demand_by_region: in any unit; what counts is their proportion.
        own_region: where the keys are asked for.
    """
    room = region.share()
    all_demand = sum(demand_by_region.values())
    demand = demand_by_region.get(own_region, 0.0) / all_demand if all_demand else 0.0
    if room >= demand:
        return 1.0
    return room * (1.0 - demand) / (demand * (1.0 - room))


def _score(key: str, candidate: Candidate, factor: float) -> float:
    """Return the score of weighted rendezvous hashing, with slots as weights."""
    uniform = _uniform(key, candidate.record.instance)
    return -max(1, candidate.record.slots) * factor / math.log(uniform)


def _uniform(key: str, name: str) -> float:
    """Return a number above 0 and below 1 that depends on both texts alone."""
    return (weight(key, name) + 0.5) / _WEIGHT_RANGE
