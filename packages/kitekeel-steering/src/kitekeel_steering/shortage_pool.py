"""One daemon's state of a pool of back ends: its own counts, and the levels while room is short."""

from __future__ import annotations

from kitekeel_steering.admission_window import AdmissionWindow
from kitekeel_steering.demand_counter import DemandCounter
from kitekeel_steering.fair_shares import fair_shares
from kitekeel_steering.service_demand import DemandKey, ServiceDemand
from kitekeel_steering.service_room import (
    ShortagePeriod,
    answer_seconds,
    in_flight_limit,
    service_room,
    service_seconds,
)
from kitekeel_steering.shortage_levels import admission_levels
from kitekeel_steering.shortage_signs import ShortageSigns
from kitekeel_steering.smoothed_demand import SmoothedDemand

_SETTLED_AFTER_SECONDS = 1.0


class ShortagePool:
    """Counts, signs and decisions for one pool; times are monotonic seconds.

    Args:
        name: name of the pool.

    Attributes:
        counter: what this daemon's callers ask of the pool.
        signs: whether the pool may be short, as seen by this daemon.
        room: requests that may be admitted in a second, by the last decision.
        figures: what the last decision was based on; ``None`` without one.
        is_shared: whether the figures include other daemons.
        decided_at: time of the last decision.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.counter = DemandCounter(name)
        self.signs = ShortageSigns()
        self.room = 0.0
        self.figures: ServiceDemand | None = None
        self.is_shared = False
        self.decided_at = 0.0
        self._period = ShortagePeriod()
        self._smoothed = SmoothedDemand()
        self._began_at = 0.0
        self._levels: dict[DemandKey, float] = {}
        self._window = AdmissionWindow()

    @property
    def is_short(self) -> bool:
        """Return whether room is divided at present."""
        return self._period.is_short

    def level(self, key: DemandKey) -> float:
        """Return the admission level of a key; keys that are not counted apart share one."""
        found = self._levels.get(key)
        return found if found is not None else self._levels.get(DemandKey(key.priority), 1.0)

    def present_level(self, key: DemandKey) -> float:
        """Return the level of a key, corrected by what this daemon has in flight."""
        level = self.level(key)
        if level >= 1.0:
            return level
        return min(1.0, level * self._window.correction(self.counter.in_flight))

    def lowest_level(self) -> float:
        """Return the level of the key that is refused most often; 1 without a shortage."""
        return min(self._levels.values(), default=1.0)

    def most_refused(self) -> DemandKey | None:
        """Return the key of which most requests are refused, or ``None`` if none is."""
        if self.figures is None or not self.is_short:
            return None
        refused = {each.key: each.asked - each.admitted for each in self.figures.keys}
        restricted = [key for key, level in self._levels.items() if level < 1.0]
        return max(restricted, key=lambda key: (refused.get(key, 0.0), key), default=None)

    def answer_seconds(self) -> float:
        """Return how long an answer takes at present; 0 if unknown.

        It is unknown at the begin of a shortage: fewer answers than requests have been counted. It
        is also unknown while slots are free: then few answers are due to few requests, or to a
        pause that may be over.
        """
        if self.figures is None or self.decided_at - self._began_at < _SETTLED_AFTER_SECONDS:
            return 0.0
        if self.figures.in_flight < self.figures.slots:
            return 0.0
        return answer_seconds(self.figures, 0.0)

    def service_seconds(self, default: float) -> float:
        """Return how long an answer takes without queueing, or a default if unknown."""
        return service_seconds(self.figures, default) if self.figures is not None else default

    def load_share(self) -> float:
        """Return requests in flight per slot; 0 without a shortage."""
        if self.figures is None or not self.is_short:
            return 0.0
        return self.figures.in_flight / max(1, self.figures.slots)

    def decide(
        self, figures: ServiceDemand, own: ServiceDemand, is_shared: bool, now: float
    ) -> bool:
        """Determine the levels from current figures; return whether a shortage began or ended.

        Args:
            figures: the demand of all daemons, or of this one if no sum is known.
            own: the demand that this daemon counted.
            is_shared: whether ``figures`` include other daemons.
            now: monotonic time in seconds.
        """
        figures = self.figures = self._smoothed.update(figures)
        if is_shared is not self.is_shared:
            # The own part of these requests is another one.
            self._window = AdmissionWindow()
        self.is_shared = is_shared
        self.decided_at = now
        self.room = service_room(figures)
        has_changed = self._period.update(figures, self.room, now)
        if has_changed:
            self._began_at = now
        if self.is_short:
            asked_by_key = {each.key: each.asked for each in figures.keys}
            tenants = {each.key: each.tenants for each in figures.keys}
            shares = fair_shares(self.room, asked_by_key, tenants)
            self._levels = admission_levels(figures, shares)
            asked = figures.asked()
            own_part = own.asked() / asked if asked > 0.0 else 0.0
            self._window.update(in_flight_limit(figures), min(1.0, own_part))
        else:
            self._levels = {}
            self._window = AdmissionWindow()
        return has_changed
