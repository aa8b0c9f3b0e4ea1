"""Follows what the platform holds for a daemon: the configuration and the machine list."""

from __future__ import annotations

import threading
from collections.abc import Callable

from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.keeper import Keeper
from kitekeel_platform.client import MachineList, PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_platform.watchers import ConfigurationWatch, MachineListPoll
from kitekeel_steering.errors import PlatformError

# A back end that the list calls leaving gets no new work within 3 s, the list's own lag aside.
_MACHINE_LIST_SECONDS = 1.0

Loop = Callable[[threading.Event], None]


class PlatformFollower:
    """Hands on what the platform tells; while it cannot be used, the former beliefs hold.

    Args:
        client: asks the platform.
        store: reads the configuration from it.
        spread: takes configurations.
        keeper: told which back ends are leaving.
        recorder: records why the platform cannot be used.
        is_watcher: tells whether this daemon is to watch the configuration at present.
        needs_machines: tells whether it is to ask for the machine list at present.
    """

    def __init__(
        self,
        client: PlatformClient,
        store: ConfigurationStore,
        spread: ConfigurationSpread,
        keeper: Keeper,
        recorder: EventRecorder,
        is_watcher: Callable[[], bool],
        needs_machines: Callable[[], bool],
    ) -> None:
        self._client = client
        self._store = store
        self._spread = spread
        self._keeper = keeper
        self._recorder = recorder
        self._is_watcher = is_watcher
        self._needs_machines = needs_machines
        self._machine_list = MachineList()
        self._failure = ""

    def daemon_addresses(self) -> list[str]:
        """Return the peers' addresses of the daemons in the machine list."""
        return [each.address for each in self._machine_list.machines if each.role == "daemon"]

    def load_machines(self) -> None:
        """Ask for the machine list once."""
        try:
            self._on_machine_list(self._client.machines())
        except PlatformError as error:
            self._note_failure(error)

    def load_configuration(self) -> None:
        """Read the configuration once."""
        try:
            self._spread.adopt(self._store.load())
        except PlatformError as error:
            self._note_failure(error)

    def loops(self) -> list[Loop]:
        """Return the loops to run until the daemon stops."""
        watch = ConfigurationWatch(
            self._store,
            self._spread.revision,
            self._spread.adopt,
            self._is_watcher,
            self._note_failure,
        )
        poll = MachineListPoll(
            self._client,
            _MACHINE_LIST_SECONDS,
            self._on_machine_list,
            self._needs_machines,
            self._note_failure,
        )
        return [watch.run, poll.run]

    def _on_machine_list(self, machine_list: MachineList) -> None:
        self._machine_list = machine_list
        self._failure = ""
        leaving = (
            each.address
            for each in machine_list.machines
            if each.role == "backend" and each.leaving
        )
        self._keeper.set_leaving(frozenset(leaving))

    def _note_failure(self, error: PlatformError) -> None:
        """Record why the platform cannot be used, once until the reason changes."""
        if error.message != self._failure:
            self._failure = error.message
            self._recorder.add("platform-unavailable", error.message)
