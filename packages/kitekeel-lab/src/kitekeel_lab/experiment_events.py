"""Carries the events of an experiment's phase out, at their times."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from kitekeel_lab.back_end_messages import BackEndFaults
from kitekeel_lab.cluster import Cluster
from kitekeel_lab.experiment_plan import PlannedEvent
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.partition import ProxiedNetwork
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.ini import parse_duration


class UnknownActionError(KitekeelError):
    """A plan names an action that there is not."""

    code = "unknown-action"


class EventRunner:
    """Runs events beside a load.

    Attributes:
        done_at: wall-clock time at which each event began, in the plan's order.
    """

    def __init__(self, cluster: Cluster, network: ProxiedNetwork) -> None:
        self._cluster = cluster
        self._network = network
        self.done_at: list[float] = []
        self._actions: dict[str, Callable[[list[str]], None]] = {
            "kill": self._kill,
            "freeze": self._freeze,
            "split": self._split,
            "heal": lambda _: self._network.heal(),
            "command": lambda words: _ignore(self._cluster.command(" ".join(words))),
            "reports": self._reports,
            "slow": self._slow,
            "start": self._start,
        }

    def run(self, events: tuple[PlannedEvent, ...], load: LoadRun) -> None:
        """Carry the events out, each when its time has come."""
        for event in events:
            load.wait_for(event.at_seconds)
            self.done_at.append(time.time())
            verb, *words = event.action.split()
            action = self._actions.get(verb)
            if action is None:
                raise UnknownActionError(f"'{event.action}': no action '{verb}'")
            action(words)

    def keeper_of(self, pool: str) -> str:
        """Return the name of the daemon that keeps a pool."""
        for daemon in self._cluster.deployment.daemons:
            if not self._cluster.is_usable(daemon.name):
                continue
            rows = self._cluster.query("show pools", at=daemon.name).rows
            if any(row[0] == pool and row[1] == "keeper" for row in rows):
                return daemon.name
        raise UnknownActionError(f"nobody keeps {pool}")

    def _kill(self, words: list[str]) -> None:
        """Kill a keeper (``keeper POOL``), a daemon, or all of a region (``region R``)."""
        if words[0] == "region":
            for daemon in self._cluster.deployment.daemons:
                if daemon.region == words[1]:
                    self._cluster.kill(daemon.name)
            self._cluster.kill(f"back-ends-{words[1]}")
            return
        self._cluster.kill(self._name(words))

    def _freeze(self, words: list[str]) -> None:
        """Freeze a daemon for a time: ``keeper POOL TIME`` or ``daemon NAME TIME``."""
        name = self._name(words)
        self._cluster.freeze(name)
        seconds = parse_duration(words[2]) or 0.0
        threading.Timer(seconds, self._cluster.thaw, (name,)).start()

    def _split(self, words: list[str]) -> None:
        """Cut the daemons of a region into those of its one zone and those of the other."""
        region = self._cluster.deployment.configuration.find_region(words[0])
        if region is None:
            raise UnknownActionError(f"no region '{words[0]}'")
        daemons = [each for each in self._cluster.deployment.daemons if each.region == words[0]]
        first = [each.name for each in daemons if each.zone == region.zones[0]]
        second = [each.name for each in daemons if each.zone != region.zones[0]]
        self._network.cut(first, second)

    def _reports(self, words: list[str]) -> None:
        """Stop all load reports (``stop``) or let them go on (``resume``)."""
        faults = BackEndFaults(report_frozen=words[0] == "stop")
        self._cluster.set_back_end_faults(faults)

    def _slow(self, words: list[str]) -> None:
        """Make a back end slower by a factor, while it reports as before: ``BACKEND FACTOR``."""
        faults = BackEndFaults(slow_factor=float(words[1]), report_running=0)
        self._cluster.set_back_end_faults(faults, (words[0],))

    def _start(self, words: list[str]) -> None:
        """Start a daemon again: ``daemon NAME``."""
        self._cluster.start_daemon(self._name(words))

    def _name(self, words: list[str]) -> str:
        return self.keeper_of(words[1]) if words[0] == "keeper" else words[1]


def _ignore(_: object) -> None:
    return None
