"""Tells the end of a back end's process under a request from a connection that merely broke.

An exchange that breaks off says little: the back end may have closed the connection, spoilt the
answer, or be cut off. That its process is gone shows at once where the next connection is refused,
and later where another process answers there or the same name registers with a later start.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict, deque
from collections.abc import Callable

import msgspec

from kitekeel_backends.process_state import ProcessState, find_process_state
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import ViewChange
from kitekeel_steering.log_messages import ExchangeBroken
from kitekeel_steering.proxied_messages import HeaderNames, ProxiedRequest, find_header
from kitekeel_steering.request_identity import identify

# Two ways between the most distant regions known, and a busy event loop.
_PROBE_TIMEOUT_SECONDS = 0.7
# A process that starts again at once answers before its former end was seen; its record is known
# within two to three seconds.
_UNDECIDED_SECONDS = 4.0
_MOST_UNDECIDED_OF_ONE = 100


class _Break(msgspec.Struct, frozen=True, eq=False):
    """An exchange that broke off; its request's body is not kept.

    Attributes:
        at: monotonic time in seconds.
        seconds: how long the exchange had been going on.
    """

    request_id: str
    identity: str
    caller: str
    record: BackEndRecord
    at: float
    seconds: float
    error: str


class ProcessEnds:
    """Finds which requests were running when a back end's process ended; of one event loop.

    Args:
        on_end: called with the identity of a request and the record of the process that ended
            while it ran it.
    """

    def __init__(
        self,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        on_end: Callable[[str, BackEndRecord], None],
    ) -> None:
        self._on_end = on_end
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._probes: dict[str, asyncio.Task[ProcessState]] = {}
        self._undecided: defaultdict[str, deque[_Break]] = defaultdict(
            lambda: deque(maxlen=_MOST_UNDECIDED_OF_ONE)
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def note_broken(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> None:
        """Note that an exchange broke off, and find out why without keeping its caller waiting."""
        found = self._break(request, record, sent_at, error)
        self._forget_old()
        self._undecided[record.instance].append(found)
        task = asyncio.get_running_loop().create_task(self._examine(found))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_process_gone(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> None:
        """Note that an exchange was ended since the back end's process is known to be gone."""
        self._decide(self._break(request, record, sent_at, error), ProcessState.GONE)

    def note_replaced(self, record: BackEndRecord) -> None:
        """Note that another process answers at a back end's address."""
        self._confirm(record.instance)

    def on_change(self, change: ViewChange) -> None:
        """Follow a change of the view."""
        if change.is_restart:
            self._confirm(change.item.name)

    def _break(
        self, request: ProxiedRequest, record: BackEndRecord, sent_at: float, error: str
    ) -> _Break:
        now = self._clock.monotonic()
        request_id = find_header(request.headers, self._names.request_id) or b""
        return _Break(
            request_id.decode("latin-1"),
            identify(request, self._names),
            request.caller_address,
            record,
            now,
            now - sent_at,
            error,
        )

    async def _examine(self, found: _Break) -> None:
        state = await self._probe(found.record.address)
        undecided = self._undecided.get(found.record.instance, ())
        if found not in undecided:
            # Another sign of the process's end came first.
            return
        if state is ProcessState.GONE:
            self._undecided[found.record.instance].remove(found)
        self._decide(found, state)

    async def _probe(self, address: str) -> ProcessState:
        """Probe once for all exchanges that break at the same moment."""
        probe = self._probes.get(address)
        if probe is None:
            probe = asyncio.get_running_loop().create_task(
                find_process_state(address, _PROBE_TIMEOUT_SECONDS)
            )
            self._probes[address] = probe
            probe.add_done_callback(lambda _: self._probes.pop(address, None))
        return await probe

    def _confirm(self, instance: str) -> None:
        self._forget_old()
        for each in self._undecided.pop(instance, ()):
            self._decide(each, ProcessState.GONE)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - _UNDECIDED_SECONDS
        for instance, breaks in list(self._undecided.items()):
            while breaks and breaks[0].at < oldest:
                breaks.popleft()
            if not breaks:
                del self._undecided[instance]

    def _decide(self, found: _Break, state: ProcessState) -> None:
        self._metrics.increment(f"back-ends.broken-{state.value}")
        self._log.state(
            ExchangeBroken(
                request=found.request_id,
                identity=found.identity,
                caller=found.caller,
                back_end=found.record.instance,
                started_at_ms=found.record.started_at_ms,
                seconds=round(found.seconds, 3),
                error=found.error,
                process=state.value,
            )
        )
        if state is ProcessState.GONE:
            self._on_end(found.identity, found.record)
