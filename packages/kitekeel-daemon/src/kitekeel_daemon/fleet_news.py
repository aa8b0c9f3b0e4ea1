"""Connects the components that send fleet changes to other daemons and receive them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from kitekeel_daemon.fleet_follower import FleetFollower
from kitekeel_peers.membership import Membership
from kitekeel_peers.news_feed import NewsFeed
from kitekeel_peers.news_subscription import NewsSubscription
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_peers.view_exchange import ViewExchange
from kitekeel_peers.watcher_choice import WatcherChoice
from kitekeel_platform.watch_duty import FRESH_SECONDS
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView


class FleetNews:
    """One daemon's exchange of fleet changes with the other daemons.

    Args:
        own_address: this daemon's peer address.
        membership: returns the membership, which is created after this object.
        follower: decides whether changes come from the store or from other daemons.
    """

    def __init__(
        self,
        view: FleetView,
        client: PeerClient,
        clock: Clock,
        generator: random.Random,
        own_address: str,
        membership: Callable[[], Membership],
        follower: FleetFollower,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.choice = WatcherChoice(
            lambda: membership().table.own(), lambda: membership().table.live(), clock
        )
        self.feed = NewsFeed(
            view,
            client,
            clock,
            loop,
            own_address,
            follower.on_peer_news,
            follower.on_peer_failure,
        )
        listeners = follower.exchange_listeners(self.feed.subscribe)
        self.exchange = ViewExchange(view, client, loop, listeners)
        self._subscription = NewsSubscription(
            self.exchange,
            self.choice,
            own_address,
            follower.needs_peer_news,
            view.is_ready,
            FRESH_SECONDS,
            generator,
            follower.on_peer_news,
            follower.on_peer_failure,
        )

    def register(self, server: PeerServer) -> None:
        """Register the RPC methods of the exchange with a server."""
        self.exchange.register(server)
        self.feed.register(server)

    def ask_soon(self) -> None:
        """Request changes from other daemons at once, if this daemon depends on them."""
        self._subscription.ask_soon()

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        return [self._subscription.run()]
