"""Measures how many requests a second this machine can carry with a whole cluster running on it.

Callers, daemons, back ends and the platform share the machine's processors. A load that the machine
cannot carry shows how callers and daemons starve each other, not how the daemons steer.
"""

from __future__ import annotations

import os
import resource
import subprocess
import time
from collections.abc import Iterable, Sequence

import msgspec

from kitekeel_lab.child_process import start_python
from kitekeel_lab.cluster import Cluster
from kitekeel_lab.load_messages import LoadStream
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.process_usage import processor_seconds

_LIGHT_PER_SECOND, _HEAVIER_PER_SECOND = 10.0, 90.0
_PROBE_SECONDS = 3.0
_IDLE_SECONDS = 1.0
_SPIN_SECONDS = 0.7
_SPIN = "import time\nend = time.monotonic() + {seconds}\nwhile time.monotonic() < end: pass"
_MIN_REQUEST_SECONDS = 0.0001


class MachineRate(msgspec.Struct, frozen=True):
    """What the machine can carry.

    Attributes:
        processors: processor seconds per second that busy processes get.
        idle_processors: processor seconds per second that the cluster needs without requests.
        request_seconds: processor seconds of all processes for one request.
    """

    processors: float
    idle_processors: float
    request_seconds: float

    def per_second(self) -> float:
        """Return the requests per second at which all processors are busy."""
        return max(0.0, self.processors - self.idle_processors) / self.request_seconds


class _Usage(msgspec.Struct, frozen=True):
    """Processor seconds that some requests took, with everything that ran meanwhile."""

    processor_seconds: float
    requests: int


def measure_machine_rate(cluster: Cluster, streams: Sequence[LoadStream], seed: int) -> MachineRate:
    """Measure the rate with short, light loads of the given mix on a running cluster.

    The cost of a request is the slope between two loads, so that the start of the callers'
    processes and the cluster's own work do not count.

    Args:
        cluster: what is loaded.
        streams: the mix of requests.
        seed: of all random choices; no other load on the cluster may use it.
    """
    processors = available_processors()
    began = _cluster_seconds(cluster)
    time.sleep(_IDLE_SECONDS)
    idle = (_cluster_seconds(cluster) - began) / _IDLE_SECONDS
    light = _probe(cluster, scale_streams(streams, _LIGHT_PER_SECOND), seed)
    # Request ids are made from the seed, and none may be used twice.
    heavier = _probe(cluster, scale_streams(streams, _HEAVIER_PER_SECOND), seed + 1000)
    added = heavier.processor_seconds - light.processor_seconds
    request_seconds = added / max(1, heavier.requests - light.requests)
    return MachineRate(processors, idle, max(_MIN_REQUEST_SECONDS, request_seconds))


def available_processors() -> float:
    """Return the processor seconds per second that as many busy processes as processors get."""
    began, started_at = _ended_children_seconds(), time.monotonic()
    code = _SPIN.format(seconds=_SPIN_SECONDS)
    for each in [start_python(["-c", code], subprocess.DEVNULL) for _ in _processors()]:
        each.wait()
    return (_ended_children_seconds() - began) / (time.monotonic() - started_at)


def scale_streams(streams: Iterable[LoadStream], per_second: float) -> list[LoadStream]:
    """Return the streams with their rates scaled to a total in requests per second."""
    found = list(streams)
    factor = per_second / sum(each.per_second for each in found)
    return [msgspec.structs.replace(each, per_second=each.per_second * factor) for each in found]


def _probe(cluster: Cluster, streams: Sequence[LoadStream], seed: int) -> _Usage:
    began = _cluster_seconds(cluster) + _ended_children_seconds()
    records = LoadRun(cluster, streams, _PROBE_SECONDS, seed).collect()
    used = _cluster_seconds(cluster) + _ended_children_seconds() - began
    return _Usage(used, len(records))


def _processors() -> set[int]:
    return os.sched_getaffinity(0)


def _cluster_seconds(cluster: Cluster) -> float:
    running = [each for each in cluster.processes.values() if each.poll() is None]
    return sum(processor_seconds(each.pid) for each in running)


def _ended_children_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_CHILDREN)
    return usage.ru_utime + usage.ru_stime
