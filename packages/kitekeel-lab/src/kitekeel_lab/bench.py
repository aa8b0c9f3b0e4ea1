"""Costs of one daemon: processor time of a look-up, and what forwarding adds to a direct call."""

from __future__ import annotations

import statistics
import time

import msgspec
import urllib3

from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import make_deployment, sample_text
from kitekeel_lab.process_usage import processor_seconds

_LOOKUPS = 3000
_REQUESTS = 1500
_WARM_UP = 200
_IDLE_SECONDS = 3.0
_LOOKUP_BAR_MS = 1.0


class LookupReport(msgspec.Struct, frozen=True):
    """Look-ups one after the other on one connection; times in milliseconds."""

    lookups: int
    daemon_processor_ms: float
    p50_ms: float
    p99_ms: float
    bar_ms: float
    held: bool


class OverheadReport(msgspec.Struct, frozen=True):
    """The same requests in turn directly and through a daemon, on one connection each."""

    requests: int
    direct_p50_ms: float
    direct_p99_ms: float
    through_p50_ms: float
    through_p99_ms: float
    added_p50_ms: float
    ratio_p50: float
    daemon_processor_ms: float
    requests_per_second_of_one_core: float


def measure_lookup() -> LookupReport:
    """Measure look-ups at a daemon of a small deployment."""
    deployment = make_deployment(sample_text("catalogue"), 2, 1)
    with Cluster(deployment) as cluster:
        cluster.start()
        cluster.wait_for_grants()
        daemon = deployment.daemons[0]
        pool = _connection(daemon.caller_address)
        target = f"/v1/entries?service=search&zone={daemon.zone}&block=10.0.0.0/24"
        _timed(pool, target, _WARM_UP)
        meter = _ProcessorMeter(cluster.processes[daemon.name].pid)
        times = _timed(pool, target, _LOOKUPS)
        used = meter.milliseconds_each(_LOOKUPS)
    return LookupReport(
        _LOOKUPS, used, _p(times, 50), _p(times, 99), _LOOKUP_BAR_MS, used < _LOOKUP_BAR_MS
    )


def measure_overhead() -> OverheadReport:
    """Measure direct and forwarded requests, one of each in turn."""
    deployment = make_deployment(sample_text("catalogue"), 2, 1)
    with Cluster(deployment) as cluster:
        cluster.start()
        cluster.wait_for_grants()
        daemon = deployment.daemons[0]
        back_end = next(
            each
            for each in deployment.configuration.back_ends
            if each.service == "search" and each.region == daemon.region
        )
        direct = _connection(back_end.address)
        through = _connection(daemon.caller_address)
        query = "work?work_ms=0&answer_bytes=1000"
        direct_target, through_target = f"/{query}", f"/v1/services/search/{query}"
        _timed(direct, direct_target, _WARM_UP)
        _timed(through, through_target, _WARM_UP)
        meter = _ProcessorMeter(cluster.processes[daemon.name].pid)
        direct_times: list[float] = []
        through_times: list[float] = []
        for _ in range(_REQUESTS):
            direct_times += _timed(direct, direct_target, 1)
            through_times += _timed(through, through_target, 1)
        used = meter.milliseconds_each(_REQUESTS)
    return OverheadReport(
        requests=_REQUESTS,
        direct_p50_ms=_p(direct_times, 50),
        direct_p99_ms=_p(direct_times, 99),
        through_p50_ms=_p(through_times, 50),
        through_p99_ms=_p(through_times, 99),
        added_p50_ms=_p(through_times, 50) - _p(direct_times, 50),
        ratio_p50=_p(through_times, 50) / _p(direct_times, 50),
        daemon_processor_ms=used,
        requests_per_second_of_one_core=1000 / used,
    )


def _connection(address: str) -> urllib3.HTTPConnectionPool:
    host, _, port = address.rpartition(":")
    return urllib3.HTTPConnectionPool(host, int(port), maxsize=1, retries=False)


def _timed(pool: urllib3.HTTPConnectionPool, target: str, count: int) -> list[float]:
    times: list[float] = []
    for _ in range(count):
        began_at = time.perf_counter()
        status = pool.request("GET", target).status
        if status != 200:
            raise RuntimeError(f"{target} answered {status}")
        times.append((time.perf_counter() - began_at) * 1000)
    return times


class _ProcessorMeter:
    """Measures a daemon's processor time for some requests, its idle control work left out."""

    def __init__(self, process_id: int) -> None:
        self._process_id = process_id
        self._used_before = processor_seconds(process_id)
        self._began_at = time.monotonic()

    def milliseconds_each(self, requests: int) -> float:
        """Return the processor time of each of the requests made since the start."""
        used = processor_seconds(self._process_id) - self._used_before
        elapsed = time.monotonic() - self._began_at
        return (used - self._idle_share() * elapsed) * 1000 / requests

    def _idle_share(self) -> float:
        before = processor_seconds(self._process_id)
        time.sleep(_IDLE_SECONDS)
        return (processor_seconds(self._process_id) - before) / _IDLE_SECONDS


def _p(times: list[float], percentile: int) -> float:
    return statistics.quantiles(times, n=100)[percentile - 1]
