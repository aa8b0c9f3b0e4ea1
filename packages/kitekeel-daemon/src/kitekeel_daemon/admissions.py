"""The admissions of all services, made and configured as the configuration changes."""

from __future__ import annotations

import threading
from collections.abc import Callable

from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_table import HolderIdentity
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.model import Configuration


class Admissions:
    """One admission for each service.

    Args:
        identity: who holds the slots.
        clock: times waits.
        timing: lives of grants.
        most_waiting: requests that may wait in this daemon over all services, since each takes a
            thread. Where the classes' waiting places are more in all, each class gets its part.
        on_demand: called when a pool should be asked for slots.
    """

    def __init__(
        self,
        identity: HolderIdentity,
        clock: Clock,
        timing: GrantTiming,
        most_waiting: int,
        on_demand: Callable[[PoolName], None],
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._timing = timing
        self._most_waiting = most_waiting
        self._on_demand = on_demand
        self._lock = threading.Lock()
        self._by_service: dict[str, ServiceAdmission] = {}
        self._configuration = Configuration()

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration."""
        with self._lock:
            self._configuration = configuration
            for service in configuration.services:
                self._make(service.name)
            admissions = list(self._by_service.values())
        for admission in admissions:
            admission.configure(configuration, self._queue_share())

    def find(self, service: str) -> ServiceAdmission:
        """Return the admission of a service."""
        with self._lock:
            found = self._by_service.get(service)
            if found is None:
                found = self._make(service)
                found.configure(self._configuration, self._queue_share())
            return found

    def all(self) -> list[ServiceAdmission]:
        """Return every admission."""
        with self._lock:
            return list(self._by_service.values())

    def _queue_share(self) -> float:
        places = sum(
            each.queue_places
            for service in self._configuration.services
            for each in service.classes
        )
        return min(1.0, self._most_waiting / max(1, places))

    def _make(self, service: str) -> ServiceAdmission:
        found = self._by_service.get(service)
        if found is None:
            found = ServiceAdmission(
                service, self._identity, self._clock, self._timing, self._on_demand
            )
            self._by_service[service] = found
        return found
