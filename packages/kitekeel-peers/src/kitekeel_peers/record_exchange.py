"""Replicates small sets of records to all daemons by gossip with anti-entropy.

A daemon sends a changed record to its neighbours on the ring, which send it to theirs. A record
that changes nothing at the receiver is not forwarded, so none circulates forever. Records missed
because of a lost call, a partition or a restart are recovered by regular comparisons with a random
neighbour. While no daemon has any records nothing is sent, except comparisons in the first seconds
after a start.
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

_COMPARE_INTERVAL_SECONDS = 1.0
# Applies while there are no recent changes and no urgent records.
_IDLE_COMPARE_INTERVAL_SECONDS = 5.0
_IDLE_AFTER_SECONDS = 10.0
_INITIAL_COMPARE_INTERVAL_SECONDS = 0.1
# Lets a daemon fetch changes that propagated during its start and that nobody sends again.
_STARTUP_SECONDS = 5.0
# Batches changes that occur in quick succession into one call.
_BATCH_SECONDS = 0.05
# Desynchronizes daemons that learned of a change at the same time.
_JITTER_SHARE = 0.2
# The longest round trip takes 0.12 s; a busy daemon may need a few tenths of a second more.
_TIMEOUT_SECONDS = 1.0
# The number of neighbours that a daemon has in a fleet of 1,000.
_MAX_CONCURRENT_CALLS = 10


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
    """Sends records, and requests newer ones.

    Attributes:
        sender: the sender's peer address, for the receiver's log.
        records: the records that the receiver may not have.
        digest: hash over all records of the sender, to request the receiver's records if they
            differ; ``None`` to request only newer versions of the records sent here.
    """

    sender: str
    records: tuple[Record, ...] = ()
    digest: int | None = None


class RecordReply(msgspec.Struct, Generic[Record], frozen=True, array_like=True):
    """The records that differ from the request's or, if the digests differ, all records.

    Attributes:
        is_same: whether digests were compared and are equal.
    """

    records: tuple[Record, ...] = ()
    is_same: bool = False


class RecordExchange(Generic[Record]):
    """Replicates one daemon's records to and from its neighbours.

    Args:
        method: RPC method name.
        news_type, reply_type: the message types, parametrized with the record type.
        records: accessed only on the event loop.
        loop: the event loop.
        on_failure: called with the address of a daemon that could not be reached, and the reason.
        batch_seconds: minimum time between two rounds of calls about changes; changes in between
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
        batch_seconds: float = _BATCH_SECONDS,
    ) -> None:
        self._batch_seconds = batch_seconds
        self._method = method
        self._news_type = news_type
        self._reply_type = reply_type
        self._records = records
        self._client = client
        self._members = members
        self._loop = loop
        self._random = generator
        self._on_failure = on_failure
        self._unsent: dict[str, Record] = {}
        self._send_task: asyncio.Task[None] | None = None
        self._threads = ThreadPoolExecutor(_MAX_CONCURRENT_CALLS, thread_name_prefix=method.lower())
        self._calls: set[asyncio.Task[RecordReply[Record] | None]] = set()
        self._has_compared = False
        self._changed_at = float("-inf")
        self._change_event = asyncio.Event()
        self._startup_ends_at = loop.time() + _STARTUP_SECONDS

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        handler = on_event_loop(self._reply, self._loop, _TIMEOUT_SECONDS)
        server.register(self._method, self._news_type, handler)

    def publish(self, record: Record) -> None:
        """Send a changed record to the neighbours; must be called on the event loop."""
        self._changed_at = self._loop.time()
        self._change_event.set()
        self._unsent[record.identity] = record
        if self._send_task is None or self._send_task.done():
            self._send_task = self._loop.create_task(self._send_pending())

    async def run(self) -> None:
        """Compare with a random neighbour at each interval, until cancelled."""
        while True:
            if self._is_comparison_needed():
                await self._compare_with_neighbour()
            await self._wait_for_next_comparison()

    def _is_comparison_needed(self) -> bool:
        is_starting = self._loop.time() < self._startup_ends_at
        return is_starting or not self._has_compared or self._records.needs_comparison()

    async def _wait_for_next_comparison(self) -> None:
        """Wait for the interval; after a change, the rest of it is shortened."""
        jitter = self._random.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
        seconds = self._interval_seconds() * jitter
        self._change_event.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._change_event.wait()
        except TimeoutError:
            return
        await asyncio.sleep(min(seconds, _COMPARE_INTERVAL_SECONDS * jitter))

    def _interval_seconds(self) -> float:
        if not self._has_compared:
            return _INITIAL_COMPARE_INTERVAL_SECONDS
        now = self._loop.time()
        is_idle = now >= self._startup_ends_at and now - self._changed_at > _IDLE_AFTER_SECONDS
        if is_idle and not self._records.has_urgent_records():
            return _IDLE_COMPARE_INTERVAL_SECONDS
        return _COMPARE_INTERVAL_SECONDS

    def close(self) -> None:
        """Stop making calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _send_pending(self) -> None:
        """Send the pending records, without waiting for neighbours that do not answer."""
        while self._unsent:
            news = RecordNews(self._own_address(), tuple(self._unsent.values()))
            self._unsent.clear()
            for each in self._neighbours():
                call = self._loop.create_task(self._call(each, news))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await asyncio.sleep(self._batch_seconds)

    async def _compare_with_neighbour(self) -> None:
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
        missing = tuple(each for each in own if theirs.get(each.identity) != each)
        if missing:
            await self._call(other, RecordNews(self._own_address(), missing))

    async def _call(
        self, other: MemberRecord, news: RecordNews[Record]
    ) -> RecordReply[Record] | None:
        """Send records to a daemon and merge its reply; return ``None`` if it did not answer."""
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
            # The executor raises RuntimeError once the daemon is stopping.
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
        return RecordReply(
            tuple(
                own_record
                for own_record, received in pairs
                if own_record is not None and own_record != received
            )
        )

    def _own_address(self) -> str:
        return self._members.own().peer_address

    def _neighbours(self) -> list[MemberRecord]:
        live = {each.instance: each for each in self._members.live()}
        return [live[name] for name in neighbours(self._members.own().instance, live)]
