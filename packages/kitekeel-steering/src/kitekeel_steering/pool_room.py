"""Computes how many slots of each back end of a pool may currently be in use."""

from __future__ import annotations

from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import PoolName, ResultCount
from kitekeel_steering.load_reports import LoadReports
from kitekeel_steering.model import BackEnd, Configuration, Service
from kitekeel_steering.outliers import OutlierDetector

_DEFAULT_WARM_UP_SECONDS = 5.0


class PoolRoom:
    """Derives each back end's room from configuration, drains, reports, answers and warm-up."""

    def __init__(self, pool: PoolName, clock: Clock) -> None:
        self.pool = pool
        self.reports = LoadReports(clock)
        self.outliers = OutlierDetector(clock)
        self._clock = clock
        self._started_at = clock.monotonic()
        self._back_ends: dict[str, BackEnd] = {}
        self._drained: set[str] = set()
        self._leaving: frozenset[str] = frozenset()
        self._warm_up_seconds = _DEFAULT_WARM_UP_SECONDS

    def configure(self, configuration: Configuration, leaving: frozenset[str]) -> None:
        """Apply a configuration and the addresses of machines that are listed as leaving."""
        service: Service | None = configuration.find_service(self.pool.service)
        if service is not None:
            self._warm_up_seconds = service.warm_up_seconds
        pool = configuration.pool_back_ends(self.pool.service, self.pool.region)
        self._back_ends = {each.name: each for each in pool}
        self._drained = {each.name for each in pool if configuration.is_drained(each)}
        self._leaving = leaving

    def back_ends(self) -> list[BackEnd]:
        """Return the pool's back ends."""
        return list(self._back_ends.values())

    def slots(self, back_end: str) -> int:
        """Return the slots configured for a back end, or 0 if it is unknown."""
        found = self._back_ends.get(back_end)
        return found.slots if found else 0

    def note_results(self, results: tuple[ResultCount, ...]) -> list[str]:
        """Count successes and failures; return the back ends ejected as a result."""
        return self.outliers.note(results, len(self._back_ends))

    def room(self, back_end: str, in_flight: int) -> int:
        """Return how many slots may be in use at a back end."""
        found = self._back_ends.get(back_end)
        if found is None or back_end in self._drained or found.address in self._leaving:
            return 0
        if self.outliers.is_ejected(back_end):
            return 0
        room = self.reports.room(back_end, min(found.slots, found.connections), in_flight)
        return min(room, self._warm_up_limit(back_end, found.slots))

    def _warm_up_limit(self, back_end: str, slots: int) -> int:
        """Return the slots that a back end may use while its caches are cold.

        A back end that was already up when this keeper started counts as warm.
        """
        up_since = self.reports.up_since(back_end)
        returned_at = self.outliers.returned_at(back_end)
        starts = [start for start in (up_since, returned_at) if start is not None]
        if not starts or self._warm_up_seconds <= 0:
            return slots
        cold_since = max(starts)
        if cold_since - self._started_at < self._warm_up_seconds and returned_at is None:
            return slots
        warmed = (self._clock.monotonic() - cold_since) / self._warm_up_seconds
        return max(1, min(slots, int(slots * warmed)))
