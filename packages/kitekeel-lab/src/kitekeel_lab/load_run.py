"""Runs load processes beside a cluster, one for each region's callers."""

from __future__ import annotations

import subprocess
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from kitekeel_lab.child_process import start_python
from kitekeel_lab.cluster import Cluster
from kitekeel_lab.load_messages import LoadOrder, LoadRecord, LoadStream

_START_DELAY_SECONDS = 1.5
_EXTRA_SECONDS = 60.0


class LoadRun:
    """Load on a cluster; started at once, collected at the end.

    Args:
        cluster: what is loaded.
        streams: requests to send.
        seconds: how long arrivals go on.
        seed: of all random choices.
        threads: most requests in flight from each region.
        repeats: how often a request is sent again while its outcome is unknown.
    """

    def __init__(
        self,
        cluster: Cluster,
        streams: Sequence[LoadStream],
        seconds: float,
        seed: int,
        threads: int = 1000,
        repeats: int = 0,
    ) -> None:
        self.seconds = seconds
        self.start_at = time.time() + _START_DELAY_SECONDS
        self._directory = tempfile.TemporaryDirectory(prefix="kitekeel-load-")
        self._folder = Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        known = tuple(each.caller_address for each in cluster.deployment.daemons)
        regions = cluster.deployment.configuration.regions
        for number, region in enumerate(regions):
            mine = tuple(each for each in streams if each.zone in region.zones)
            rotated = known[number:] + known[:number]
            order = LoadOrder(
                mine, self.start_at, seconds, seed + number, rotated, threads, repeats
            )
            self._spawn(region.name, order)

    def elapsed(self) -> float:
        """Return seconds since the first possible arrival."""
        return time.time() - self.start_at

    def wait_for(self, seconds: float) -> None:
        """Wait until so many seconds of the load have passed."""
        time.sleep(max(0.0, seconds - self.elapsed()))

    def collect(self) -> list[LoadRecord]:
        """Wait for the load processes to end, and return all records."""
        records: list[LoadRecord] = []
        for name, process in self._processes.items():
            process.wait(self.seconds + _EXTRA_SECONDS)
            if process.returncode != 0:
                raise RuntimeError(f"load process {name} ended with {process.returncode}")
            raw = (self._folder / f"{name}.result").read_bytes()
            records += msgspec.msgpack.decode(raw, type=list[LoadRecord])
        self._directory.cleanup()
        return records

    def _spawn(self, name: str, order: LoadOrder) -> None:
        order_file = self._folder / f"{name}.order"
        order_file.write_bytes(msgspec.msgpack.encode(order))
        arguments = ["load", str(order_file), str(self._folder / f"{name}.result")]
        log = (self._folder / f"{name}.log").open("wb")
        with log:
            self._processes[name] = start_python(["-m", "kitekeel_lab", *arguments], log)
