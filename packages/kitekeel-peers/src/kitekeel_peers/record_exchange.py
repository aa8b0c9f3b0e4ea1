"""Shares small sets of records among all daemons.

A record that has changed is told to the neighbours on the ring, who tell theirs; one that has not
is not told on, so nothing goes in circles. What a lost call, a cut or a start leaves out is made up
for by comparing with a neighbour in turn. Where no daemon has a record nothing is sent, but for the
comparisons in the first seconds after a start.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Generic, Protocol, TypeVar

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.errors import PeerError

_COMPARE_SECONDS = 1.0
# Applies while there are no recent changes and no urgent records.
_CALM_COMPARE_SECONDS = 5.0
_CALM_AFTER_SECONDS = 10.0
_FIRST_COMPARE_SECONDS = 0.1
# Lets a daemon fetch changes that propagated during its start and that nobody sends again.
_STARTUP_SECONDS = 5.0
# Batches changes that occur in quick succession into one call.
_JOIN_SECONDS = 0.05
# Daemons that learned something together do not stay in step.
_JITTER_SHARE = 0.2
# The longest way there and back takes 0.12 s; a busy daemon may take some tenths more.
_TIMEOUT_SECONDS = 1.0
# As many as a daemon has neighbours in a fleet of 1,000.
_CALLS_AT_ONCE = 10


class SharedRecord(Protocol):
    """A record that is shared among daemons."""

    @property
    def identity(self) -> str:
        """Return the key that identifies the record."""


Record = TypeVar("Record", bound=SharedRecord)


class RecordTable(Protocol[Record]):
    """The records of one daemon."""

    def merge(self, records: Iterable[Record], source: str) -> None:
        """Merge records received from another daemon."""

    def find(self, identity: str) -> Record | None:
        """Return the record with this identity, or ``None`` if there is none."""

    def records(self) -> tuple[Record, ...]:
        """Return all records."""

    def digest(self) -> int:
        """Return a hash over all records, equal on daemons with equal records; 0 if empty."""

    def needs_comparison(self) -> bool:
        """Return whether the records must be compared with other daemons' regularly."""

    def has_urgent_records(self) -> bool:
        """Return whether there are records that must reach every daemon quickly."""


class RecordNews(msgspec.Struct, Generic[Record], frozen=True, array_like=True):
    """Tells of records, and asks for others.

    Attributes:
        sender: the sender's peer address, for the receiver's log.
        records: those that the receiver may lack.
        digest: over all records of the sender, to be told those that differ; ``None`` where only
            the records told here are to be answered.
    """

    sender: str
    records: tuple[Record, ...] = ()
    digest: int | None = None


class RecordReply(msgspec.Struct, Generic[Record], frozen=True, array_like=True):
    """The records of which the receiver knows more or, where digests differ, all of its own.

    Attributes:
        is_same: whether digests were compared and are the same.
    """

    records: tuple[Record, ...] = ()
    is_same: bool = False


class RecordExchange(Generic[Record]):
    """Shares one daemon's records.

    Args:
        method: RPC method name.
        news_type, reply_type: the message types, parametrized with the record type.
        records: accessed only on the event loop.
        loop: the event loop.
        on_failure: called with the address of a daemon that could not be told, and why.
        join_seconds: minimum time between two rounds of calls about changes; changes in between
            are batched into the next round.
    """

    def __init__(
        self,
        method: str,
        news_type: type[RecordNews[Record]],
        reply_type: type[RecordReply[Record]],
        records: RecordTable[Record],
        client: PeerClient,
        members: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
        join_seconds: float = _JOIN_SECONDS,
    ) -> None:
        self._join_seconds = join_seconds
        self._method = method
        self._news_type = news_type
        self._reply_type = reply_type
        self._records = records
        self._client = client
        self._members = members
        self._loop = loop
        self._random = generator
        self._on_failure = on_failure
        self._untold: dict[str, Record] = {}
        self._telling: asyncio.Task[None] | None = None
        self._threads = ThreadPoolExecutor(_CALLS_AT_ONCE, thread_name_prefix=method.lower())
        self._calls: set[asyncio.Task[RecordReply[Record] | None]] = set()
        self._has_compared = False
        self._changed_at = float("-inf")
        self._change_event = asyncio.Event()
        self._startup_ends_at = loop.time() + _STARTUP_SECONDS

    def register(self, server: PeerServer) -> None:
        """Serve the method."""
        handler = on_event_loop(self._reply, self._loop, _TIMEOUT_SECONDS)
        server.register(self._method, self._news_type, handler)

    def tell(self, record: Record) -> None:
        """Tell the neighbours of a record that has changed; called on the event loop."""
        self._changed_at = self._loop.time()
        self._change_event.set()
        self._untold[record.identity] = record
        if self._telling is None or self._telling.done():
            self._telling = self._loop.create_task(self._tell_all())

    async def run(self) -> None:
        """Compare with a neighbour in turn, until cancelled."""
        while True:
            if self._is_comparison_needed():
                await self._compare_with_a_neighbour()
            await self._wait_for_next_comparison()

    def _is_comparison_needed(self) -> bool:
        is_starting = self._loop.time() < self._startup_ends_at
        return is_starting or not self._has_compared or self._records.needs_comparison()

    async def _wait_for_next_comparison(self) -> None:
        """Wait for the interval; a change replaces the rest of it with a short wait."""
        jitter = self._random.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
        seconds = self._interval_seconds() * jitter
        self._change_event.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._change_event.wait()
        except TimeoutError:
            return
        await asyncio.sleep(min(seconds, _COMPARE_SECONDS * jitter))

    def _interval_seconds(self) -> float:
        if not self._has_compared:
            return _FIRST_COMPARE_SECONDS
        now = self._loop.time()
        is_calm = now >= self._startup_ends_at and now - self._changed_at > _CALM_AFTER_SECONDS
        if is_calm and not self._records.has_urgent_records():
            return _CALM_COMPARE_SECONDS
        return _COMPARE_SECONDS

    def close(self) -> None:
        """Tell nobody any more."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _tell_all(self) -> None:
        """Tell what there is, without waiting for neighbours that do not answer."""
        while self._untold:
            news = RecordNews(self._own_address(), tuple(self._untold.values()))
            self._untold.clear()
            for each in self._neighbours():
                call = self._loop.create_task(self._call(each, news))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._join_seconds)

    async def _compare_with_a_neighbour(self) -> None:
        others = self._neighbours()
        if not others:
            return
        other = self._random.choice(others)
        reply = await self._call(other, RecordNews(self._own_address(), (), self._records.digest()))
        if reply is None:
            return
        self._has_compared = True
        if reply.is_same:
            return
        theirs = {each.identity: each for each in reply.records}
        own = self._records.records()
        lacking = tuple(each for each in own if theirs.get(each.identity) != each)
        if lacking:
            await self._call(other, RecordNews(self._own_address(), lacking))

    async def _call(
        self, other: MemberRecord, news: RecordNews[Record]
    ) -> RecordReply[Record] | None:
        """Tell one daemon and take over what it knows more; ``None`` where it did not answer."""
        address = other.peer_address
        try:
            reply = await self._loop.run_in_executor(
                self._threads,
                self._client.call,
                address,
                self._method,
                news,
                self._reply_type,
                _TIMEOUT_SECONDS,
            )
        except (PeerError, RuntimeError) as error:
            # The threads refuse calls once the daemon is closing.
            self._on_failure(address, str(error))
            return None
        self._records.merge(reply.records, f"peer {address}")
        return reply

    async def _reply(self, news: RecordNews[Record]) -> RecordReply[Record]:
        self._records.merge(news.records, f"peer {news.sender}")
        if news.digest is not None:
            is_same = news.digest == self._records.digest()
            return RecordReply(() if is_same else self._records.records(), is_same)
        own = (self._records.find(each.identity) for each in news.records)
        pairs = zip(own, news.records, strict=True)
        return RecordReply(tuple(mine for mine, told in pairs if mine is not None and mine != told))

    def _own_address(self) -> str:
        return self._members.own().peer_address

    def _neighbours(self) -> list[MemberRecord]:
        live = {each.instance: each for each in self._members.live()}
        return [live[name] for name in neighbours(self._members.own().instance, live)]
