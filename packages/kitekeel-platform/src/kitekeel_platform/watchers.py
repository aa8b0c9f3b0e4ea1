"""Loops that track the platform's data: the configuration by a watch, the machine list by polling.

Only a few daemons do this at any time, however many daemons there are; the ``is_watcher`` callback
tells the loops whether this daemon is one of them.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from kitekeel_platform.client import MachineList, PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_steering.errors import PlatformError
from kitekeel_steering.model import Configuration
from kitekeel_steering.store_revision import StoreRevision

_WATCH_SECONDS = 20.0
_IDLE_SECONDS = 0.5
_INITIAL_BACKOFF_SECONDS = 0.25
_MAX_BACKOFF_SECONDS = 2.0


class ConfigurationWatch:
    """Tracks the configuration document.

    Args:
        store: the store that holds it.
        order: returns the era and revision that this daemon already has.
        on_change: called with a later configuration, or one of another era.
        is_watcher: returns whether this daemon is to watch at present.
        on_failure: called with the error if the platform did not answer or its answer could not be
            read; the previous configuration stays in use.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        order: Callable[[], StoreRevision],
        on_change: Callable[[Configuration], object],
        is_watcher: Callable[[], bool],
        on_failure: Callable[[PlatformError], None],
    ) -> None:
        self._store = store
        self._order = order
        self._on_change = on_change
        self._is_watcher = is_watcher
        self._on_failure = on_failure

    def run(self, stop: threading.Event) -> None:
        """Watch until told to stop, backing off while the platform does not answer."""
        pause = _INITIAL_BACKOFF_SECONDS
        while not stop.is_set():
            if not self._is_watcher():
                stop.wait(_IDLE_SECONDS)
                continue
            try:
                found = self._store.watch(self._order(), _WATCH_SECONDS)
                pause = _INITIAL_BACKOFF_SECONDS
                if found is not None:
                    self._on_change(found)
                    if found.order < self._order():
                        # The platform is in an earlier era, or another daemon was faster.
                        stop.wait(pause)
            except PlatformError as error:
                self._on_failure(error)
                stop.wait(pause)
                pause = min(_MAX_BACKOFF_SECONDS, 2 * pause)


class MachineListPoll:
    """Polls the machine list, which cannot be watched."""

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
