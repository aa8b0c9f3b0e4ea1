"""Divides the keys of one service among the regions, as back ends and demands change.

The division follows observations that change by steps. What they change is taken over step by
step, since callers expect at most 0.15 of a region's requests to move to other regions from one
window of two seconds to the next while nothing fails.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from kitekeel_steering.gradual_share import GradualShare
from kitekeel_steering.placement_policy import Candidates
from kitekeel_steering.region_ranking import RegionPlan, RegionRoom, local_share, region_room
from kitekeel_steering.slow_start import SlowStart
from kitekeel_steering.spill_pressure import SpillPressure

# Smaller changes of a target are not told: each back end that comes or goes changes it a little.
_LEAST_TOLD_CHANGE = 0.05


class LocalShareTarget(msgspec.Struct, frozen=True):
    """What a region's part of a service's keys moves toward, and why.

    Attributes:
        value: the share at present, 0 to 1.
        target: the share that it moves toward.
        is_shared: whether other regions ask for the same objects.
        is_pressed: whether the region gives keys away since it stays too busy for them.
        room: the own region's part of the slots.
    """

    service: str
    value: float
    target: float
    is_shared: bool
    is_pressed: bool
    room: float


class RegionObservations(msgspec.Struct, frozen=True):
    """What a daemon observes of the regions.

    Attributes:
        demand_by_region: returns how much each region's callers ask for, in any unit; the same
            object until that changes.
        is_shared: tells whether other regions ask for the same objects of a service.
        on_target: is called where a region's share of keys begins to move.
    """

    demand_by_region: Callable[[], Mapping[str, float]]
    is_shared: Callable[[str], bool] = lambda _service: False
    on_target: Callable[[LocalShareTarget], None] = lambda _target: None


class _Observed(msgspec.Struct, frozen=True):
    """What a target was worked out from."""

    candidates: Candidates
    demand_by_region: Mapping[str, float]
    is_shared: bool
    room: RegionRoom


class KeyDivision:
    """How one daemon divides the keys of a service that may go to the same back ends.

    Args:
        service: the service.
        own_region: where the daemon is.
        regions: what the daemon observes of all regions.
        candidates: the back ends at first.
        now: monotonic time in seconds.

    Attributes:
        plan: the division at present.
        factors: by which part of its slots a back end counts at present, where not whole; the same
            object until one of them changes.
    """

    def __init__(
        self,
        service: str,
        own_region: str,
        regions: RegionObservations,
        candidates: Candidates,
        now: float,
    ) -> None:
        self._service = service
        self._own_region = own_region
        self._regions = regions
        self._observed = self._observe(candidates, None)
        self._pressure = SpillPressure()
        self._is_pressed = False
        self._slow_start = SlowStart()
        self._slow_start.observe(candidates.members, now)
        self._target = self._told_target = self._find_target()
        self._share = GradualShare(self._target, now)
        self.plan = RegionPlan(own_region, self._target)
        self.factors = self._slow_start.factors()

    def follow(self, candidates: Candidates, now: float) -> None:
        """Take over what has been observed since, as far as the time allows."""
        if self._has_changed(candidates):
            self._take_over(candidates, now)
        if self._is_pressed is not self._pressure.is_sustained(now):
            self._is_pressed = not self._is_pressed
            self._tell(0.0 if self._is_pressed else self._target)
        wanted = self._pressure.share_to_keep(self._share.value(), self._target, now)
        self._share.follow(wanted, now)
        value = self._share.value()
        if self.plan.local_share != value:
            self.plan = RegionPlan(self._own_region, value)
        if self._slow_start.is_due(now):
            self._slow_start.step(now)
        self.factors = self._slow_start.factors()

    def note_held_back(self, now: float) -> None:
        """Count a request refused since too many had left the region already."""
        self._pressure.note_held_back(now)

    def _has_changed(self, candidates: Candidates) -> bool:
        known = self._observed
        return (
            known.candidates is not candidates
            or known.demand_by_region is not self._regions.demand_by_region()
            or known.is_shared is not self._regions.is_shared(self._service)
        )

    def _take_over(self, candidates: Candidates, now: float) -> None:
        """Find the new target.

        A region that has lost slots cannot serve what it served before, so that its share falls at
        once; the other changes are followed step by step. Where there was no back end at all,
        nothing was placed that could move.
        """
        before = self._observed
        self._observed = observed = self._observe(candidates, before)
        if candidates is not before.candidates:
            self._slow_start.observe(candidates.members, now)
        self._target = self._find_target()
        if not before.room.all_slots:
            self._share = GradualShare(self._target, now)
        elif observed.room.own_slots < before.room.own_slots:
            room_share = local_share(observed.room, observed.demand_by_region, self._own_region)
            self._share.lower_to(room_share, now)
        is_untold = abs(self._target - self._told_target) >= _LEAST_TOLD_CHANGE
        if is_untold and not self._is_pressed:
            self._tell(self._target)

    def _observe(self, candidates: Candidates, before: _Observed | None) -> _Observed:
        if before is not None and before.candidates is candidates:
            room = before.room
        else:
            room = region_room(self._own_region, candidates.members)
        demand = self._regions.demand_by_region()
        return _Observed(candidates, demand, self._regions.is_shared(self._service), room)

    def _find_target(self) -> float:
        """Return the part of the keys that the region keeps in the end.

        Objects that all regions ask for have one list everywhere, so that each has one first back
        end and not one in each region.
        """
        observed = self._observed
        if observed.is_shared:
            return 0.0
        return local_share(observed.room, observed.demand_by_region, self._own_region)

    def _tell(self, target: float) -> None:
        self._told_target = target
        observed = self._observed
        self._regions.on_target(
            LocalShareTarget(
                self._service,
                self._share.value(),
                target,
                observed.is_shared,
                self._is_pressed,
                observed.room.share(),
            )
        )
