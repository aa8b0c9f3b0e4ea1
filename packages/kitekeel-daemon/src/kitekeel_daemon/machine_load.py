"""Watches how much of its machine a daemon uses, and announces its load level to the others.

The event loop's lateness comes from the timer of the pause detector, so that measuring it wakes the
process no more often. Where the settings state nothing about the machine, no level is announced.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from kitekeel_callers.memory_budget import resident_bytes
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.gateway_settings import MachineSettings
from kitekeel_steering.link_traffic import PROCESS_TRAFFIC, LinkRate
from kitekeel_steering.load_level import LoadLevel, LoadLevelTracker, LoadReading
from kitekeel_steering.load_log_messages import LoadLevelChanged
from kitekeel_steering.loop_lateness import LoopLateness
from kitekeel_steering.machine_capacity import machine_capacity

_READ_SECONDS = 1.0

Announce = Callable[[LoadLevel], None]


class MachineLoad:
    """The capacity and load level of one daemon; used on one event loop.

    Args:
        view: provides the objectives of the configuration.
        read_memory: returns the bytes that the process uses; 0 if they are unknown.

    Attributes:
        capacity: requests per second that the machine bears; 0 if unstated.
        lateness: lateness of the event loop.
    """

    def __init__(
        self,
        machine: MachineSettings,
        view: FleetView,
        clock: Clock,
        log: DecisionLog,
        read_memory: Callable[[], int] | None = None,
    ) -> None:
        self._machine = machine
        self._view = view
        self._log = log
        self._read_memory = read_memory or resident_bytes
        self._link_rate = LinkRate(PROCESS_TRAFFIC, clock)
        self._tracker = LoadLevelTracker(clock)
        self.capacity = machine_capacity(machine)
        self.lateness = LoopLateness(clock)

    @property
    def level(self) -> LoadLevel:
        """Return the level in force."""
        return self._tracker.level

    @property
    def is_stated(self) -> bool:
        """Return whether the settings state anything about the machine."""
        return self._machine != MachineSettings()

    def loops(self, announce: Announce) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops.

        Args:
            announce: tells the other daemons; called on a thread, as it may take seconds.
        """
        return [self._run(announce)] if self.is_stated else []

    def update(self) -> LoadLevel | None:
        """Read the resources; return the level if it has changed."""
        former = self._tracker.level
        objective_seconds = self.shortest_objective_seconds()
        reading = self._reading(objective_seconds)
        level = self._tracker.update(reading)
        if level is former:
            return None
        self._log.state(
            LoadLevelChanged(
                level.name.lower(),
                round(self.lateness.lasting_seconds(), 3),
                objective_seconds,
                round(reading.memory_share, 2),
                round(reading.link_share, 2),
            )
        )
        return level

    async def _run(self, announce: Announce) -> None:
        while True:
            await asyncio.sleep(_READ_SECONDS)
            level = self.update()
            if level is not None:
                await asyncio.to_thread(announce, level)

    def _reading(self, objective_seconds: float) -> LoadReading:
        lateness = self.lateness.lasting_seconds()
        limit = self._machine.memory_bytes
        bandwidth = self._machine.link_bits_per_second
        bits_per_second = self._link_rate.read_bits_per_second()
        return LoadReading(
            lateness_share=lateness / objective_seconds if objective_seconds > 0.0 else 0.0,
            memory_share=self._read_memory() / limit if limit > 0 else 0.0,
            link_share=bits_per_second / bandwidth if bandwidth > 0.0 else 0.0,
        )

    def shortest_objective_seconds(self) -> float:
        """Return the shortest objective of the configuration; 0 if there is none."""
        table = self._view.routes
        if table is None:
            return 0.0
        objectives = [each.objective_seconds for each in table.configuration.routes]
        return min((each for each in objectives if each > 0.0), default=0.0)
