"""Keeps a daemon subscribed to the watchers of its zone while it does not watch the store itself.

It regularly requests missing changes from them in turn. This renews the subscription, recovers lost
pushes, and confirms that the view is current when nothing has changed.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from kitekeel_peers.view_exchange import ViewExchange
from kitekeel_peers.watcher_choice import WatcherChoice
from kitekeel_steering.errors import PeerError
from kitekeel_steering.interruptible_sleep import InterruptibleSleep

# Applies while the daemon does not yet know enough to route requests.
_INTERVAL_UNTIL_READY_SECONDS = 0.1
# The two watchers of a zone are asked in turn, so a lost push is recovered within 1.2 s, plus one
# timeout if a watcher has died. Every daemon that does not watch sends these requests.
_INTERVAL_SECONDS = 1.0
_JITTER_SHARE = 0.2


class NewsSubscription:
    """Sends the requests that keep this daemon subscribed.

    Args:
        own_address: this daemon's peer address.
        is_needed: returns whether this daemon currently needs a subscription.
        is_ready: returns whether it knows enough to route requests.
        fresh_seconds: maximum age at which another daemon's view counts as fresh.
        on_news: called with the address of a daemon that answered, the number of items received,
            and the age of its view in seconds.
        on_failure: called with the address of a daemon that did not answer, and the reason.
    """

    def __init__(
        self,
        exchange: ViewExchange,
        choice: WatcherChoice,
        own_address: str,
        is_needed: Callable[[], bool],
        is_ready: Callable[[], bool],
        fresh_seconds: float,
        generator: random.Random,
        on_news: Callable[[str, int, float | None], None],
        on_failure: Callable[[str, str], None],
    ) -> None:
        self._exchange = exchange
        self._choice = choice
        self._own_address = own_address
        self._is_needed = is_needed
        self._is_ready = is_ready
        self._fresh_seconds = fresh_seconds
        self._random = generator
        self._on_news = on_news
        self._on_failure = on_failure
        self._pause = InterruptibleSleep()

    def ask_soon(self) -> None:
        """Send the next request without waiting for the end of the interval."""
        self._pause.end()

    async def run(self) -> None:
        """Send requests while needed, until cancelled; after a failure, retry immediately."""
        while True:
            is_answered = not self._is_needed() or await self._ask_next()
            if is_answered:
                ready = self._is_ready()
                interval = _INTERVAL_SECONDS if ready else _INTERVAL_UNTIL_READY_SECONDS
                jitter = self._random.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
                await self._pause.sleep(interval * jitter)

    async def _ask_next(self) -> bool:
        """Ask one watcher; return false if another one should be asked immediately."""
        address = self._choice.next_source()
        if address is None:
            return True
        try:
            found = await self._exchange.fetch(address, self._own_address)
        except PeerError as error:
            self._choice.note_failure(address)
            self._on_failure(address, error.message)
            return False
        self._on_news(address, found.changes, found.age_seconds)
        if found.age_seconds is not None and found.age_seconds <= self._fresh_seconds:
            return True
        return not self._choice.note_stale(address)
