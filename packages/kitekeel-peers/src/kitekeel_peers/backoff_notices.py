"""Tells other daemons that a back end has requested a pause from an address that they share.

A back end sees relayed requests come from the relaying daemon, which does not read them. So a
daemon that gets such a request through a relay tells it, and the relaying daemon tells the others
that have connections to that back end through it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Annotated

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.errors import PeerError

BACKOFF = "Backoff"
# Both attempts together end while a notice is still of use to a daemon that sends many requests.
_TIMEOUT_SECONDS = 0.4
_ATTEMPTS = 2
_MAX_CONCURRENT_CALLS = 4

_Name = Annotated[str, msgspec.Meta(max_length=200)]


class BackoffNotice(msgspec.Struct, frozen=True, array_like=True):
    """A pause that a back end has requested.

    Attributes:
        sender: the instance name of the daemon that sends the notice.
        back_end: the back end's name.
        started_at_ms: the start time of its process, as in its ``BackEndRecord``.
        seconds: the rest of the pause.
        is_from_relay: whether the sender relays for the receiver, rather than the reverse.
    """

    sender: _Name
    back_end: _Name
    started_at_ms: Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
    seconds: Annotated[float, msgspec.Meta(ge=0.0, le=1_000.0)]
    is_from_relay: bool


class BackoffReceipt(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a notice."""


class BackoffNotices:
    """Sends and receives notices; used on one event loop.

    Args:
        on_notice: called with each notice received.
        on_failure: called with the address of a daemon that could not be told, and the reason.
    """

    def __init__(
        self,
        client: PeerClient,
        members: MemberTable,
        loop: asyncio.AbstractEventLoop,
        on_notice: Callable[[BackoffNotice], None],
        on_failure: Callable[[str, str], None],
    ) -> None:
        self._client = client
        self._members = members
        self._loop = loop
        self._on_notice = on_notice
        self._on_failure = on_failure
        self._threads = ThreadPoolExecutor(_MAX_CONCURRENT_CALLS, thread_name_prefix="backoff")
        self._calls: set[asyncio.Task[None]] = set()

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        handler = on_event_loop(self._reply, self._loop, _TIMEOUT_SECONDS)
        server.register(BACKOFF, BackoffNotice, handler)

    def own_name(self) -> str:
        """Return this daemon's instance name."""
        return self._members.own().instance

    def send(self, daemons: Iterable[str], notice: BackoffNotice) -> None:
        """Send a notice to daemons, named by instance, in the background."""
        addresses = {each.instance: each.peer_address for each in self._members.live()}
        for daemon in daemons:
            if daemon in addresses:
                task = self._loop.create_task(self._send(addresses[daemon], notice))
                self._calls.add(task)
                task.add_done_callback(self._calls.discard)

    def close(self) -> None:
        """Stop making calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _send(self, address: str, notice: BackoffNotice) -> None:
        reason = ""
        for _ in range(_ATTEMPTS):
            try:
                await self._loop.run_in_executor(
                    self._threads,
                    self._client.call,
                    address,
                    BACKOFF,
                    notice,
                    BackoffReceipt,
                    _TIMEOUT_SECONDS,
                )
            except (PeerError, RuntimeError) as error:
                # The executor raises RuntimeError once the daemon is stopping.
                reason = str(error)
            else:
                return
        self._on_failure(address, reason)

    async def _reply(self, notice: BackoffNotice) -> BackoffReceipt:
        self._on_notice(notice)
        return BackoffReceipt()
