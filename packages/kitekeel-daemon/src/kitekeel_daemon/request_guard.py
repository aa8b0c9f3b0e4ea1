"""Quarantines requests that crash back ends, in a daemon that runs its requests on threads.

The crash ledger and its exchange with other daemons run on an event loop of their own. Threads only
read from the ledger whether a request is quarantined, and pass their observations to the loop. Back
ends of a configuration have no start times, so each counts only once per request: the third end
must be that of a third back end. Requests whose body is longer than what is read ahead, or of
unknown length, have no identity and are not recognized when they are retried.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Callable
from typing import TypeVarTuple

from kitekeel_backends.process_state import ProcessState, find_process_state
from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_peers.crash_exchange import CrashExchange
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.crash_ledger import OWN, CrashLedger, LedgerChange
from kitekeel_steering.errors import RequestQuarantinedError
from kitekeel_steering.http_messages import ForwardedRequest
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.model import BackEnd
from kitekeel_steering.request_identity import identify_parts, target_of
from kitekeel_steering.steady_loop import SteadyEventLoop

Arguments = TypeVarTuple("Arguments")

_PROBE_TIMEOUT_SECONDS = 0.7
_STOP_POLL_SECONDS = 0.2
# An answer at another daemon may lift the quarantine; an earlier retry is of no use.
_RETRY_AFTER_SECONDS = 60.0


class RequestGuard:
    """The crash guard of one daemon; its methods may be called from many threads."""

    def __init__(self, clock: Clock, metrics: Metrics, recorder: EventRecorder) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._loop = SteadyEventLoop()
        self._exchange: CrashExchange | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ledger = CrashLedger(clock, self._on_change)

    def share(self, client: PeerClient, table: MemberTable, server: PeerServer) -> None:
        """Start sharing crash records with the other daemons."""
        self._exchange = CrashExchange(
            self.ledger, client, table, self._loop, random.Random(), self._on_peer_failure
        )
        self._exchange.register(server)

    def run(self, stop: threading.Event) -> None:
        """Run the event loop until ``stop`` is set."""
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._share_until(stop))
        self._loop.close()

    def check(self, identity: str) -> None:
        """Return if a request may be sent.

        Raises:
            RequestQuarantinedError: the request is quarantined because it crashes back ends.
        """
        if identity and self.ledger.is_quarantined(identity):
            self._metrics.increment("requests.quarantined")
            text = f"this request crashes the back ends that run it ({identity})"
            raise RequestQuarantinedError(text, _RETRY_AFTER_SECONDS)

    def note_broken(self, identity: str, service: str, back_end: BackEnd) -> None:
        """Note a broken exchange, and check in the background whether the back end has ended."""
        if identity:
            self._call(self._start_process_check, identity, service, back_end)

    def note_answered(self, identity: str) -> None:
        """Note that a back end answered a request completely and without a server error."""
        if identity and self.ledger.may_have_record(target_of(identity)):
            self._call(self.ledger.note_answered, identity)

    def _call(self, function: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(function, *arguments)

    def _start_process_check(self, identity: str, service: str, back_end: BackEnd) -> None:
        task = self._loop.create_task(self._check_process(identity, service, back_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_process(self, identity: str, service: str, back_end: BackEnd) -> None:
        state = await find_process_state(back_end.address, _PROBE_TIMEOUT_SECONDS)
        self._metrics.increment(f"requests.broken_{state.value}")
        if state is ProcessState.GONE:
            self.ledger.note_end(identity, service, back_end.name, "")

    async def _share_until(self, stop: threading.Event) -> None:
        sharing = self._loop.create_task(self._exchange.run()) if self._exchange else None
        while not stop.is_set():
            await asyncio.sleep(_STOP_POLL_SECONDS)
        if sharing is not None and self._exchange is not None:
            sharing.cancel()
            self._exchange.close()

    def _on_change(self, change: LedgerChange) -> None:
        record = change.record
        if change.source == OWN or change.is_quarantined or change.was_quarantined:
            state = "quarantined" if change.is_quarantined else "not quarantined"
            ends = f"{len(record.ends)} back ends ended while running {record.identity}"
            text = f"{ends} ({record.service}): {state}, {change.source}"
            self._recorder.add("crash-record", text)
        if self._exchange is not None:
            self._exchange.publish(record)

    def _on_peer_failure(self, address: str, reason: str) -> None:
        self._metrics.increment("peers.crash_news_failed")
        self._recorder.add("crash-news-failed", f"{address}: {reason}")


def identity_of(service: str, request: ForwardedRequest, body: bytes | None) -> str:
    """Return a request's identity; empty if its body was not read ahead."""
    if body is None and request.body is not None:
        return ""
    content_type = next((v for name, v in request.headers if name.lower() == "content-type"), "")
    target = (request.method.encode(), service.encode(), request.target.encode())
    return identify_parts(target, (content_type.encode("latin-1", "replace"), body or b""))
