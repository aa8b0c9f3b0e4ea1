"""Finds out when the processes of back ends that announced their end are gone.

Only then may the back end be used again, since another process may have started in its place.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

from kitekeel_backends.process_state import ProcessState, find_process_state
from kitekeel_steering.model import Configuration
from kitekeel_steering.steady_loop import run_on_steady_loop
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds

_INTERVAL_SECONDS = 0.25
_PROBE_TIMEOUT_SECONDS = 0.5


class LeavingWatch:
    """Connects to the leaving back ends at intervals, without sending a request.

    Args:
        configuration: returns the configuration in force.
        on_gone: called with the name of each back end whose process has ended.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        unavailable: UnavailableBackEnds,
        on_gone: Callable[[str], None],
    ) -> None:
        self._configuration = configuration
        self._unavailable = unavailable
        self._on_gone = on_gone

    def run(self, stop: threading.Event) -> None:
        """Watch until ``stop`` is set."""
        while not stop.wait(_INTERVAL_SECONDS):
            leaving = self._unavailable.leaving()
            addresses = {
                each.name: each.address
                for each in self._configuration().back_ends
                if each.name in leaving
            }
            if addresses:
                run_on_steady_loop(self._check(addresses))

    async def _check(self, addresses: dict[str, str]) -> None:
        probes = (find_process_state(each, _PROBE_TIMEOUT_SECONDS) for each in addresses.values())
        states = await asyncio.gather(*probes)
        for name, state in zip(addresses, states, strict=True):
            if state is ProcessState.GONE:
                self._unavailable.note_gone(name)
                self._on_gone(name)
