"""Divides the keys of one service among the regions as back ends and demand change.

The observations behind the division change abruptly. Their effect is applied gradually, because
callers expect at most 0.15 of a region's requests to move to other regions from one window of two
seconds to the next while nothing fails.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from kitekeel_steering.gradual_share import GradualShare
from kitekeel_steering.placement_policy import Candidates
from kitekeel_steering.region_ranking import RegionPlan, RegionRoom, local_share, region_room
from kitekeel_steering.slow_start import SlowStart
from kitekeel_steering.spill_pressure import SpillPressure

# Smaller changes of a target are not reported: each added or removed back end changes it a little.
_MIN_REPORTED_CHANGE = 0.05


class LocalShareTarget(msgspec.Struct, frozen=True):
    """The target of a region's share of a service's keys, and its reasons.

    Attributes:
        value: the current share, 0 to 1.
        target: the share toward which it moves.
        is_shared: whether other regions request the same objects.
        is_pressed: whether the region gives keys away because it has been overloaded for a while.
        room: the own region's share of the slots.
    """

    service: str
    value: float
    target: float
    is_shared: bool
    is_pressed: bool
    room: float


class RegionObservations(msgspec.Struct, frozen=True):
    """A daemon's observations of the regions.

    Attributes:
        demand_by_region: returns the demand of each region's callers, in any unit; the same object
            until the demand changes.
        is_shared: returns whether other regions request the same objects of a service.
        on_target: called when a region's share of keys begins to move.
    """

    demand_by_region: Callable[[], Mapping[str, float]]
    is_shared: Callable[[str], bool] = lambda _service: False
    on_target: Callable[[LocalShareTarget], None] = lambda _target: None


class _Observations(msgspec.Struct, frozen=True):
    """The inputs from which a target was computed."""

    candidates: Candidates
    demand_by_region: Mapping[str, float]
    is_shared: bool
    room: RegionRoom


class KeyDivision:
    """One daemon's division of the keys of a service that may go to the same back ends.

    Args:
        service: the service.
        own_region: the daemon's region.
        regions: the daemon's observations of all regions.
        candidates: the initial back ends.
        now: monotonic time in seconds.

    Attributes:
        plan: the current division.
        factors: the current slow-start weights of the back ends whose slots do not count in full;
            the same object until one of them changes.
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
        self._target = self._reported_target = self._compute_target()
        self._share = GradualShare(self._target, now)
        self.plan = RegionPlan(own_region, self._target)
        self.factors = self._slow_start.factors()

    def follow(self, candidates: Candidates, now: float) -> None:
        """Apply new observations, as far as the elapsed time allows."""
        if self._have_observations_changed(candidates):
            self._apply_observations(candidates, now)
        if self._is_pressed is not self._pressure.is_sustained(now):
            self._is_pressed = not self._is_pressed
            self._report_target(0.0 if self._is_pressed else self._target)
        wanted = self._pressure.share_to_keep(self._share.value(), self._target, now)
        self._share.follow(wanted, now)
        value = self._share.value()
        if self.plan.local_share != value:
            self.plan = RegionPlan(self._own_region, value)
        if self._slow_start.is_due(now):
            self._slow_start.step(now)
        self.factors = self._slow_start.factors()

    def note_held_back(self, now: float) -> None:
        """Count a request refused because the region's spillover bound was reached."""
        self._pressure.note_held_back(now)

    def _have_observations_changed(self, candidates: Candidates) -> bool:
        known = self._observed
        return (
            known.candidates is not candidates
            or known.demand_by_region is not self._regions.demand_by_region()
            or known.is_shared is not self._regions.is_shared(self._service)
        )

    def _apply_observations(self, candidates: Candidates, now: float) -> None:
        """Compute the new target.

        A region that has lost slots can no longer serve its previous share, so its share drops
        immediately; other changes are applied gradually. If there was no back end before, no
        request was placed that could move, so the new target applies immediately.
        """
        before = self._observed
        self._observed = observed = self._observe(candidates, before)
        if candidates is not before.candidates:
            self._slow_start.observe(candidates.members, now)
        self._target = self._compute_target()
        if not before.room.all_slots:
            self._share = GradualShare(self._target, now)
        elif observed.room.own_slots < before.room.own_slots:
            room_share = local_share(observed.room, observed.demand_by_region, self._own_region)
            self._share.lower_to(room_share, now)
        is_unreported = abs(self._target - self._reported_target) >= _MIN_REPORTED_CHANGE
        if is_unreported and not self._is_pressed:
            self._report_target(self._target)

    def _observe(self, candidates: Candidates, before: _Observations | None) -> _Observations:
        if before is not None and before.candidates is candidates:
            room = before.room
        else:
            room = region_room(self._own_region, candidates.members)
        demand = self._regions.demand_by_region()
        return _Observations(candidates, demand, self._regions.is_shared(self._service), room)

    def _compute_target(self) -> float:
        """Return the share of the keys that the region should eventually keep.

        Objects that all regions request have the same list everywhere, so that each has a single
        first back end instead of one in each region.
        """
        observed = self._observed
        if observed.is_shared:
            return 0.0
        return local_share(observed.room, observed.demand_by_region, self._own_region)

    def _report_target(self, target: float) -> None:
        self._reported_target = target
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
