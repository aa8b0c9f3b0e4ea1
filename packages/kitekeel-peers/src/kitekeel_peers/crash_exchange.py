"""Lets all daemons know of back ends that ended under a request, within a moment.

A record that has grown is told to the neighbours on the ring, who tell theirs; one that has not is
not told on, so nothing goes in circles. What a lost call, a cut or a start leaves out is made up
for by comparing with a neighbour in turn. Where no daemon has a record nothing is sent, but for one
comparison after a start.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.crash_ledger import CrashLedger, CrashRecord
from kitekeel_steering.errors import PeerError

CRASHES = "Crashes"
_COMPARE_SECONDS = 1.0
# While there are only suspects of some time ago, which mostly were beside and never come again.
_CALM_COMPARE_SECONDS = 5.0
_CALM_AFTER_SECONDS = 10.0
_FIRST_COMPARE_SECONDS = 0.1
# Ends often come in series; one call tells several.
_JOIN_SECONDS = 0.05
# Daemons that learned something together do not stay in step.
_JITTER_SHARE = 0.2
# The longest way there and back takes 0.12 s; a busy daemon may take some tenths more.
_TIMEOUT_SECONDS = 1.0
# As many as a daemon has neighbours in a fleet of 1,000.
_CALLS_AT_ONCE = 10


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """Tells of records, and asks for others.

    Attributes:
        sender: the sender's peer address, for the receiver's log.
        records: those that the receiver may lack.
        digest: over all records of the sender, to be told those that differ; ``None`` where only
            the records told here are to be answered.
    """

    sender: str
    records: tuple[CrashRecord, ...] = ()
    digest: int | None = None


class CrashReply(msgspec.Struct, frozen=True, array_like=True):
    """The records of which the receiver knows more or, where digests differ, all of its own.

    Attributes:
        is_same: whether digests were compared and are the same.
    """

    records: tuple[CrashRecord, ...] = ()
    is_same: bool = False


class CrashExchange:
    """Spreads one daemon's ledger.

    Args:
        ledger: touched by the event loop alone.
        loop: the event loop.
        on_failure: called with the address of a daemon that could not be told, and why.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        self._ledger = ledger
        self._client = client
        self._table = table
        self._loop = loop
        self._random = generator
        self._on_failure = on_failure
        self._untold: dict[str, CrashRecord] = {}
        self._telling: asyncio.Task[None] | None = None
        self._threads = ThreadPoolExecutor(_CALLS_AT_ONCE, thread_name_prefix="crashes")
        self._calls: set[asyncio.Task[CrashReply | None]] = set()
        self._has_compared = False
        self._grown_at = float("-inf")

    def register(self, server: PeerServer) -> None:
        """Serve the method."""
        handler = on_event_loop(self._reply, self._loop, _TIMEOUT_SECONDS)
        server.register(CRASHES, CrashNews, handler)

    def tell(self, record: CrashRecord) -> None:
        """Tell the neighbours of a record that has grown; called on the event loop."""
        self._grown_at = self._loop.time()
        self._untold[record.identity] = record
        if self._telling is None or self._telling.done():
            self._telling = self._loop.create_task(self._tell_all())

    async def run(self) -> None:
        """Compare with a neighbour in turn, until cancelled."""
        while True:
            if not self._has_compared or self._ledger.has_suspects():
                await self._compare_with_a_neighbour()
            seconds = self._interval_seconds()
            jitter = self._random.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
            await asyncio.sleep(seconds * jitter)

    def _interval_seconds(self) -> float:
        if not self._has_compared:
            return _FIRST_COMPARE_SECONDS
        is_calm = self._loop.time() - self._grown_at > _CALM_AFTER_SECONDS
        if is_calm and not self._ledger.quarantined():
            return _CALM_COMPARE_SECONDS
        return _COMPARE_SECONDS

    def close(self) -> None:
        """Tell nobody any more."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _tell_all(self) -> None:
        """Tell what there is, without waiting for neighbours that do not answer."""
        while self._untold:
            news = CrashNews(self._own_address(), tuple(self._untold.values()))
            self._untold.clear()
            for each in self._neighbours():
                call = self._loop.create_task(self._call(each, news))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(_JOIN_SECONDS)

    async def _compare_with_a_neighbour(self) -> None:
        others = self._neighbours()
        if not others:
            return
        other = self._random.choice(others)
        reply = await self._call(other, CrashNews(self._own_address(), (), self._ledger.digest()))
        if reply is None:
            return
        self._has_compared = True
        if reply.is_same:
            return
        theirs = {each.identity: each for each in reply.records}
        own = self._ledger.records()
        lacking = tuple(each for each in own if theirs.get(each.identity) != each)
        if lacking:
            await self._call(other, CrashNews(self._own_address(), lacking))

    async def _call(self, other: MemberRecord, news: CrashNews) -> CrashReply | None:
        """Tell one daemon and take over what it knows more; ``None`` where it did not answer."""
        address = other.peer_address
        try:
            reply = await self._loop.run_in_executor(
                self._threads,
                self._client.call,
                address,
                CRASHES,
                news,
                CrashReply,
                _TIMEOUT_SECONDS,
            )
        except (PeerError, RuntimeError) as error:
            # The threads refuse calls once the daemon is closing.
            self._on_failure(address, str(error))
            return None
        self._ledger.merge(reply.records, f"peer {address}")
        return reply

    async def _reply(self, news: CrashNews) -> CrashReply:
        self._ledger.merge(news.records, f"peer {news.sender}")
        if news.digest is not None:
            is_same = news.digest == self._ledger.digest()
            return CrashReply(() if is_same else self._ledger.records(), is_same)
        own = (self._ledger.find(each.identity) for each in news.records)
        pairs = zip(own, news.records, strict=True)
        return CrashReply(tuple(mine for mine, told in pairs if mine is not None and mine != told))

    def _own_address(self) -> str:
        return self._table.own().peer_address

    def _neighbours(self) -> list[MemberRecord]:
        live = {each.instance: each for each in self._table.live()}
        return [live[name] for name in neighbours(self._table.own().instance, live)]
