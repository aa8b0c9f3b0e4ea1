"""The holder's loop of one pool: renews grants, and asks sooner when requests wait."""

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

_IDLE_FACTOR = 2


class GrantHolder(Protocol):
    """What the loop needs of the service's admission."""

    def prepare_exchange(
        self, pool: PoolName, after_silence: bool, voting: bool, echo: float
    ) -> ExchangeRequest:
        """Build the next request."""

    def apply_reply(self, pool: PoolName, reply: ExchangeReply) -> None:
        """Take a reply."""

    def has_unmet_demand(self, pool: PoolName) -> bool:
        """Tell whether requests wait."""

    def is_idle(self, pool: PoolName, seconds: float) -> bool:
        """Tell whether the pool has not been used for some time."""


class GrantExchanges:
    """Exchanges of one pool with its keeper, on a thread of their own.

    Args:
        pool: the pool.
        holder: the admission whose slots are renewed.
        choice: who the keeper is.
        own_keeper: the keeper in this daemon, called directly when it is the one.
        own_instance: this daemon's instance.
        client: calls other daemons.
        timing: lives and intervals.
        may_vote: false for a holder of another region.
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
        self._demand = threading.Event()

    def ask_soon(self) -> None:
        """Have the next exchange made before its turn."""
        self._demand.set()

    def run(self, stop: threading.Event) -> None:
        """Exchange until told to stop; a last exchange then gives every idle slot back."""
        while not stop.is_set():
            self.exchange_once()
            self._pause(stop)

    def exchange_once(self) -> None:
        """Make one exchange with the present keeper."""
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
            self._demand.set()
            return
        self._choice.note_answered(reply.keeper_time)
        if reply.state is KeeperState.GRANTING:
            self._holder.apply_reply(self._pool, reply)

    def _pause(self, stop: threading.Event) -> None:
        """Wait for the next turn: soon while requests wait, seldom while nothing is asked."""
        if self._demand.is_set() or self._holder.has_unmet_demand(self._pool):
            self._demand.clear()
            stop.wait(self._timing.urgent_interval_seconds)
            return
        interval = self._timing.exchange_interval_seconds
        if self._holder.is_idle(self._pool, self._timing.grant_life_seconds):
            interval *= _IDLE_FACTOR
        self._demand.wait(interval)
        self._demand.clear()
