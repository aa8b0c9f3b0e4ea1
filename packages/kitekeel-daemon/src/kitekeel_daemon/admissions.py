"""Creates one admission per service, and updates them when the configuration changes."""

from __future__ import annotations

import threading
from collections.abc import Callable

from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_table import HolderIdentity
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.model import Configuration
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds


class Admissions:
    """The admissions of all services; safe to call from many threads.

    Args:
        identity: who holds the slots.
        clock: measures waiting times.
        timing: lifetimes and intervals of grants.
        max_waiting: most requests that may wait in this daemon for all services together, since
            each occupies a thread. If the classes have more queue places in total, the places of
            every class are reduced in proportion.
        on_demand: called with a pool from which slots should be requested.
        unavailable: the back ends that must get no requests because of their own announcements.
    """

    def __init__(
        self,
        identity: HolderIdentity,
        clock: Clock,
        timing: GrantTiming,
        max_waiting: int,
        on_demand: Callable[[PoolName], None],
        unavailable: UnavailableBackEnds,
    ) -> None:
        self._unavailable = unavailable
        self._identity = identity
        self._clock = clock
        self._timing = timing
        self._max_waiting = max_waiting
        self._on_demand = on_demand
        self._lock = threading.Lock()
        self._by_service: dict[str, ServiceAdmission] = {}
        self._configuration = Configuration()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to all admissions."""
        self._unavailable.retain(each.name for each in configuration.back_ends)
        with self._lock:
            self._configuration = configuration
            for service in configuration.services:
                self._get_or_create(service.name)
            admissions = list(self._by_service.values())
        for admission in admissions:
            admission.configure(configuration, self._queue_share())

    def find(self, service: str) -> ServiceAdmission:
        """Return the admission of a service, creating it if needed."""
        with self._lock:
            admission = self._by_service.get(service)
            if admission is None:
                admission = self._get_or_create(service)
                admission.configure(self._configuration, self._queue_share())
            return admission

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
        return min(1.0, self._max_waiting / max(1, places))

    def _get_or_create(self, service: str) -> ServiceAdmission:
        admission = self._by_service.get(service)
        if admission is None:
            admission = ServiceAdmission(
                service,
                self._identity,
                self._clock,
                self._timing,
                self._on_demand,
                self._unavailable,
            )
            self._by_service[service] = admission
        return admission
