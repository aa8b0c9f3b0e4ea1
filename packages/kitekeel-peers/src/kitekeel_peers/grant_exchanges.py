"""The holder's loop for one pool: renews grants, more often while requests are waiting."""

from __future__ import annotations

import threading
from typing import Protocol

import msgspec

from kitekeel_peers.keeper import EXCHANGE, Keeper
from kitekeel_peers.keeper_choice import KeeperChoice
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.errors import PeerError
from kitekeel_steering.grant_messages import (
    ExchangeReply,
    ExchangeRequest,
    KeeperState,
    PoolName,
)
from kitekeel_steering.grant_timing import GrantTiming

_IDLE_INTERVAL_FACTOR = 2


class GrantHolder(Protocol):
    """The operations of the service's admission that the loop uses."""

    def prepare_exchange(
        self, pool: PoolName, after_silence: bool, voting: bool, echo: float
    ) -> ExchangeRequest:
        """Build the next request."""

    def apply_reply(self, pool: PoolName, reply: ExchangeReply) -> None:
        """Apply a keeper's reply."""

    def has_unmet_demand(self, pool: PoolName) -> bool:
        """Return whether requests are waiting for slots."""

    def is_idle(self, pool: PoolName, seconds: float) -> bool:
        """Return whether the pool has been unused for this many seconds."""


class GrantExchanges:
    """Exchanges grants of one pool with its keeper, on a dedicated thread.

    Args:
        pool: the pool.
        holder: the admission whose slots are renewed.
        choice: selects the keeper.
        own_keeper: the keeper in this daemon, called directly if it is selected.
        own_instance: this daemon's instance.
        client: calls other daemons.
        timing: lifetimes and intervals of grants.
        may_vote: false for a holder in another region.
    """

    def __init__(
        self,
        pool: PoolName,
        holder: GrantHolder,
        choice: KeeperChoice,
        own_keeper: Keeper,
        own_instance: str,
        client: PeerClient,
        timing: GrantTiming,
        may_vote: bool,
    ) -> None:
        self._pool = pool
        self._holder = holder
        self._choice = choice
        self._own_keeper = own_keeper
        self._own_instance = own_instance
        self._client = client
        self._timing = timing
        self._may_vote = may_vote
        self._exchange_requested = threading.Event()

    def ask_soon(self) -> None:
        """Make the next exchange without waiting for the interval."""
        self._exchange_requested.set()

    def run(self, stop: threading.Event) -> None:
        """Make exchanges at intervals until told to stop."""
        while not stop.is_set():
            self.exchange_once()
            self._wait_for_next_exchange(stop)

    def exchange_once(self) -> None:
        """Make one exchange with the current keeper."""
        keeper = self._choice.keeper()
        if keeper is None:
            return
        voting = self._may_vote and self._choice.may_vote()
        request = self._holder.prepare_exchange(
            self._pool, self._choice.after_silence, voting, self._choice.echo
        )
        request = msgspec.structs.replace(request, keeper=keeper.instance)
        self._choice.note_sent(voting)
        try:
            if keeper.instance == self._own_instance:
                reply = self._own_keeper.exchange(request)
            else:
                reply = self._client.call(
                    keeper.peer_address,
                    EXCHANGE,
                    request,
                    ExchangeReply,
                    self._timing.call_timeout_seconds,
                )
        except PeerError:
            self._choice.note_failed()
            return
        if reply.state is KeeperState.RESIGNED:
            self._choice.note_resigned()
            self._exchange_requested.set()
            return
        self._choice.note_answered(reply.keeper_time)
        if reply.state is KeeperState.GRANTING:
            self._holder.apply_reply(self._pool, reply)

    def _wait_for_next_exchange(self, stop: threading.Event) -> None:
        """Wait before the next exchange: briefly if requests are waiting, longer if idle."""
        if self._exchange_requested.is_set() or self._holder.has_unmet_demand(self._pool):
            self._exchange_requested.clear()
            stop.wait(self._timing.urgent_interval_seconds)
            return
        interval = self._timing.exchange_interval_seconds
        if self._holder.is_idle(self._pool, self._timing.grant_life_seconds):
            interval *= _IDLE_INTERVAL_FACTOR
        self._exchange_requested.wait(interval)
        self._exchange_requested.clear()
