"""Caches each key's list of back ends until the back ends or the key's region change."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from kitekeel_steering.key_division import KeyDivision, RegionObservations
from kitekeel_steering.placement_policy import Candidates
from kitekeel_steering.region_ranking import RankedBackEnds

# A list of 50 back ends takes 0.4 KB; a daemon sees a few hundred keys per minute.
_MAX_LISTS = 2_000


class _CachedList(msgspec.Struct, frozen=True):
    """A key's list, and the inputs from which it was computed."""

    candidates: Candidates
    factors: Mapping[str, float]
    is_local: bool
    ranked: RankedBackEnds


class KeyLists:
    """The lists of one daemon.

    Args:
        own_region: the daemon's region.
        regions: the daemon's observations of all regions.
    """

    def __init__(self, own_region: str, regions: RegionObservations) -> None:
        self._own_region = own_region
        self._regions = regions
        self._divisions: dict[tuple[str, tuple[str, ...]], KeyDivision] = {}
        self._lists: OrderedDict[tuple[str, tuple[str, ...], str], _CachedList] = OrderedDict()

    def ranked(self, service: str, key: str, candidates: Candidates, now: float) -> RankedBackEnds:
        """Return the back ends in the order of the key's list.

        Args:
            service: the service.
            key: affinity key, shared by all requests for the same object.
            candidates: the back ends to which the request may go.
            now: monotonic time in seconds.
        """
        division = self._division(service, candidates, now)
        is_local = division.plan.is_local(key)
        # Tenants with and without home regions may request the same object.
        cache_key = (service, candidates.home_regions, key)
        cached = self._lists.get(cache_key)
        if (
            cached is not None
            and cached.candidates is candidates
            and cached.factors is division.factors
            and cached.is_local is is_local
        ):
            return cached.ranked
        ranked = division.plan.rank(key, candidates.members, division.factors)
        self._lists[cache_key] = _CachedList(candidates, division.factors, is_local, ranked)
        if len(self._lists) > _MAX_LISTS:
            self._lists.popitem(last=False)
        return ranked

    def note_held_back(self, service: str, candidates: Candidates, now: float) -> None:
        """Count a request refused because the region's spillover bound was reached."""
        self._division(service, candidates, now).note_held_back(now)

    def _division(self, service: str, candidates: Candidates, now: float) -> KeyDivision:
        key = (service, candidates.home_regions)
        division = self._divisions.get(key)
        if division is None:
            division = KeyDivision(service, self._own_region, self._regions, candidates, now)
            self._divisions[key] = division
        else:
            division.follow(candidates, now)
        return division
