"""Sends the in-memory counters to statsd from a background loop, in one packet per second."""

from __future__ import annotations

import threading

import statsd

from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.settings import MetricsSettings

_INTERVAL_SECONDS = 1.0


class StatsdSender:
    """Sends the increase of each counter since the previous send.

    Sending from a loop instead of at each increment keeps system calls out of the hot paths.
    """

    def __init__(self, metrics: MemoryMetrics, settings: MetricsSettings, name: str) -> None:
        self._metrics = metrics
        self._address = settings.address
        self._prefix = f"{settings.prefix}.{name}"
        self._sent: dict[str, int] = {}

    def run(self, stop: threading.Event) -> None:
        """Send periodically until ``stop`` is set."""
        if not self._address:
            return
        host, _, port = self._address.rpartition(":")
        client = statsd.StatsClient(host.strip("[]"), int(port), prefix=self._prefix)
        while not stop.wait(_INTERVAL_SECONDS):
            with client.pipeline() as pipeline:
                for name, count in self._metrics.snapshot().items():
                    grown = count - self._sent.get(name, 0)
                    self._sent[name] = count
                    if grown:
                        pipeline.incr(name, grown)
