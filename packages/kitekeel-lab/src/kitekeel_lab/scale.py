"""The scale run: real daemons beside hollow ones; costs, spread, deaths, a cut, replacements."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import urllib3

from kitekeel_lab.child_process import start_python
from kitekeel_lab.cluster import Cluster, wait_until
from kitekeel_lab.deployment import DaemonSpec, Deployment, make_deployment, to_text
from kitekeel_lab.hollow_server import HollowOrder, HollowReport
from kitekeel_lab.ports import free_address
from kitekeel_lab.process_usage import processor_seconds, resident_bytes
from kitekeel_steering.model import BackEnd, Configuration, PriorityClass, Region, Service

_REGIONS = 16
_ZONES_PER_REGION = 3
_REAL_DAEMONS = 4
_HOLLOW_PER_PROCESS = 25
_SERVICES = ("search", "authority", "loans")
_IDLE_SECONDS = 8.0
_JOIN_SECONDS = 90.0
_QUIET_WAIT_SECONDS = 150.0
_EVENT_SECONDS = 40.0
_FROZEN_SECONDS = 6.0
_REPLACED_SHARE = 0.1


class ScaleReport(msgspec.Struct):
    """The figures of one scale run; per daemon unless said otherwise.

    Attributes:
        wire_bytes_per_second: all bytes on the loopback interface, headers included, each counted
            once, over the number of daemons.
        hollow_memory_bytes: resident memory of the hollow processes over their daemons, the bare
            process left out.
        change_seconds: from an operator's command to its confirmation by all.
        death_seconds: until every live daemon counts a killed one as dead.
    """

    daemons: int
    hollow: int
    calls_per_second: float = 0.0
    payload_bytes_per_second: float = 0.0
    wire_bytes_per_second: float = 0.0
    processor_share: float = 0.0
    hollow_memory_bytes: float = 0.0
    real_memory_bytes: float = 0.0
    real_processor_share: float = 0.0
    platform_calls_per_second: float = 0.0
    document_bytes: int = 0
    join_seconds: float = 0.0
    change_seconds: float = 0.0
    change_confirmed: int = 0
    death_seconds: float = 0.0
    zone_back_seconds: float = 0.0
    replaced: int = 0
    replaced_seconds: float = 0.0
    false_suspicions: int = 0


class ScaleRun:
    """One scale run with a number of daemons."""

    def __init__(self, daemons: int) -> None:
        self._report = ScaleReport(daemons, daemons - _REAL_DAEMONS)
        self._deployment, self._hollow = _make_deployment(daemons)
        self._cluster = Cluster(self._deployment)
        self._folder = tempfile.TemporaryDirectory(prefix="kitekeel-scale-")
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        # A kept connection may be closed just when a thawed process finds it idle for too long.
        self._http = urllib3.PoolManager(
            retries=False, timeout=10.0, headers={"Connection": "close"}
        )

    def run(self) -> ScaleReport:
        """Run all parts and return the figures."""
        with self._cluster:
            try:
                self._start()
                self._measure_idle()
                self._measure_change()
                self._measure_death()
                self._measure_zone_cut()
                self._measure_replacements()
            finally:
                for process in self._processes.values():
                    process.kill()
                    process.wait()
        return self._report

    def _start(self) -> None:
        began_at = time.monotonic()
        self._cluster.start_platform()
        names = [each.name for each in self._deployment.daemons]
        for name in names:
            self._cluster.start_daemon(name)
        self._cluster.wait_ready(names)
        self._cluster.apply(self._deployment.text)
        seeds = tuple(each.peer_address for each in self._deployment.daemons)
        for start in range(0, len(self._hollow), _HOLLOW_PER_PROCESS):
            self._start_hollow(tuple(self._hollow[start : start + _HOLLOW_PER_PROCESS]), seeds)
        self._wait_live(self._report.daemons, _JOIN_SECONDS)
        self._report.join_seconds = time.monotonic() - began_at
        self._say(f"{self._report.daemons} joined after {self._report.join_seconds:.1f} s")

    def _start_hollow(self, daemons: tuple[DaemonSpec, ...], seeds: tuple[str, ...]) -> None:
        control = free_address()
        file = Path(self._folder.name) / f"{control}.order"
        file.write_bytes(msgspec.json.encode(HollowOrder(daemons, seeds)))
        with (Path(self._folder.name) / f"{control}.log").open("wb") as log:
            arguments = ["-m", "kitekeel_lab", "hollow", str(file), control]
            self._processes[control] = start_python(arguments, log)
        wait_until(lambda: self._is_up(control), what="a hollow process")

    def _measure_idle(self) -> None:
        # Starting all at once leaves news to be passed on, which no ordinary hour has.
        wait_until(self._is_quiet, _QUIET_WAIT_SECONDS, "the news of the start to end")
        before = self._reports()
        wire, platform, real = (
            _loopback_bytes(),
            self._platform_calls(),
            self._real_processor_seconds(),
        )
        began_at = time.monotonic()
        time.sleep(_IDLE_SECONDS)
        seconds = time.monotonic() - began_at
        after = self._reports()
        report = self._report
        count = max(1, report.hollow)
        report.wire_bytes_per_second = (_loopback_bytes() - wire) / seconds / report.daemons
        report.platform_calls_per_second = (self._platform_calls() - platform) / seconds
        report.real_processor_share = (
            (self._real_processor_seconds() - real) / seconds / _REAL_DAEMONS
        )
        report.calls_per_second = _grown(before, after, "peers.calls_sent") / seconds / count
        sent = _grown(before, after, "peers.bytes_sent")
        received = _grown(before, after, "peers.bytes_received")
        report.payload_bytes_per_second = (sent + received) / seconds / count
        used = sum(each.processor_seconds for each in after.values())
        used -= sum(each.processor_seconds for each in before.values())
        report.processor_share = used / seconds / count
        report.hollow_memory_bytes = self._hollow_memory(after)
        pids = [self._cluster.processes[each.name].pid for each in self._deployment.daemons]
        report.real_memory_bytes = sum(resident_bytes(pid) for pid in pids) / len(pids)
        report.document_bytes = len(self._deployment.text)

    def _measure_change(self) -> None:
        began_at = time.monotonic()
        reply = self._cluster.command("set backend search-1 slots 9")
        self._report.change_seconds = time.monotonic() - began_at
        self._report.change_confirmed = len(reply.in_force)
        wait_until(lambda: self._all_at(reply.revision), _EVENT_SECONDS, "the change everywhere")
        self._say(f"a change was in force on all after {self._report.change_seconds:.2f} s")

    def _measure_death(self) -> None:
        control = list(self._processes)[-1]
        victim = self._hollow[-1].name
        suspected = self._suspicions()
        began_at = time.monotonic()
        self._call(control, f"kill/{victim}")
        self._wait_live(self._report.daemons - 1, _EVENT_SECONDS)
        self._report.death_seconds = time.monotonic() - began_at
        self._report.false_suspicions = suspected
        self._say(f"a death was known to all after {self._report.death_seconds:.1f} s")

    def _measure_zone_cut(self) -> None:
        """Freeze one process's daemons, change the configuration, and let them go on."""
        if not self._processes:
            return
        process = next(iter(self._processes.values()))
        os.kill(process.pid, signal.SIGSTOP)
        time.sleep(_FROZEN_SECONDS)
        reply = self._cluster.command("set backend search-1 slots 8")
        os.kill(process.pid, signal.SIGCONT)
        began_at = time.monotonic()
        wait_until(lambda: self._all_at(reply.revision), _EVENT_SECONDS, "the zone to catch up")
        self._report.zone_back_seconds = time.monotonic() - began_at
        self._wait_live(self._report.daemons - 1, _EVENT_SECONDS)
        self._say(f"a zone caught up {self._report.zone_back_seconds:.1f} s after it came back")

    def _measure_replacements(self) -> None:
        count = max(1, int(_REPLACED_SHARE * self._report.hollow))
        began_at = time.monotonic()
        controls = list(self._processes)
        for index in range(count):
            control = controls[index // _HOLLOW_PER_PROCESS]
            self._call(control, f"replace/{self._hollow[index].name}")
        self._wait_live(self._report.daemons - 1, _EVENT_SECONDS)
        self._report.replaced = count
        self._report.replaced_seconds = time.monotonic() - began_at
        self._say(f"{count} replaced after {self._report.replaced_seconds:.1f} s")

    def _wait_live(self, count: int, seconds: float) -> None:
        wait_until(lambda: self._all_see(count), seconds, f"{count} live members everywhere")

    def _all_see(self, count: int) -> bool:
        statuses = [each for report in self._reports().values() for each in report.statuses]
        return all(each.live == count for each in statuses)

    def _all_at(self, revision: int) -> bool:
        statuses = [each for report in self._reports().values() for each in report.statuses]
        return all(each.revision >= revision for each in statuses)

    def _is_quiet(self) -> bool:
        statuses = [each for report in self._reports().values() for each in report.statuses]
        return all(each.pending_news == 0 for each in statuses)

    def _suspicions(self) -> int:
        statuses = [each for report in self._reports().values() for each in report.statuses]
        return sum(each.suspicions for each in statuses)

    def _reports(self) -> dict[str, HollowReport]:
        return {control: self._call(control, "report") for control in self._processes}

    def _call(self, control: str, path: str) -> HollowReport:
        raw = self._http.request("GET", f"http://{control}/{path}").data
        return msgspec.json.decode(raw, type=HollowReport)

    def _is_up(self, control: str) -> bool:
        try:
            self._call(control, "report")
        except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
            return False
        return True

    def _hollow_memory(self, reports: dict[str, HollowReport]) -> float:
        """Return memory for each further hollow daemon, by the bare interpreter's share taken."""
        bare = _bare_process_bytes()
        total = sum(each.resident_bytes - bare for each in reports.values())
        return total / max(1, self._report.hollow)

    def _platform_calls(self) -> int:
        return sum(self._cluster.platform_counts().values())

    def _real_processor_seconds(self) -> float:
        names = [each.name for each in self._deployment.daemons]
        return sum(processor_seconds(self._cluster.processes[name].pid) for name in names)

    def _say(self, text: str) -> None:
        print(f"scale {self._report.daemons}: {text}", file=sys.stderr)


def run_scale(daemons: int) -> ScaleReport:
    """Run with a number of daemons, some of them real."""
    return ScaleRun(daemons).run()


def _make_deployment(daemons: int) -> tuple[Deployment, list[DaemonSpec]]:
    """Return the real daemons' deployment, and the hollow daemons of the same configuration."""
    per_region = -(-daemons // _REGIONS)
    configuration = _configuration(per_region)
    text = to_text(configuration)
    full = make_deployment(text, per_region)
    chosen = full.daemons[:daemons]
    real = full.daemons[:: max(1, daemons // _REAL_DAEMONS)][:_REAL_DAEMONS]
    hollow = [each for each in chosen if each not in real]
    hollow = hollow[: daemons - len(real)]
    return Deployment(full.configuration, full.text, real), hollow


def _configuration(per_region: int) -> Configuration:
    regions = tuple(
        Region(
            f"region-{number}",
            tuple(f"zone-{number}-{zone}" for zone in range(1, _ZONES_PER_REGION + 1)),
            per_region,
        )
        for number in range(1, _REGIONS + 1)
    )
    classes = (PriorityClass("urgent", 1, 0.5, 1.0), PriorityClass("bulk", 5, 0.1, 0.7))
    back_ends = tuple(
        BackEnd(f"{service}-{number}", service, region.name, zone, free_address(), 5, 130)
        for service in _SERVICES
        for number, (region, zone) in enumerate(
            ((region, zone) for region in regions for zone in region.zones), start=1
        )
    )
    return Configuration(
        regions=regions,
        services=tuple(Service(name, classes, 5.0, 5.0) for name in _SERVICES),
        back_ends=back_ends,
    )


def _grown(before: dict[str, HollowReport], after: dict[str, HollowReport], name: str) -> int:
    def total(reports: dict[str, HollowReport]) -> int:
        return sum(
            each.counters.get(name, 0) for report in reports.values() for each in report.statuses
        )

    return total(after) - total(before)


def _loopback_bytes() -> int:
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, figures = line.partition(":")
        if name.strip() == "lo":
            return int(figures.split()[0])
    return 0


def _bare_process_bytes() -> int:
    """Return the memory of an interpreter that has only imported the hollow daemons' code."""
    code = (
        "import kitekeel_lab.hollow_server; "
        "from kitekeel_lab.process_usage import resident_bytes; "
        "print(resident_bytes('self'))"
    )
    return int(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)
