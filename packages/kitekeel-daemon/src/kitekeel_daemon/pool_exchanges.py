"""Manages exchange threads: permanent for pools of the own region, on demand for other pools."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import msgspec

from kitekeel_peers.grant_exchanges import GrantExchanges
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.model import Configuration

_REVIEW_SECONDS = 1.0
_IDLE_SECONDS = 10.0


class _RunningExchange(msgspec.Struct):
    """A running exchange thread and its stop event."""

    exchanges: GrantExchanges
    stop: threading.Event


class PoolExchanges:
    """Starts and stops the exchange threads.

    Args:
        region: this daemon's region.
        make_exchanges: creates the exchanges of a pool.
        is_idle: returns whether a pool has not been used for a number of seconds.
    """

    def __init__(
        self,
        region: str,
        make_exchanges: Callable[[PoolName], GrantExchanges],
        is_idle: Callable[[PoolName, float], bool],
    ) -> None:
        self._region = region
        self._make_exchanges = make_exchanges
        self._is_idle = is_idle
        self._lock = threading.Lock()
        self._running: dict[PoolName, _RunningExchange] = {}
        self._requested_pools: queue.SimpleQueue[PoolName] = queue.SimpleQueue()
        self._home_pools: frozenset[PoolName] = frozenset()

    def configure(self, configuration: Configuration) -> None:
        """Adopt a configuration, and start an exchange for each pool of the own region."""
        self._home_pools = frozenset(
            PoolName(each.service, each.region)
            for each in configuration.back_ends
            if each.region == self._region
        )
        for pool in self._home_pools:
            self.ask(pool)

    def ask(self, pool: PoolName) -> None:
        """Request slots from a pool soon, starting its thread if needed; never blocks."""
        running = self._running.get(pool)
        if running is None:
            self._requested_pools.put(pool)
        else:
            running.exchanges.ask_soon()

    def run(self, stop: threading.Event) -> None:
        """Start threads for requested pools and stop unused ones, until ``stop`` is set."""
        while not stop.is_set():
            try:
                self._start(self._requested_pools.get(timeout=_REVIEW_SECONDS))
            except queue.Empty:
                self._stop_unused()
        with self._lock:
            for running in self._running.values():
                running.stop.set()

    def _start(self, pool: PoolName) -> None:
        with self._lock:
            if pool in self._running:
                return
            running = _RunningExchange(self._make_exchanges(pool), threading.Event())
            self._running[pool] = running
        name = f"exchange-{pool}"
        threading.Thread(
            target=running.exchanges.run, args=(running.stop,), name=name, daemon=True
        ).start()

    def _stop_unused(self) -> None:
        with self._lock:
            for pool, running in list(self._running.items()):
                if pool not in self._home_pools and self._is_idle(pool, _IDLE_SECONDS):
                    running.stop.set()
                    del self._running[pool]
