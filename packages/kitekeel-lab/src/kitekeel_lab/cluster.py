"""Starts a deployment as separate processes, and kills, freezes and stops them one by one."""

from __future__ import annotations

import os
import signal
import subprocess
import tempfile
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import TypeVar

import msgspec
import urllib3

from kitekeel_lab.back_end_messages import BackEndFaults, BackEndRecord, FaultOrder
from kitekeel_lab.child_process import start_python
from kitekeel_lab.deployment import (
    OPERATOR_KEY,
    DaemonSpec,
    Deployment,
    back_end_specs,
    settings_text,
)
from kitekeel_lab.platform_server import PlatformFaults
from kitekeel_lab.policies import Policy
from kitekeel_lab.ports import free_address
from kitekeel_operators.client import DaemonUnreachableError, OperatorClient
from kitekeel_operators.messages import ApplyRequest, CommandReply, QueryReply, StatementRequest
from kitekeel_platform.client import Machine, MachineList
from kitekeel_steering.errors import KitekeelError

_READY_SECONDS = 40.0
_POLL_SECONDS = 0.05
_STOP_SECONDS = 10.0
_LOCAL_POLICY_SECONDS = 2.0

Value = TypeVar("Value")


class ConditionTimeoutError(KitekeelError):
    """A condition that a scenario waits for did not come about."""

    code = "condition-timeout"


def wait_until(
    condition: Callable[[], Value], seconds: float = _READY_SECONDS, what: str = "condition"
) -> Value:
    """Wait until a function returns something true, and return that.

    Raises:
        ConditionTimeoutError: it did not in time.
    """
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise ConditionTimeoutError(f"waited {seconds:g}s for {what}")
        time.sleep(_POLL_SECONDS)


class Cluster:
    """The processes of one deployment; a context manager that ends them all.

    Args:
        deployment: what to start.
        emulate_delays: have back ends add the network's delays.
        listen: where daemons listen, by name, if proxies stand before them.
        platform_address_of: the platform's address given to daemons, if a proxy stands before it.
        policy: how daemons take slots.
    """

    def __init__(
        self,
        deployment: Deployment,
        emulate_delays: bool = False,
        listen: dict[str, DaemonSpec] | None = None,
        platform_address_of: dict[str, str] | None = None,
        policy: Policy = Policy.GRANTS,
    ) -> None:
        self._policy = policy
        self.deployment = deployment
        self.operator_key = OPERATOR_KEY
        self.platform_address = free_address()
        self._emulate_delays = emulate_delays
        self._listen = listen or {}
        self._platform_address_of = platform_address_of or {}
        self._directory = tempfile.TemporaryDirectory(prefix="kitekeel-lab-")
        self._folder = Path(self._directory.name)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._controls: dict[str, str] = {}
        self._frozen: set[str] = set()
        self._http = urllib3.PoolManager(retries=False, timeout=15.0)

    def __enter__(self) -> Cluster:
        """Return itself; processes are started by ``start``."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process that was started here."""
        self.close()

    def start(self) -> None:
        """Start platform, back ends and daemons, and put the configuration into force."""
        self.start_platform()
        self.start_back_ends()
        for daemon in self.deployment.daemons:
            self.start_daemon(daemon.name)
        self.wait_ready([each.name for each in self.deployment.daemons])
        self.apply(self.deployment.text)

    def start_platform(self) -> None:
        """Start the platform stand-in with the machine list of the deployment."""
        self._spawn("platform", ["-m", "kitekeel_lab", "platform", self.platform_address])
        wait_until(lambda: self._answers(f"{self.platform_address}/-/counts"), what="platform")
        self.set_machines(frozenset())

    def start_back_ends(self) -> None:
        """Start the back-end stand-ins, one process for each region."""
        specs = back_end_specs(self.deployment, self._emulate_delays)
        for region in sorted({spec.region for spec in specs}):
            file = self._folder / f"back-ends-{region}.json"
            mine = [spec for spec in specs if spec.region == region]
            file.write_bytes(msgspec.json.encode(mine))
            control = free_address()
            self._controls[region] = control
            name = f"back-ends-{region}"
            self._spawn(name, ["-m", "kitekeel_lab", "back-ends", str(file), control])
        for region, control in self._controls.items():
            wait_until(partial(self._has_started, f"back-ends-{region}", control), what="back ends")

    def _has_started(self, name: str, control: str) -> bool:
        """Tell whether a process of back ends answers; one that has ended never will."""
        if self.processes[name].poll() is not None:
            raise ConditionTimeoutError(f"{name} has ended:\n{self.output(name)}")
        return self._answers(f"{control}/records")

    def start_daemon(self, name: str) -> None:
        """Start a daemon process; a new instance each time."""
        daemon = self.daemon(name)
        seeds = [each.peer_address for each in self.deployment.daemons[:3]]
        platform = self._platform_address_of.get(name, self.platform_address)
        file = self._folder / f"{name}.ini"
        file.write_text(settings_text(daemon, platform, seeds, self._listen.get(name)))
        if self._policy is Policy.GRANTS:
            self._spawn(name, ["-m", "kitekeel_daemon", "--settings", str(file)])
        else:
            self._spawn(name, ["-m", "kitekeel_lab", "policy-daemon", self._policy.name, str(file)])

    def wait_ready(self, names: Iterable[str]) -> None:
        """Wait until daemons answer operators."""
        for name in names:
            wait_until(partial(self.is_ready, name), what=f"daemon {name}")

    def is_ready(self, name: str) -> bool:
        """Tell whether a daemon answers operators."""
        if self.processes[name].poll() is not None:
            raise ConditionTimeoutError(f"daemon {name} has ended:\n{self.output(name)}")
        try:
            self.operator(name).query("show counters")
        except DaemonUnreachableError:
            return False
        return True

    def wait_for_grants(self, at_least: float = 1.0) -> None:
        """Wait until every pool has a keeper that may grant so much of it and holds none back."""
        back_ends = self.deployment.configuration.back_ends
        pools = {f"{each.service}/{each.region}" for each in back_ends}
        wait_until(lambda: self._granting_pools(at_least) >= pools, what="keepers of all pools")

    def wait_for_first_grants(self) -> None:
        """Wait until requests can be served, whatever the policy."""
        if self._policy is Policy.GRANTS:
            self.wait_for_grants()
        else:
            time.sleep(_LOCAL_POLICY_SECONDS)

    def is_usable(self, name: str) -> bool:
        """Tell whether a daemon runs and is not frozen."""
        return name not in self._frozen and self._is_running(name)

    def _granting_pools(self, at_least: float) -> set[str]:
        found: set[str] = set()
        for daemon in self.deployment.daemons:
            if not self.is_usable(daemon.name):
                continue
            rows = self.query("show pools", at=daemon.name).rows
            for pool, role, authority, room, held_back, *_ in rows:
                if role != "keeper" or room == "0" or held_back != "0":
                    continue
                if float(authority) >= at_least:
                    found.add(pool)
        return found

    def daemon(self, name: str) -> DaemonSpec:
        """Return a daemon's specification."""
        return next(each for each in self.deployment.daemons if each.name == name)

    def operator(self, name: str, timeout_seconds: float = 20.0) -> OperatorClient:
        """Return a client of a daemon's operators' interface."""
        address = self.daemon(name).operator_address
        return OperatorClient(address, OPERATOR_KEY, timeout_seconds)

    def first_running(self) -> str:
        """Return the name of a daemon that runs and is not frozen."""
        return next(each.name for each in self.deployment.daemons if self.is_usable(each.name))

    def apply(self, text: str) -> CommandReply:
        """Put a configuration text into force."""
        return self.operator(self.first_running()).apply(ApplyRequest(text))

    def command(self, text: str, command_id: str = "", at: str = "") -> CommandReply:
        """Run an operator's command at some daemon."""
        return self.operator(at or self.first_running()).command(StatementRequest(text, command_id))

    def query(self, text: str, at: str = "") -> QueryReply:
        """Run an operator's query at some daemon."""
        return self.operator(at or self.first_running()).query(text)

    def kill(self, name: str) -> None:
        """Kill a process."""
        self.processes[name].kill()
        self.processes[name].wait()

    def freeze(self, name: str) -> None:
        """Stop a process in its tracks."""
        self._frozen.add(name)
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._frozen.discard(name)
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def stop(self, name: str) -> None:
        """Begin a daemon's planned stop."""
        self.processes[name].terminate()

    def wait_stopped(self, name: str, seconds: float = 60.0) -> int:
        """Wait for a process to end, and return its exit code."""
        return self.processes[name].wait(seconds)

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Tell the platform stand-in to fail."""
        self._put(f"{self.platform_address}/-/faults", msgspec.json.encode(faults))

    def platform_counts(self) -> dict[str, int]:
        """Return the platform's calls by kind."""
        raw = self._http.request("GET", f"http://{self.platform_address}/-/counts").data
        return msgspec.json.decode(raw, type=dict[str, int])

    def set_machines(self, leaving: frozenset[str]) -> None:
        """Set the machine list, with the addresses of those that are leaving."""
        daemons = [Machine("daemon", each.peer_address) for each in self.deployment.daemons]
        back_ends = [
            Machine("backend", each.address, each.address in leaving)
            for each in self.deployment.configuration.back_ends
        ]
        body = msgspec.json.encode(MachineList((*daemons, *back_ends)))
        self._put(f"{self.platform_address}/-/machines", body)

    def set_back_end_faults(self, faults: BackEndFaults, names: tuple[str, ...] = ()) -> None:
        """Tell back ends to fail, all of them where none is named."""
        for control in self._controls.values():
            mine = self._names_at(control, names)
            if mine or not names:
                self._put(f"{control}/faults", msgspec.json.encode(FaultOrder(mine, faults)))

    def stop_back_end(self, name: str) -> None:
        """Stop one back end."""
        self._put(f"{self._control_of(name)}/stop/{name}", b"")

    def start_back_end(self, name: str) -> None:
        """Start one back end again, cold."""
        self._put(f"{self._control_of(name)}/start/{name}", b"")

    def records(self) -> dict[str, BackEndRecord]:
        """Return what every back end has seen."""
        found: dict[str, BackEndRecord] = {}
        for region, control in self._controls.items():
            if not self._is_running(f"back-ends-{region}"):
                continue
            raw = self._http.request("GET", f"http://{control}/records").data
            found.update(msgspec.json.decode(raw, type=dict[str, BackEndRecord]))
        return found

    def runs(self) -> dict[str, int]:
        """Return how often each request id was run, over all back ends."""
        total: dict[str, int] = {}
        for record in self.records().values():
            for request_id, count in record.runs.items():
                total[request_id] = total.get(request_id, 0) + count
        return total

    def output(self, name: str) -> str:
        """Return what a process has printed."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End every process that was started here."""
        for name in list(self._frozen):
            self.thaw(name)
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait(_STOP_SECONDS)
        self._directory.cleanup()

    def _spawn(self, name: str, arguments: list[str]) -> None:
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = start_python(arguments, log)

    def _is_running(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def _answers(self, url: str) -> bool:
        try:
            return self._http.request("GET", f"http://{url}", timeout=1.0).status < 500
        except urllib3.exceptions.HTTPError:
            return False

    def _put(self, url: str, body: bytes) -> None:
        self._http.request("PUT", f"http://{url}", body=body)

    def _control_of(self, back_end: str) -> str:
        found = next(
            each for each in self.deployment.configuration.back_ends if each.name == back_end
        )
        return self._controls[found.region]

    def _names_at(self, control: str, names: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(name for name in names if self._control_of(name) == control)
