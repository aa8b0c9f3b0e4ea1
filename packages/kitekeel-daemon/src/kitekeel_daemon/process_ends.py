"""Distinguishes the end of a back end's process during a request from a broken connection.

A broken exchange alone is no proof: the back end may have closed the connection, sent an invalid
answer, or be unreachable. Its process is known to be gone if it refuses the next connection at
once, or later if another process answers at its address or its name registers with a later start
time.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from kitekeel_backends.process_state import ProcessState
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.back_end_log_messages import ExchangeBroken
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import ViewChange
from kitekeel_steering.proxied_messages import HeaderNames, ProxiedRequest, find_header
from kitekeel_steering.request_identity import identify

# Covers a round trip between the most distant regions known and the delay of a busy event loop.
_PROBE_TIMEOUT_SECONDS = 0.7
# A process that restarts at once accepts connections before the end of the old one is detected. Its
# new record arrives within two to three seconds.
_UNDECIDED_SECONDS = 4.0
_MAX_UNDECIDED_PER_BACK_END = 100


ProcessProbe = Callable[[BackEndRecord, float], Coroutine[Any, Any, ProcessState]]


class _BrokenExchange(msgspec.Struct, frozen=True, eq=False):
    """A broken exchange, without the body of its request.

    Attributes:
        at: monotonic time in seconds.
        seconds: duration of the exchange until it broke.
    """

    request_id: str
    identity: str
    caller: str
    record: BackEndRecord
    at: float
    seconds: float
    error: str


class ProcessEndDetector:
    """Finds the requests that ran when a back end's process ended; used on one event loop.

    Args:
        probe: returns the state of a back end's process, within a number of seconds.
        on_end: called with the identity of a request and the record of the back end whose process
            ended while running it.
    """

    def __init__(
        self,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        probe: ProcessProbe,
        on_end: Callable[[str, BackEndRecord], None],
    ) -> None:
        self._probe_process = probe
        self._on_end = on_end
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._probes: dict[str, asyncio.Task[ProcessState]] = {}
        self._undecided: defaultdict[str, deque[_BrokenExchange]] = defaultdict(
            lambda: deque(maxlen=_MAX_UNDECIDED_PER_BACK_END)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def note_broken(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> None:
        """Note a broken exchange, and check the back end's process in the background."""
        exchange = self._make_broken_exchange(request, record, sent_at, error)
        self._forget_old()
        self._undecided[record.instance].append(exchange)
        task = asyncio.get_running_loop().create_task(self._check_process(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_process_gone(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> None:
        """Note an exchange that was cancelled because the back end's process is gone."""
        self._report(self._make_broken_exchange(request, record, sent_at, error), ProcessState.GONE)

    def note_replaced(self, record: BackEndRecord) -> None:
        """Note that another process answers at a back end's address."""
        self._confirm_gone(record.instance)

    def on_change(self, change: ViewChange) -> None:
        """Update the state after a change of the view."""
        if change.is_restart:
            self._confirm_gone(change.item.name)

    def _make_broken_exchange(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> _BrokenExchange:
        now = self._clock.monotonic()
        request_id = find_header(request.headers, self._names.request_id) or b""
        return _BrokenExchange(
            request_id.decode("latin-1"),
            identify(request, self._names),
            request.caller_address,
            record,
            now,
            now - sent_at,
            error,
        )

    async def _check_process(self, exchange: _BrokenExchange) -> None:
        state = await self._probe(exchange.record)
        undecided = self._undecided.get(exchange.record.instance, ())
        if exchange not in undecided:
            # The process was already found to be gone, or the exchange is no longer kept.
            return
        if state is ProcessState.GONE:
            self._undecided[exchange.record.instance].remove(exchange)
        self._report(exchange, state)

    async def _probe(self, record: BackEndRecord) -> ProcessState:
        """Probe a back end; exchanges that break at the same time share one probe."""
        address = record.address
        probe = self._probes.get(address)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(
                self._probe_process(record, _PROBE_TIMEOUT_SECONDS)
            )
            self._probes[address] = probe
            probe.add_done_callback(lambda _: self._probes.pop(address, None))
        return await probe

    def _confirm_gone(self, instance: str) -> None:
        self._forget_old()
        for each in self._undecided.pop(instance, ()):
            self._report(each, ProcessState.GONE)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - _UNDECIDED_SECONDS
        for instance, breaks in list(self._undecided.items()):
            while breaks and breaks[0].at < oldest:
                breaks.popleft()
            if not breaks:
                del self._undecided[instance]

    def _report(self, exchange: _BrokenExchange, state: ProcessState) -> None:
        self._metrics.increment(f"back-ends.broken-{state.value}")
        self._log.state(
            ExchangeBroken(
                request=exchange.request_id,
                identity=exchange.identity,
                caller=exchange.caller,
                back_end=exchange.record.instance,
                started_at_ms=exchange.record.started_at_ms,
                seconds=round(exchange.seconds, 3),
                error=exchange.error,
                process=state.value,
            )
        )
        if state is ProcessState.GONE:
            self._on_end(exchange.identity, exchange.record)
