"""The demonstration: the catalogue network in small, with a shift, a drain and a stop."""

from __future__ import annotations

import time

from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import Deployment, make_deployment, sample_text
from kitekeel_lab.load_messages import LoadRecord, LoadStream
from kitekeel_lab.load_results import summarise
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.machine_rate import measure_machine_rate, scale_streams
from kitekeel_lab.proofs import find_breaches
from kitekeel_lab.workloads import CATALOGUE, make_streams
from kitekeel_operators.messages import QueryReply
from kitekeel_operators.tables import format_table
from kitekeel_operators.timeline import collect_timeline, format_text

_DAEMONS_PER_REGION = 2
_BACK_ENDS_PER_POOL = 2
_LOAD = 0.5
# Part of what the machine can carry; the rest is for bursts and for what else runs there.
_MACHINE_LOAD = 0.5
_MEAN_WORK_SECONDS = 0.12
_SECONDS = 20.0
_SEED = 7
_PROBE_SEED = 107
_SHIFT_AT, _DRAIN_AT, _STOP_AT = 3.0, 8.0, 11.0
_DRAINED_ZONE = "nl-zuid-1"
_MIN_TIMELINE_LINES = 40
# Percentiles of an exponential service time that is cut at four times its mean.
_MEDIAN_FACTOR, _P99_FACTOR = 0.69, 4.0


def run_demo() -> int:
    """Run the demonstration; return 0 if no request was lost, doubled, cut or misreported."""
    deployment = make_deployment(sample_text("catalogue"), _DAEMONS_PER_REGION, _BACK_ENDS_PER_POOL)
    count = len(deployment.daemons)
    print(
        f"starting {count} daemons, {len(deployment.configuration.back_ends)} back ends, platform"
    )
    with Cluster(deployment, emulate_delays=True) as cluster:
        cluster.start()
        cluster.wait_for_grants()
        return _Demo(cluster, deployment).run()


class _Demo:
    """One demonstration on a running cluster."""

    def __init__(self, cluster: Cluster, deployment: Deployment) -> None:
        self._cluster = cluster
        self._deployment = deployment
        self._drained_at = 0.0
        self._stopped = deployment.daemons[0].name
        self._stop_seconds = 0.0

    def run(self) -> int:
        """Load the cluster, command changes, and judge."""
        streams = self._streams()
        load = LoadRun(self._cluster, streams, _SECONDS, _SEED)
        load.wait_for(_SHIFT_AT)
        self._command("shift search from nl-noord to nl-midden by 20% cap 8 over 3s")
        load.wait_for(_DRAIN_AT)
        self._drained_at = time.time()
        self._command(f"drain zone {_DRAINED_ZONE}")
        load.wait_for(_STOP_AT)
        self._stop_daemon()
        records = load.collect()
        return self._judge(streams, records)

    def _streams(self) -> list[LoadStream]:
        """Return the load: a part of the slots, or of what the machine carries if that is less."""
        streams = make_streams(self._deployment.configuration, CATALOGUE, _LOAD, _MEAN_WORK_SECONDS)
        by_slots = sum(stream.per_second for stream in streams)
        machine = measure_machine_rate(self._cluster, streams, _PROBE_SEED)
        print(
            f"machine: {machine.processors:.1f} processors free, {machine.idle_processors:.2f} for "
            f"the idle cluster, {machine.request_seconds * 1000:.1f} ms of processor a request: it "
            f"can carry {machine.per_second():.0f} requests a second"
        )
        rate = min(by_slots, machine.per_second() * _MACHINE_LOAD)
        slots_share = rate / by_slots * _LOAD
        machine_share = rate / max(rate, machine.per_second())
        print(
            f"load: {rate:.0f} requests a second for {_SECONDS:g} s, "
            f"{slots_share:.0%} of the slots, {machine_share:.0%} of what the machine carries"
        )
        return scale_streams(streams, rate)

    def _command(self, text: str) -> None:
        reply = self._cluster.command(text)
        total = len(reply.in_force) + len(reply.missing)
        print(
            f"> {text}\n  revision {reply.revision}, in force on {len(reply.in_force)} of {total}"
        )

    def _stop_daemon(self) -> None:
        print(f"> stop of {self._stopped}")
        began_at = time.monotonic()
        self._cluster.operator(self._stopped).stop()
        code = self._cluster.wait_stopped(self._stopped)
        self._stop_seconds = time.monotonic() - began_at
        print(f"  ended with exit code {code} after {self._stop_seconds:.1f} s")

    def _judge(self, streams: list[LoadStream], records: list[LoadRecord]) -> int:
        truth = self._cluster.records()
        repeatable_streams = {each.name for each in streams if each.request.repeatable}
        repeatable = frozenset(
            each.request_id for each in records if each.stream in repeatable_streams
        )
        breaches = find_breaches(records, truth, repeatable)
        print(format_table(_outcome_table(self._deployment, streams, records)))
        over = sum(record.over_slots for record in truth.values())
        print(f"drain: last new work {self._drain_seconds():.2f} s after the command")
        print(f"planned stop: {self._stop_seconds:.1f} s, look-ups being cached for 2 s")
        print(f"headroom: {self._headroom(len(records)):.0%} of the slots were free on average")
        print(f"work beyond a back end's slots: {over}")
        found = {name: len(getattr(breaches, name)) for name in breaches.__struct_fields__}
        print("breaches: " + ", ".join(f"{name} {count}" for name, count in found.items()))
        self._print_timeline()
        return 1 if breaches.count() or over else 0

    def _drain_seconds(self) -> float:
        zone = {
            each.name
            for each in self._deployment.configuration.back_ends
            if each.zone == _DRAINED_ZONE
        }
        records = self._cluster.records()
        return max(records[name].last_started_at for name in zone) - self._drained_at

    def _headroom(self, requests: int) -> float:
        slots = sum(each.slots for each in self._deployment.configuration.back_ends)
        return 1 - requests * _MEAN_WORK_SECONDS / (_SECONDS * slots)

    def _print_timeline(self) -> None:
        address = self._cluster.daemon(self._cluster.first_running()).operator_address
        key = self._cluster.operator_key
        lines = format_text(collect_timeline(address, key)).splitlines()
        print(f"time line, the last {_MIN_TIMELINE_LINES} of {len(lines)} events:")
        print("\n".join(lines[-_MIN_TIMELINE_LINES:]))


def _outcome_table(
    deployment: Deployment, streams: list[LoadStream], records: list[LoadRecord]
) -> QueryReply:
    """Return one row for each class; the floors are percentiles of the service time itself."""
    columns = (
        "requests",
        "sent",
        "answered",
        "not run",
        "unknown",
        "other",
        "p50",
        "p99",
        "floor p50",
        "floor p99",
    )
    means = {each.name: each.request.work_seconds * 1000 for each in streams}
    rows = []
    for summary in summarise(records, _SECONDS):
        results = dict(summary.results)
        known = [results.pop(name, 0) for name in ("answered", "not-run", "unknown")]
        cells = [summary.sent, *known, sum(results.values())]
        times = [f"{summary.p50_ms:.0f} ms", f"{summary.p99_ms:.0f} ms"]
        mean = means[summary.name]
        floors = [f"{mean * factor:.0f} ms" for factor in (_MEDIAN_FACTOR, _P99_FACTOR)]
        rows.append((summary.name, *(str(cell) for cell in cells), *times, *floors))
    return QueryReply(columns, tuple(rows))
