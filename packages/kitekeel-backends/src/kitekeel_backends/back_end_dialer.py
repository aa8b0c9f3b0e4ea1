"""Opens connections to back ends: directly, or through another daemon where the link is lost.

A direct attempt that has not succeeded after a short time gets a parallel one through another
daemon, and the first connection is used, as with Happy Eyeballs (RFC 8305). No request is sent
before a connection is open, so the attempts are invisible to the back end's requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from kitekeel_backends import tunnel_messages
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_backends.process_state import ProcessState, find_process_state
from kitekeel_backends.tcp_options import close_when_silent
from kitekeel_backends.tunnel_client import TunnelRefusedError, open_tunnel
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import ConnectFailedError, NotRunError

# Exceeds the time of a connection between the most distant known regions.
_DIRECT_HEAD_START_SECONDS = 0.25
# A relay in the same region answers within milliseconds, unless its own links are lost.
_RELAY_HEAD_START_SECONDS = 0.15
# A time-out that fires this late shows that the event loop was blocked, and is no evidence.
BLOCKED_LOOP_SECONDS = 0.1

_UNUSABLE = tunnel_messages.BACK_END_UNUSABLE
_STATUSES_OF_WORKING_RELAYS = frozenset({tunnel_messages.CONNECTION_REFUSED, _UNUSABLE})

MakeConnection = Callable[[], BackEndConnection]


class BackEndOutOfReachError(NotRunError):
    """The link to the back end is lost, and no other daemon can relay to it."""

    code = "back-end-out-of-reach"


class BackEndUnusableError(BackEndOutOfReachError):
    """The link to the back end is lost, and the other daemons must not send requests to it now."""

    code = "back-end-unusable"


class DialTarget(msgspec.Struct, frozen=True):
    """A back end to connect to.

    Attributes:
        back_end: its instance name.
        region: the back end's region.
        allowed_regions: the only regions that requests may pass through; empty for all.
    """

    address: str
    back_end: str = ""
    service: str = ""
    region: str = ""
    allowed_regions: tuple[str, ...] = ()


class Relay(msgspec.Struct, frozen=True):
    """Another daemon that can open connections to back ends.

    Attributes:
        daemon: its instance name.
        address: ``IP:port`` at which it relays.
    """

    daemon: str
    address: str
    region: str


class RelayChoice(Protocol):
    """Chooses the daemons to connect through."""

    def choose(self, target: DialTarget) -> Sequence[Relay]:
        """Return the daemons to ask for a connection, in order; empty if there are none."""

    def note_failed(self, relay: Relay, service: str) -> None:
        """Avoid a daemon for a while because it could not connect to a service's back end."""


class Dialer(Protocol):
    """Opens connections to back ends."""

    async def open(self, target: DialTarget, make: MakeConnection) -> BackEndConnection:
        """Return a new connection that ``make`` created.

        Raises:
            ConnectFailedError: the back end could not be connected to.
            BackEndOutOfReachError: the link to it is lost, and no other daemon can relay.
        """


class DirectDialer:
    """Opens direct connections only.

    Args:
        timeout_seconds: time limit for each connection.
    """

    def __init__(self, timeout_seconds: float) -> None:
        self._timeout_seconds = timeout_seconds

    async def open(self, target: DialTarget, make: MakeConnection) -> BackEndConnection:
        """Return a new connection; see :class:`Dialer`."""
        name, _, port = target.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._timeout_seconds):
                transport, connection = await loop.create_connection(make, name, int(port))
        except (OSError, TimeoutError) as error:
            reason = str(error) or "no connection in time"
            raise ConnectFailedError(f"{target.address}: {reason}") from error
        close_when_silent(transport)
        return connection


class BackEndDialer:
    """Opens connections directly, or through other daemons.

    Args:
        timeout_seconds: time limit for each connection.
        links: the state of this daemon's links; updated by each attempt.
        relays: chooses the daemons to connect through.
        secret: shared by all daemons.
        daemon: this daemon's instance name.
    """

    def __init__(
        self,
        timeout_seconds: float,
        links: LinkHealth,
        relays: RelayChoice,
        secret: str,
        daemon: str = "",
    ) -> None:
        self._daemon = daemon
        self._timeout_seconds = timeout_seconds
        self._links = links
        self._relays = relays
        self._secret = secret
        self._direct = DirectDialer(timeout_seconds)

    async def open(self, target: DialTarget, make: MakeConnection) -> BackEndConnection:
        """Return a new connection; see :class:`Dialer`."""
        if self._links.is_lost(target.back_end, target.service):
            return await self._open_relayed(target, make, self._timeout_seconds)
        direct = asyncio.create_task(self.open_direct(target, make))
        attempts = [direct]
        connection: BackEndConnection | None = None
        try:
            connection = await _first_connection(attempts, _DIRECT_HEAD_START_SECONDS)
            if connection is None:
                remaining = self._timeout_seconds - _DIRECT_HEAD_START_SECONDS
                relayed = self._open_relayed(target, make, remaining)
                attempts.append(asyncio.create_task(relayed))
                connection = await _first_connection(attempts)
        finally:
            _abandon(attempts, connection)
        if connection is None:
            raise _error_of(direct)
        if connection.relay:
            self._links.note_reached_by_peer(target.back_end, target.service)
        return connection

    async def open_direct(self, target: DialTarget, make: MakeConnection) -> BackEndConnection:
        """Return a new direct connection, and update the state of the links.

        Raises:
            ConnectFailedError: the back end could not be connected to.
        """
        started_at = steady_seconds()
        try:
            connection = await self._direct.open(target, make)
        except ConnectFailedError:
            late = steady_seconds() - started_at - self._timeout_seconds
            if late < BLOCKED_LOOP_SECONDS:
                self._links.note_failed(target.back_end, target.service)
            raise
        self._links.note_connected(target.back_end, target.service)
        return connection

    async def find_process_state(self, target: DialTarget, timeout_seconds: float) -> ProcessState:
        """Return the state of a back end's process.

        A connection may be refused because of this daemon's link, so another daemon is asked.
        """
        state = await find_process_state(target.address, timeout_seconds)
        if state is not ProcessState.GONE:
            return state
        try:
            connection = await self._open_relayed(
                target, make_unpooled_connection, self._timeout_seconds
            )
        except TunnelRefusedError as error:
            is_refused = error.status is tunnel_messages.CONNECTION_REFUSED
            return ProcessState.GONE if is_refused else ProcessState.SILENT
        except BackEndUnusableError:
            return ProcessState.SILENT
        except BackEndOutOfReachError:
            is_lost = self._links.is_lost(target.back_end, target.service)
            return ProcessState.SILENT if is_lost else ProcessState.GONE
        connection.abort()
        return ProcessState.ALIVE

    async def _open_relayed(
        self, target: DialTarget, make: MakeConnection, seconds: float
    ) -> BackEndConnection:
        """Return a connection through the first of several daemons that opens one in time.

        Raises:
            TunnelRefusedError: other daemons did not reach the back end either.
            BackEndUnusableError: the other daemons must not send requests to it now.
            BackEndOutOfReachError: no daemon can relay.
        """
        end = steady_seconds() + seconds
        relays: list[Relay] = []
        attempts: list[asyncio.Task[BackEndConnection]] = []
        connection: BackEndConnection | None = None
        try:
            for relay in self._relays.choose(target):
                relays.append(relay)
                attempt = self._open_through(relay, target, make)
                attempts.append(asyncio.create_task(attempt))
                connection = await _first_connection(attempts, _RELAY_HEAD_START_SECONDS)
                if connection is not None or self._is_refused(attempts):
                    break
            if connection is None:
                connection = await _first_connection(attempts, end - steady_seconds())
            self._note_unanswered(relays, attempts, target)
        finally:
            _abandon(attempts, connection)
        if connection is not None:
            return connection
        for error in (_error_of(each) for each in attempts):
            if _is_about_back_end(error):
                raise error
            if isinstance(error, TunnelRefusedError) and error.status is _UNUSABLE:
                raise BackEndUnusableError(str(error)) from error
        raise BackEndOutOfReachError(f"no daemon relays to {target.address}")

    def _is_refused(self, attempts: Sequence[asyncio.Task[BackEndConnection]]) -> bool:
        """Return whether the back end refuses connections, and not only those of cut-off daemons.

        The refusal by one other daemon suffices if this one's links worked a moment ago.
        """
        is_refused = any(_is_refused_by_back_end(_error_of(each)) for each in attempts)
        return is_refused and self._links.connected_recently()

    def _note_unanswered(
        self,
        relays: Sequence[Relay],
        attempts: Sequence[asyncio.Task[BackEndConnection]],
        target: DialTarget,
    ) -> None:
        """Avoid the daemons that have not answered although a later one has, or the time is over.

        They may be unreachable, or have lost their own links without having noticed yet.
        """
        for relay, attempt in zip(relays[:-1], attempts[:-1], strict=True):
            if not attempt.done():
                self._relays.note_failed(relay, target.service)

    async def _open_through(
        self, relay: Relay, target: DialTarget, make: MakeConnection
    ) -> BackEndConnection:
        def make_relayed() -> BackEndConnection:
            connection = make()
            connection.relay = relay.daemon
            connection.relay_region = relay.region
            return connection

        try:
            return await open_tunnel(
                relay.address,
                target.address,
                target.back_end,
                self._secret,
                make_relayed,
                self._daemon,
            )
        except TunnelRefusedError as error:
            if error.status not in _STATUSES_OF_WORKING_RELAYS:
                self._relays.note_failed(relay, target.service)
            raise
        except (OSError, ConnectFailedError) as error:
            self._relays.note_failed(relay, target.service)
            raise ConnectFailedError(f"relay {relay.address}: {error}") from error


async def _first_connection(
    attempts: Sequence[asyncio.Task[BackEndConnection]], seconds: float | None = None
) -> BackEndConnection | None:
    """Return the first connection of several attempts.

    The result is ``None`` if all attempts failed, or none succeeded within the time.
    """
    end = None if seconds is None else steady_seconds() + seconds
    pending = {each for each in attempts if not each.done()}
    while True:
        for each in attempts:
            connection = _result(each)
            if connection is not None:
                return connection
        remaining = None if end is None else end - steady_seconds()
        if not pending or (remaining is not None and remaining <= 0.0):
            return None
        _, pending = await asyncio.wait(
            pending, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
        )


def _result(attempt: asyncio.Task[BackEndConnection]) -> BackEndConnection | None:
    if not attempt.done() or attempt.cancelled() or attempt.exception() is not None:
        return None
    return attempt.result()


def _error_of(attempt: asyncio.Task[BackEndConnection]) -> BaseException:
    is_over = attempt.done() and not attempt.cancelled()
    error = attempt.exception() if is_over else None
    return error or ConnectFailedError("no connection in time")


def _is_refused_by_back_end(error: BaseException) -> bool:
    return (
        isinstance(error, TunnelRefusedError) and error.status is tunnel_messages.CONNECTION_REFUSED
    )


def _is_about_back_end(error: BaseException) -> bool:
    statuses = (tunnel_messages.CONNECTION_REFUSED, tunnel_messages.CONNECTION_TIMED_OUT)
    return isinstance(error, TunnelRefusedError) and error.status in statuses


def _abandon(
    attempts: Sequence[asyncio.Task[BackEndConnection]], used: BackEndConnection | None
) -> None:
    """Cancel the attempts that are not needed, and close the connections they have opened."""

    def close_unused(attempt: asyncio.Task[BackEndConnection]) -> None:
        connection = _result(attempt)
        if connection is not None and connection is not used:
            connection.abort()

    for attempt in attempts:
        attempt.cancel()
        attempt.add_done_callback(close_unused)


def make_unpooled_connection() -> BackEndConnection:
    """Return a connection that only shows whether a back end accepts it."""
    return BackEndConnection(lambda _: None)
