"""How many requests a second a pool of back ends can answer within their objective.

Load: more requests than the back ends answer in time, while back ends turn slow, leave or join. The
figures are what the back ends did during the last second, so that a change of their speed needs no
setting. By Little's law an answer takes ``in_flight / completed`` seconds.
"""

from __future__ import annotations

import math

from kitekeel_steering.service_demand import ServiceDemand

# The rest of the objective is left for the spread of queues among the back ends.
_OBJECTIVE_SHARE = 0.6
# Parts of the free slots, and of the difference from the limit beyond them, that are made up for in
# a second. The figures are up to a second old, so that larger parts would overshoot.
_FREE_SLOTS_PER_SECOND = 0.5
_QUEUES_PER_SECOND = 0.25
# Growth of the completed requests that free slots allow within a second at most.
_MAX_GROWTH_FACTOR = 2.0
_FREE_SLOTS_SHARE = 0.5
# Bounds the effect of a second with few completed answers.
_MIN_COMPLETED_SHARE = 0.5
_MIN_ROOM = 1.0
# Rejected sends relative to completed ones at which the back ends' queues are full. Fewer are
# due to the spread among back ends.
_MAX_REJECTED_SHARE = 0.1
_ENDS_AFTER_SECONDS = 2.0
# Standard deviations by which bursts make the requests in flight exceed the slots.
_CHANCE_DEVIATIONS = 2.0


def in_flight_limit(demand: ServiceDemand) -> float:
    """Return how many requests may be in flight so that they are answered within the objective.

    It is at least the number of slots, as slots would be idle otherwise.
    """
    in_time = _OBJECTIVE_SHARE * demand.objective_seconds * demand.completed
    return max(float(demand.slots), in_time)


def service_room(demand: ServiceDemand) -> float:
    """Return how many requests may be admitted in the next second, at least 1.

    While back ends reject requests because their queues are full, no more is admitted than they
    complete, even if longer queues would be answered in time. Free slots are filled nevertheless:
    their back ends are not the ones that reject requests.
    """
    queued = max(demand.in_flight, demand.slots)
    longer_queues = in_flight_limit(demand) - queued
    if longer_queues > 0.0:
        longer_queues *= _queue_share_left(demand)
    free_slots = queued - demand.in_flight
    growth = _FREE_SLOTS_PER_SECOND * free_slots + _QUEUES_PER_SECOND * longer_queues
    return max(
        _MIN_ROOM,
        _MIN_COMPLETED_SHARE * demand.completed,
        demand.completed + growth,
        demand.completed * _free_slots_factor(demand),
    )


def _free_slots_factor(demand: ServiceDemand) -> float:
    """Return by what factor more requests would use half of the slots; 0 if these are used.

    Where work is short, few slots answer many requests a second. Adding requests by the number of
    free slots would then take long to end a shortage that is over. Near the limit the figures are
    too old for a factor.
    """
    factor = _FREE_SLOTS_SHARE * demand.slots / max(1, demand.in_flight)
    return min(_MAX_GROWTH_FACTOR, factor) if factor > 1.0 else 0.0


def _queue_share_left(demand: ServiceDemand) -> float:
    """Return from 0 to 1 how much more the back ends' queues hold, judged by their rejections."""
    most = _MAX_REJECTED_SHARE * demand.completed
    return 1.0 - min(1.0, demand.rejected / most) if most > 0.0 else 1.0


def answer_seconds(demand: ServiceDemand, default: float) -> float:
    """Return how long an answer takes at present, in seconds.

    Args:
        demand: the figures of the pool.
        default: returned if nothing was completed in the last second.
    """
    return demand.in_flight / demand.completed if demand.completed > 0.0 else default


def service_seconds(demand: ServiceDemand, default: float) -> float:
    """Return how long an answer takes without queueing, in seconds.

    Args:
        demand: the figures of the pool.
        default: returned if nothing is running or was completed in the last second.
    """
    running = min(demand.in_flight, demand.slots)
    return running / demand.completed if running and demand.completed > 0.0 else default


class ShortagePeriod:
    """Whether a pool is short of room; stays so until that has been over for some time.

    Attributes:
        is_short: the current state.
    """

    def __init__(self) -> None:
        self.is_short = False
        self._sufficient_since: float | None = None

    def update(self, demand: ServiceDemand, room: float, now: float) -> bool:
        """Update the state from current figures; return whether it has changed.

        Args:
            demand: the figures of the pool.
            room: requests that may be admitted in the next second.
            now: monotonic time in seconds.
        """
        was_short = self.is_short
        exceeds_room = demand.asked() > room
        if not was_short:
            self.is_short = exceeds_room and demand.in_flight > _most_by_chance(demand.slots)
            self._sufficient_since = None
        elif exceeds_room:
            self._sufficient_since = None
        elif self._sufficient_since is None:
            self._sufficient_since = now
        elif now - self._sufficient_since >= _ENDS_AFTER_SECONDS:
            self.is_short = False
        return self.is_short is not was_short


def _most_by_chance(slots: int) -> float:
    return slots + _CHANCE_DEVIATIONS * math.sqrt(slots)
