"""A request that waits for a slot, and the rate at which its class is served."""

from __future__ import annotations

import threading

from kitekeel_steering.errors import NotRunError
from kitekeel_steering.grant_table import SlotHold
from kitekeel_steering.model import PriorityClass
from kitekeel_steering.placement import PoolOption

_RATE_WINDOW_SECONDS = 2.0


class Waiter:
    """One request in the queue of a service.

    Attributes:
        order: the request's order of arrival, which a retry keeps.
        position: sort key of the queue: rank of the class, then order of arrival.
        options: pools that may serve it.
        excluded: back ends that must not be chosen.
        noted: indices of the options whose pools count it as waiting.
        decided: set once the request has a slot or is refused.
        latest_start: monotonic time after which a slot is no longer useful to a waiting request.
    """

    def __init__(
        self,
        priority_class: PriorityClass,
        order: int,
        options: tuple[PoolOption, ...],
        excluded: frozenset[str],
        arrived_at: float,
    ) -> None:
        self.priority_class = priority_class
        self.order = order
        self.position = (priority_class.rank, order)
        self.options = options
        self.excluded = excluded
        self.arrived_at = arrived_at
        self.noted: set[int] = set()
        self.hold: SlotHold | None = None
        self.refusal: NotRunError | None = None
        self.decided = threading.Event()
        self.latest_start = float("inf")


class ServedRate:
    """Requests of one class that got a slot, per second, over the last few seconds."""

    def __init__(self) -> None:
        self._started_at = 0.0
        self._count = 0
        self.per_second = 0.0

    def note(self, now: float) -> None:
        """Count a request that got a slot."""
        elapsed = now - self._started_at
        if elapsed > _RATE_WINDOW_SECONDS:
            self.per_second = self._count / elapsed
            self._started_at = now
            self._count = 0
        self._count += 1
