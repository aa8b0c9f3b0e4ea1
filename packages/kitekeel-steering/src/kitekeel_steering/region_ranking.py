"""Ranks the back ends for a key so that each region serves its own callers as far as possible.

A region keeps the share of its keys for which it has enough slots; the others are distributed over
all regions. Every daemon of a region computes the same list without any communication: it depends
on the key, the back ends and the number of daemons in each region.
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
    """The back ends for a key, the preferred one first.

    Attributes:
        local: those of the own region if the key is served there; empty otherwise.
        overall: those of all regions.
    """

    local: tuple[Candidate, ...]
    overall: tuple[Candidate, ...]

    def first(self) -> Candidate | None:
        """Return the back end that serves the key unless it is unavailable."""
        return next(iter(self.local or self.overall), None)


class RegionPlan(msgspec.Struct, frozen=True):
    """The division among regions of the keys that are requested in one region.

    Attributes:
        own_region: the region in which the keys are requested.
        local_share: share of the keys, 0 to 1, whose first back ends are in the own region.
    """

    own_region: str
    local_share: float

    def is_local(self, key: str) -> bool:
        """Return whether the key's first back ends are in the own region.

        As the share changes, keys move in the same order in all daemons.
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
            key: affinity key, shared by all requests for the same object.
            candidates: the back ends.
            factors: weight of a back end's slots, by instance; 1 if missing.
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
    """Slots of the back ends that may serve a service's keys."""

    own_slots: int
    all_slots: int

    def share(self) -> float:
        """Return the own region's share, 0 to 1."""
        return self.own_slots / self.all_slots if self.all_slots else 0.0


def region_room(own_region: str, candidates: Iterable[Candidate]) -> RegionRoom:
    """Return the slots of one region and of all regions."""
    slots: dict[str, int] = defaultdict(int)
    for each in candidates:
        slots[each.region] += max(1, each.record.slots)
    return RegionRoom(slots[own_region], sum(slots.values()))


def local_share(
    region: RegionRoom, demand_by_region: Mapping[str, float], own_region: str
) -> float:
    """Return the share of the keys requested in one region that the region keeps, 0 to 1.

    If a region's share of the slots is smaller than its share of the demand, it keeps as many keys
    as fill its slots together with its share of the keys that all regions give away.

    Args:
        region: the slots.
        demand_by_region: demand in any unit; only the proportions matter.
        own_region: the region in which the keys are requested.
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
    """Return a number between 0 and 1, exclusive, that depends only on both strings."""
    return (weight(key, name) + 0.5) / _WEIGHT_RANGE
