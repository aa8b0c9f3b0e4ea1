"""Keeps each key's list of back ends until the back ends change or the key changes its region."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from kitekeel_steering.key_division import KeyDivision, RegionObservations
from kitekeel_steering.placement_policy import Candidates
from kitekeel_steering.region_ranking import RankedBackEnds

# A list of 50 back ends takes 0.4 KB; a daemon meets some hundred keys in a minute.
_MOST_LISTS = 2_000


class _KnownList(msgspec.Struct, frozen=True):
    """A key's list, and what it was worked out from."""

    candidates: Candidates
    factors: Mapping[str, float]
    is_local: bool
    ranked: RankedBackEnds


class KeyLists:
    """The lists of one daemon.

    Args:
        own_region: where the daemon is.
        regions: what the daemon observes of all regions.
    """

    def __init__(self, own_region: str, regions: RegionObservations) -> None:
        self._own_region = own_region
        self._regions = regions
        self._divisions: dict[tuple[str, tuple[str, ...]], KeyDivision] = {}
        self._lists: OrderedDict[tuple[str, tuple[str, ...], str], _KnownList] = OrderedDict()

    def ranked(self, service: str, key: str, candidates: Candidates, now: float) -> RankedBackEnds:
        """Return the back ends in the order of the key's list.

        Args:
            service: the service.
            key: what the requests about one object share.
            candidates: the back ends that the request may go to.
            now: monotonic time in seconds.
        """
        division = self._division(service, candidates, now)
        is_local = division.plan.is_local(key)
        # Tenants with homes and others may ask for the same object.
        listed_as = (service, candidates.home_regions, key)
        known = self._lists.get(listed_as)
        if (
            known is not None
            and known.candidates is candidates
            and known.factors is division.factors
            and known.is_local is is_local
        ):
            return known.ranked
        ranked = division.plan.rank(key, candidates.members, division.factors)
        self._lists[listed_as] = _KnownList(candidates, division.factors, is_local, ranked)
        if len(self._lists) > _MOST_LISTS:
            self._lists.popitem(last=False)
        return ranked

    def note_held_back(self, service: str, candidates: Candidates, now: float) -> None:
        """Count a request refused since too many had left the region already."""
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
