"""Loops that follow the platform: the configuration by a watch, the machine list by polling.

Only a few daemons run them at any time, whatever the number of daemons: the caller of ``run`` says
when this one is among them.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from kitekeel_platform.client import MachineList, PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_steering.errors import PlatformError
from kitekeel_steering.model import Configuration

_WATCH_SECONDS = 20.0
_IDLE_SECONDS = 0.5
_FIRST_PAUSE_SECONDS = 0.25
_MAX_PAUSE_SECONDS = 2.0


class ConfigurationWatch:
    """Follows the configuration document.

    Args:
        store: where it is kept.
        revision: returns the revision this daemon already has.
        on_change: receives a later one.
        is_watcher: tells whether this daemon is to watch at present.
        on_failure: told why the platform could not be asked or read; the former beliefs hold.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        revision: Callable[[], int],
        on_change: Callable[[Configuration], object],
        is_watcher: Callable[[], bool],
        on_failure: Callable[[PlatformError], None],
    ) -> None:
        self._store = store
        self._revision = revision
        self._on_change = on_change
        self._is_watcher = is_watcher
        self._on_failure = on_failure

    def run(self, stop: threading.Event) -> None:
        """Watch until told to stop, slower while the platform does not answer."""
        pause = _FIRST_PAUSE_SECONDS
        while not stop.is_set():
            if not self._is_watcher():
                stop.wait(_IDLE_SECONDS)
                continue
            try:
                found = self._store.watch(self._revision(), _WATCH_SECONDS)
                pause = _FIRST_PAUSE_SECONDS
                if found is not None:
                    self._on_change(found)
            except PlatformError as error:
                self._on_failure(error)
                stop.wait(pause)
                pause = min(_MAX_PAUSE_SECONDS, 2 * pause)


class MachineListPoll:
    """Follows the machine list, which has no watch."""

    def __init__(
        self,
        client: PlatformClient,
        interval_seconds: float,
        on_list: Callable[[MachineList], None],
        is_watcher: Callable[[], bool],
        on_failure: Callable[[PlatformError], None],
    ) -> None:
        self._client = client
        self._interval_seconds = interval_seconds
        self._on_list = on_list
        self._is_watcher = is_watcher
        self._on_failure = on_failure

    def run(self, stop: threading.Event) -> None:
        """Poll until told to stop; a failed poll changes nothing."""
        while not stop.is_set():
            if self._is_watcher():
                try:
                    self._on_list(self._client.machines())
                except PlatformError as error:
                    self._on_failure(error)
            stop.wait(self._interval_seconds)
