"""Tells subscribed daemons of each change at once.

A daemon subscribes by asking for what it lacks (:mod:`kitekeel_peers.view_exchange`) and goes on
asking, so a push that is lost is made up for by its next question. A push holds only what the
subscriber does not know yet; one that knows too little for that waits for its next question, whose
answer may be large.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_peers.view_exchange import current_age
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import PeerError
from kitekeel_steering.fleet_items import FleetPart, PartKnowledge, PartNews
from kitekeel_steering.fleet_view import FleetView

NEWS = "News"
# Subscribers ask each of the two watchers of their zone every two seconds, 2.4 s at most; one that
# has not for so long has gone or was told of other watchers.
_SUBSCRIPTION_SECONDS = 4.0
_TIMEOUT_SECONDS = 0.6
# A zone has some twenty daemons. Most answer within milliseconds; a few that are frozen or dead
# each hold a thread for the timeout.
_MOST_PUSHES_AT_ONCE = 8


class NewsPush(msgspec.Struct, frozen=True, array_like=True):
    """What the receiver lacks of each part, as far as the sender knows.

    Attributes:
        sender: the sender's peer address.
        age_seconds: how long ago the sender's beliefs were known to be current.
    """

    sender: str
    parts: tuple[PartNews, ...]
    age_seconds: float | None


class NewsReceipt(msgspec.Struct, frozen=True, array_like=True):
    """What the receiver knows now."""

    known: tuple[PartKnowledge, ...]


class _Subscriber(msgspec.Struct):
    """A daemon that is told of changes.

    Attributes:
        known: how far it knows each part, as far as this daemon knows. A daemon of another version
            may state more parts or fewer; those that both have are told.
        asked_at: when it last asked.
        is_being_told: whether a push is on its way.
    """

    known: tuple[PartKnowledge, ...]
    asked_at: float
    is_being_told: bool = False


class NewsFeed:
    """Keeps the subscribers of one daemon and tells them of its view's changes.

    Args:
        own_address: this daemon's peer address.
        loop: the event loop, which alone touches the view.
        on_news: called with the address of a daemon that told news, how many items, and its age.
        on_failure: called with the address of a subscriber that could not be told, and why.
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
        self._threads = ThreadPoolExecutor(_MOST_PUSHES_AT_ONCE, thread_name_prefix="push")
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    def register(self, server: PeerServer) -> None:
        """Serve the method by which this daemon is told."""
        handler = on_event_loop(self._take_over, self._loop, _TIMEOUT_SECONDS)
        server.register(NEWS, NewsPush, handler)

    def subscribe(self, address: str, known: tuple[PartKnowledge, ...]) -> None:
        """Tell a daemon of changes from now on, beyond what it knows."""
        if self._is_closed:
            return
        now = self._clock.monotonic()
        subscriber = self._subscribers.get(address)
        if subscriber is None:
            self._forget_silent(now)
            self._subscribers[address] = _Subscriber(known, now)
            return
        subscriber.known = known
        subscriber.asked_at = now

    def count(self) -> int:
        """Return how many daemons are told of changes."""
        self._forget_silent(self._clock.monotonic())
        return len(self._subscribers)

    def tell_all(self) -> None:
        """Tell every subscriber what it lacks; called on the event loop after each change."""
        self._forget_silent(self._clock.monotonic())
        for address, subscriber in self._subscribers.items():
            if not subscriber.is_being_told and self._lacking(subscriber):
                subscriber.is_being_told = True
                task = self._loop.create_task(self._tell(address, subscriber))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Tell nobody any more."""
        self._is_closed = True
        self._subscribers.clear()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _forget_silent(self, now: float) -> None:
        silent = [
            address
            for address, each in self._subscribers.items()
            if now - each.asked_at > _SUBSCRIPTION_SECONDS
        ]
        for address in silent:
            del self._subscribers[address]

    def _lacking(self, subscriber: _Subscriber) -> tuple[PartNews, ...]:
        """Return the news for a subscriber, without parts that it must ask for as a whole."""
        found = (
            self._view.news_for(part, known)
            for part, known in zip(FleetPart, subscriber.known, strict=False)
        )
        return tuple(each for each in found if each.items and not each.is_snapshot)

    async def _tell(self, address: str, subscriber: _Subscriber) -> None:
        """Push until the subscriber has everything, or does not answer."""
        try:
            while parts := self._lacking(subscriber):
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
                if not _knows_more(receipt.known, subscriber.known):
                    # It lacks something from before, and asks for it by itself.
                    return
                subscriber.known = receipt.known
        except PeerError as error:
            self._on_failure(address, error.message)
        finally:
            subscriber.is_being_told = False

    async def _take_over(self, push: NewsPush) -> NewsReceipt:
        for news in push.parts:
            self._view.take_over(news, f"peer {push.sender}")
        changes = sum(len(each.items) for each in push.parts)
        self._on_news(push.sender, changes, push.age_seconds)
        return NewsReceipt(tuple(self._view.knowledge(part) for part in FleetPart))


def _knows_more(now: tuple[PartKnowledge, ...], before: tuple[PartKnowledge, ...]) -> bool:
    pairs = zip(now, before, strict=False)
    return any(each.extent.last_change > former.extent.last_change for each, former in pairs)
