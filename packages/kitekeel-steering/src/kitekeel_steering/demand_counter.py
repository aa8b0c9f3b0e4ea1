"""Counts what this daemon's callers ask of a pool of back ends, over a sliding second."""

from __future__ import annotations

import enum
from collections import deque

import msgspec

from kitekeel_steering.service_demand import DemandKey, KeyDemand, ServiceDemand, bounded_keys

_STEP_SECONDS = 0.25
_STEPS = 4


class SendEnd(enum.Enum):
    """How a send ended.

    ``REJECTED``: by a back end without a free slot. ``OTHER``: failed, lost or cancelled.
    """

    COMPLETED = "completed"
    REJECTED = "rejected"
    OTHER = "other"


class _KeyCounts(msgspec.Struct):
    asked: int = 0
    admitted: int = 0
    levels: float = 0.0


class _Step(msgspec.Struct):
    number: int
    completed: int = 0
    rejected: int = 0
    keys: dict[DemandKey, _KeyCounts] = msgspec.field(default_factory=dict)


class DemandCounter:
    """Counts the requests for one pool; called for each request, so all calls are cheap.

    Args:
        pool: name of the pool.

    Attributes:
        in_flight: requests that were sent to back ends and have no answer yet.
    """

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self.in_flight = 0
        self._steps: deque[_Step] = deque(maxlen=_STEPS + 1)
        self._objectives: dict[float, int] = {}

    def note_asked(
        self, key: DemandKey, objective_seconds: float, level: float, is_admitted: bool, now: float
    ) -> None:
        """Count a request that arrived.

        Args:
            key: its priority and tenant.
            objective_seconds: the objective of its route.
            level: the admission level in force for it.
            is_admitted: whether it was admitted.
            now: monotonic time in seconds.
        """
        step = self._current(now)
        counts = step.keys.get(key)
        if counts is None:
            counts = step.keys[key] = _KeyCounts()
        counts.asked += 1
        counts.admitted += is_admitted
        counts.levels += level
        self._objectives[objective_seconds] = step.number

    def note_sent(self) -> None:
        """Count a request that is about to be sent to a back end."""
        self.in_flight += 1

    def note_ended(self, end: SendEnd, now: float) -> None:
        """Count the end of a send."""
        self.in_flight -= 1
        if end is SendEnd.COMPLETED:
            self._current(now).completed += 1
        elif end is SendEnd.REJECTED:
            self._current(now).rejected += 1

    def demand(self, slots: int, now: float) -> ServiceDemand:
        """Return the figures of the last second; ``slots`` are those of the pool's back ends."""
        self._current(now)
        totals: dict[DemandKey, _KeyCounts] = {}
        for step in self._steps:
            for key, counts in step.keys.items():
                total = totals.setdefault(key, _KeyCounts())
                total.asked += counts.asked
                total.admitted += counts.admitted
                total.levels += counts.levels
        seconds = self._seconds(now)
        return ServiceDemand(
            pool=self.pool,
            completed=sum(each.completed for each in self._steps) / seconds,
            in_flight=self.in_flight,
            slots=slots,
            objective_seconds=min(self._objectives, default=0.0),
            keys=bounded_keys(_key_demand(key, each, seconds) for key, each in totals.items()),
            rejected=sum(each.rejected for each in self._steps) / seconds,
        )

    def _seconds(self, now: float) -> float:
        """Return the time that the counts cover: four whole steps and the current one."""
        return _STEPS * _STEP_SECONDS + now % _STEP_SECONDS

    def _current(self, now: float) -> _Step:
        number = int(now / _STEP_SECONDS)
        if self._steps and self._steps[-1].number == number:
            return self._steps[-1]
        step = _Step(number)
        self._steps.append(step)
        while self._steps[0].number < number - _STEPS:
            self._steps.popleft()
        oldest = self._steps[0].number
        self._objectives = {each: at for each, at in self._objectives.items() if at >= oldest}
        return step


def _key_demand(key: DemandKey, counts: _KeyCounts, seconds: float) -> KeyDemand:
    level = min(1.0, counts.levels / counts.asked)
    return KeyDemand(key, counts.asked / seconds, counts.admitted / seconds, level)
