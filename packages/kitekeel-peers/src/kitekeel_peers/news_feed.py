"""Pushes each change of the view to subscribed daemons immediately.

A daemon subscribes by requesting the changes it lacks (:mod:`kitekeel_peers.view_exchange`), and
repeats this request regularly, which recovers lost pushes. A push contains only changes that the
subscriber does not have. A subscriber that would need a snapshot gets it in reply to its next
request instead, since it may be large.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_peers.view_exchange import current_age, stated_age
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import PeerError
from kitekeel_steering.fleet_items import FleetPart, PartKnowledge, PartUpdate
from kitekeel_steering.fleet_view import FleetView

NEWS = "News"
# A subscriber asks each of the two watchers of its zone every two seconds, 2.4 s at most. One that
# has not asked for this time has stopped or uses other watchers.
_SUBSCRIPTION_LIFE_SECONDS = 4.0
_TIMEOUT_SECONDS = 0.6
# A zone has about twenty daemons. Most answer within milliseconds; a frozen or dead one occupies a
# thread until the timeout.
_MAX_CONCURRENT_PUSHES = 8


class NewsPush(msgspec.Struct, frozen=True, array_like=True):
    """The changes in each part that the receiver lacks, as far as the sender knows.

    Attributes:
        sender: the sender's peer address.
        age_seconds: time since the sender's view was known to be current.
    """

    sender: str
    parts: tuple[PartUpdate, ...]
    age_seconds: float | None


class NewsReceipt(msgspec.Struct, frozen=True, array_like=True):
    """The receiver's knowledge after it has applied a push."""

    known: tuple[PartKnowledge, ...]


class _Subscriber(msgspec.Struct):
    """A daemon that changes are pushed to.

    Attributes:
        known: its knowledge of each part, as far as this daemon knows. A daemon of another version
            may have more or fewer parts; only common ones are pushed.
        asked_at: time of its last request.
        is_push_in_progress: whether a push to it is in progress.
    """

    known: tuple[PartKnowledge, ...]
    asked_at: float
    is_push_in_progress: bool = False


class NewsFeed:
    """Manages the subscribers of one daemon and pushes changes of its view to them.

    Args:
        own_address: this daemon's peer address.
        loop: the only event loop that accesses the view.
        on_news: called for each received push with the sender's address, the number of items, and
            the age of the sender's view.
        on_failure: called with the address of a subscriber that did not answer, and the reason.
    """

    def __init__(
        self,
        view: FleetView,
        client: PeerClient,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        own_address: str,
        on_news: Callable[[str, int, float | None], None],
        on_failure: Callable[[str, str], None],
    ) -> None:
        self._view = view
        self._client = client
        self._clock = clock
        self._loop = loop
        self._own_address = own_address
        self._on_news = on_news
        self._on_failure = on_failure
        self._subscribers: dict[str, _Subscriber] = {}
        self._threads = ThreadPoolExecutor(_MAX_CONCURRENT_PUSHES, thread_name_prefix="push")
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler that receives pushes."""
        handler = on_event_loop(self._handle_push, self._loop, _TIMEOUT_SECONDS)
        server.register(NEWS, NewsPush, handler)

    def subscribe(self, address: str, known: tuple[PartKnowledge, ...]) -> None:
        """Add or renew the subscription of a daemon that has the given knowledge."""
        if self._is_closed:
            return
        now = self._clock.monotonic()
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            self._remove_expired(now)
            self._subscribers[address] = _Subscriber(known, now)
            return
        subscriber.known = known
        subscriber.asked_at = now

    def count(self) -> int:
        """Return the number of subscribers."""
        self._remove_expired(self._clock.monotonic())
        return len(self._subscribers)

    def push_all(self) -> None:
        """Push missing changes to all subscribers; call on the event loop after each change."""
        self._remove_expired(self._clock.monotonic())
        for address, subscriber in self._subscribers.items():
            if not subscriber.is_push_in_progress and self._missing_news(subscriber):
                subscriber.is_push_in_progress = True
                task = self._loop.create_task(self._push(address, subscriber))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Remove all subscribers and stop pushing."""
        self._is_closed = True
        self._subscribers.clear()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _remove_expired(self, now: float) -> None:
        expired = [
            address
            for address, each in self._subscribers.items()
            if now - each.asked_at > _SUBSCRIPTION_LIFE_SECONDS
        ]
        for address in expired:
            del self._subscribers[address]

    def _missing_news(self, subscriber: _Subscriber) -> tuple[PartUpdate, ...]:
        """Return the changes for a subscriber, except parts for which it needs a snapshot."""
        found = (
            self._view.update_for(part, known)
            for part, known in zip(FleetPart, subscriber.known, strict=False)
        )
        return tuple(each for each in found if each.items and not each.is_snapshot)

    async def _push(self, address: str, subscriber: _Subscriber) -> None:
        """Push until the subscriber has all changes or does not answer."""
        try:
            while parts := self._missing_news(subscriber):
                push = NewsPush(self._own_address, parts, current_age(self._view))
                receipt = await self._loop.run_in_executor(
                    self._threads,
                    self._client.call,
                    address,
                    NEWS,
                    push,
                    NewsReceipt,
                    _TIMEOUT_SECONDS,
                )
                former, subscriber.known = subscriber.known, receipt.known
                if not _has_advanced(receipt.known, former):
                    # It lacks earlier changes, which its next request will fetch.
                    return
        except PeerError as error:
            self._on_failure(address, error.message)
        finally:
            subscriber.is_push_in_progress = False

    async def _handle_push(self, push: NewsPush) -> NewsReceipt:
        for news in push.parts:
            self._view.apply_update(news, f"peer {push.sender}")
        changes = sum(len(each.items) for each in push.parts)
        age = stated_age(self._view, push.parts, push.age_seconds)
        self._on_news(push.sender, changes, age)
        return NewsReceipt(tuple(self._view.knowledge(part) for part in FleetPart))


def _has_advanced(now: tuple[PartKnowledge, ...], before: tuple[PartKnowledge, ...]) -> bool:
    pairs = zip(now, before, strict=False)
    return any(each.extent.changed > former.extent.changed for each, former in pairs)
