"""Watches the configuration and polls the machine list on the platform."""

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
from kitekeel_steering.model import Configuration

# Polling interval. A back end that the list marks as leaving must get no new work after 3 s, not
# counting the delay of the list itself.
_MACHINE_LIST_SECONDS = 1.0

Loop = Callable[[threading.Event], None]


class PlatformFollower:
    """Passes on the platform's data; the last known data stays in use while it is unavailable.

    Args:
        client: queries the platform.
        store: reads the configuration from the platform.
        spread: adopts configurations.
        keeper: notified of the back ends that are leaving.
        recorder: records why the platform is unavailable.
        is_watcher: returns whether this daemon must currently watch the configuration.
        needs_machines: returns whether it must currently poll the machine list.
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
        """Return the peer addresses of the daemons in the machine list."""
        return [each.address for each in self._machine_list.machines if each.role == "daemon"]

    def load_machines(self) -> None:
        """Fetch the machine list once."""
        try:
            self._on_machine_list(self._client.machines())
        except PlatformError as error:
            self._note_failure(error)

    def load_configuration(self) -> None:
        """Read the configuration once."""
        try:
            self._on_configuration(self._store.load())
        except PlatformError as error:
            self._note_failure(error)

    def loops(self) -> list[Loop]:
        """Return the loops to run until the daemon stops."""
        watch = ConfigurationWatch(
            self._store,
            self._spread.order,
            self._on_configuration,
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

    def _on_configuration(self, found: Configuration) -> None:
        """Adopt a configuration, unless it is a copy that lacks commands in force.

        Raises:
            PlatformError: the document in force could not be written again.
        """
        in_force = self._spread.current()
        if not found.is_older_copy_of(in_force):
            self._spread.adopt(found)
            return
        self._recorder.add(
            "platform-restored",
            f"era {found.era}, revision {found.revision}; "
            f"writing revision {in_force.revision} of era {in_force.era} again",
        )
        written = self._store.write_again(found, in_force)
        if written is not None:
            self._spread.adopt(written)

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
        """Record why the platform is unavailable, only when the reason changes."""
        if error.message != self._failure:
            self._failure = error.message
            self._recorder.add("platform-unavailable", error.message)
