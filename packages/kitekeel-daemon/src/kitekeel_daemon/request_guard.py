"""Keeps requests that end back ends away from them, in a daemon whose requests run on threads.

The ledger and what spreads it live on an event loop of their own; threads only read from it which
requests are quarantined, and hand it what they saw. Back ends of a configuration have no starts, so
that each counts once: the third end must be that of a third back end. Requests whose body is longer
than what is read ahead, or of unknown length, are not known again.
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
from kitekeel_steering.errors import EndsBackEndsError
from kitekeel_steering.http_messages import ForwardedRequest
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.model import BackEnd
from kitekeel_steering.request_identity import identify_parts, target_of
from kitekeel_steering.steady_loop import SteadyEventLoop

Arguments = TypeVarTuple("Arguments")

_PROBE_TIMEOUT_SECONDS = 0.7
_STOP_POLL_SECONDS = 0.2
# An answer at another daemon may release the request; sooner is of no use.
_RETRY_AFTER_SECONDS = 60.0


class RequestGuard:
    """One daemon's guard; its methods may be called from many threads."""

    def __init__(self, clock: Clock, metrics: Metrics, recorder: EventRecorder) -> None:
        self._metrics = metrics
        self._recorder = recorder
        self._loop = SteadyEventLoop()
        self._exchange: CrashExchange | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ledger = CrashLedger(clock, self._on_change)

    def share(self, client: PeerClient, table: MemberTable, server: PeerServer) -> None:
        """Share what is known with the other daemons."""
        self._exchange = CrashExchange(
            self.ledger, client, table, self._loop, random.Random(), self._on_peer_failure
        )
        self._exchange.register(server)

    def run(self, stop: threading.Event) -> None:
        """Run the loop until told to stop."""
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._share_until(stop))
        self._loop.close()

    def check(self, identity: str) -> None:
        """Let a request be sent, or refuse it.

        Raises:
            EndsBackEndsError: back ends end when they run it.
        """
        if identity and self.ledger.is_quarantined(identity):
            self._metrics.increment("requests.quarantined")
            text = f"back ends end when they run this request ({identity})"
            raise EndsBackEndsError(text, _RETRY_AFTER_SECONDS)

    def note_broken(self, identity: str, service: str, back_end: BackEnd) -> None:
        """Note that an exchange broke off; whether the back end has ended is looked up."""
        if identity:
            self._call(self._begin_examination, identity, service, back_end)

    def note_answered(self, identity: str) -> None:
        """Note that a back end answered a request whole, and not with a failure."""
        if identity and self.ledger.may_know(target_of(identity)):
            self._call(self.ledger.note_answered, identity)

    def _call(self, function: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        if not self._loop.is_closed():
            self._loop.call_soon_threadsafe(function, *arguments)

    def _begin_examination(self, identity: str, service: str, back_end: BackEnd) -> None:
        task = self._loop.create_task(self._examine(identity, service, back_end))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _examine(self, identity: str, service: str, back_end: BackEnd) -> None:
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
            ends = f"{len(record.ends)} back ends ended under {record.identity}"
            text = f"{ends} ({record.service}): {state}, {change.source}"
            self._recorder.add("crash-record", text)
        if self._exchange is not None:
            self._exchange.tell(record)

    def _on_peer_failure(self, address: str, reason: str) -> None:
        self._metrics.increment("peers.crash_news_failed")
        self._recorder.add("crash-news-failed", f"{address}: {reason}")


def identity_of(service: str, request: ForwardedRequest, body: bytes | None) -> str:
    """Return a request's identity; empty where its body is not known."""
    if body is None and request.body is not None:
        return ""
    content_type = next((v for name, v in request.headers if name.lower() == "content-type"), "")
    target = (request.method.encode(), service.encode(), request.target.encode())
    return identify_parts(target, (content_type.encode("latin-1", "replace"), body or b""))
