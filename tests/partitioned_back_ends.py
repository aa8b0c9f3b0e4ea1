"""Cuts the links between chosen gateways and their back ends, for gateways on one event loop."""

import asyncio
import contextvars
import enum
import random
import time
from collections.abc import Callable, Collection, Sequence
from typing import Any

import msgspec
from gateway_stand_ins import BackEndStandIn, RunningGateway, ask, fleet
from memory_store import MemoryStore

from kitekeel_steering.clock import steady_seconds

_current_gateway: contextvars.ContextVar[str] = contextvars.ContextVar("gateway", default="")


class OpenConnections(enum.Enum):
    """What happens to a gateway's open connections to back ends when its links are cut."""

    SILENT = "silent"
    RESET = "reset"
    WORKING = "working"


class NewConnections(enum.Enum):
    """What happens to connections that a gateway opens to back ends while its links are cut."""

    HANG = "hang"
    REFUSED = "refused"


class Cut(msgspec.Struct, frozen=True):
    """A cut of the links between some gateways and some back ends."""

    gateways: frozenset[str]
    addresses: frozenset[str]
    open_connections: OpenConnections
    new_connections: NewConnections


class _Link:
    """An open connection of a gateway to a back end."""

    def __init__(self, gateway: str, address: str, transport: asyncio.Transport) -> None:
        self.gateway = gateway
        self.address = address
        self.transport: Any = transport
        self._write = transport.write
        self._held_bytes: list[bytes] = []

    def silence(self) -> None:
        self.transport.pause_reading()
        self.transport.write = self._held_bytes.append

    def restore(self) -> None:
        if self.transport.is_closing():
            return
        self.transport.write = self._write
        for data in self._held_bytes:
            self._write(data)
        self._held_bytes.clear()
        self.transport.resume_reading()


class PartitionedNetwork:
    """Applies cuts to the connections that gateways open on the running event loop.

    A connection belongs to the gateway whose tasks opened it, see :func:`start_gateway`.
    """

    def __init__(self, store: MemoryStore, back_ends: Collection[BackEndStandIn]) -> None:
        self.store = store
        self.addresses = frozenset(each.address for each in back_ends)
        self._links: list[_Link] = []
        self._cut: Cut | None = None
        self._silenced: list[_Link] = []
        self.local_hosts: dict[str, str] = {}
        loop: Any = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        loop.create_connection = self._connect

    def _next_host(self) -> str:
        """Return an address of its own for a gateway, by which back ends can tell it."""
        return f"127.0.1.{len(self.local_hosts) + 1}"

    def begin(self, cut: Cut) -> None:
        self._cut = cut
        for link in self._links:
            self._apply_cut(link)

    def _apply_cut(self, link: _Link) -> None:
        cut = self._cut
        if cut is None or not self._is_cut(link.gateway, link.address):
            return
        if link.transport.is_closing():
            return
        if cut.open_connections is OpenConnections.RESET:
            link.transport.abort()
        elif cut.open_connections is OpenConnections.SILENT:
            link.silence()
            self._silenced.append(link)

    def heal(self) -> None:
        self._cut = None
        for link in self._silenced:
            link.restore()
        self._silenced.clear()

    def _is_cut(self, gateway: str, address: str) -> bool:
        cut = self._cut
        return cut is not None and gateway in cut.gateways and address in cut.addresses

    async def _connect(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        **options: Any,
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        address, gateway = f"{host}:{port}", _current_gateway.get()
        if address in self.addresses and gateway:
            options["local_addr"] = (self.local_hosts.setdefault(gateway, self._next_host()), 0)
        while self._is_cut(gateway, address):
            assert self._cut is not None
            if self._cut.new_connections is NewConnections.REFUSED:
                raise ConnectionRefusedError("the link is cut")
            await asyncio.sleep(0.05)
        made = await self._create_connection(protocol_factory, host, port, **options)
        if address in self.addresses and gateway:
            self._links = [each for each in self._links if not each.transport.is_closing()]
            link = _Link(gateway, address, made[0])
            self._links.append(link)
            # The cut may have begun while the connection was being opened.
            self._apply_cut(link)
        return made


async def start_gateway(gateway: RunningGateway) -> RunningGateway:
    """Start a gateway whose connections the network can tell from those of others."""
    token = _current_gateway.set(gateway.name)
    try:
        return await gateway.start()
    finally:
        _current_gateway.reset(token)


class FirstTry(msgspec.Struct, frozen=True):
    """The outcome of one request that is not retried by its caller; times in seconds."""

    gateway: str
    route: str
    sent_at: float
    seconds: float
    status: int

    @property
    def is_served(self) -> bool:
        return self.status == 200


class FirstTries:
    """Sends requests to random gateways, half of them repeatable, and collects the outcomes."""

    def __init__(
        self, gateways: list[RunningGateway], per_second: float, seed: int = 5, keys: int = 40
    ) -> None:
        self._gateways = gateways
        self._per_second = per_second
        self._random = random.Random(seed)
        self._keys = keys
        self.tries: list[FirstTry] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._number = 0
        self.sent_at: dict[str, float] = {}

    async def run(self, seconds: float) -> None:
        """Send requests for a number of seconds, without waiting for the last answers."""
        end = next_at = steady_seconds()
        end += seconds
        while next_at < end:
            await asyncio.sleep(max(0.0, next_at - steady_seconds()))
            self._number += 1
            gateway = self._random.choice(self._gateways)
            self._tasks.append(asyncio.create_task(self._ask(gateway, self._number)))
            next_at += self._random.expovariate(self._per_second)

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _ask(self, gateway: RunningGateway, number: int) -> None:
        route = self._random.choice(("safe", "unsafe"))
        key = str(self._random.randrange(self._keys))
        sent_at = time.monotonic()
        try:
            request_id = f"{route}-{number}"
            self.sent_at[request_id] = sent_at
            status, _, _ = await ask(gateway.callers, f"/{route}/x", request_id, key=key)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        seconds = time.monotonic() - sent_at
        self.tries.append(FirstTry(gateway.name, route, sent_at, seconds, status))

    def sent_between(
        self, begin: float, end: float, gateways: Collection[str] | None = None
    ) -> list[FirstTry]:
        """Return the tries sent in a span of monotonic time, to all gateways or to some."""
        return [
            each
            for each in self.tries
            if begin <= each.sent_at < end and (gateways is None or each.gateway in gateways)
        ]


def served_fraction(tries: list[FirstTry]) -> float:
    return sum(each.is_served for each in tries) / len(tries)


async def partitionable_fleet(
    gateways: int, back_ends: int
) -> tuple[PartitionedNetwork, list[RunningGateway], list[BackEndStandIn]]:
    """Start back ends and gateways of one region on a network that can be cut."""
    store, servers = await fleet(back_ends)
    for each in servers:
        each.seconds = 0.1
    network, started = await start_on_network(store, servers, gateways)
    return network, started, servers


async def start_on_network(
    store: MemoryStore, servers: Sequence[BackEndStandIn], gateways: int
) -> tuple[PartitionedNetwork, list[RunningGateway]]:
    """Start gateways of one region on a network that can be cut."""
    network = PartitionedNetwork(store, servers)
    first = await start_gateway(RunningGateway(store, "g0"))
    others = (
        start_gateway(RunningGateway(store, f"g{number}", first.peers))
        for number in range(1, gateways)
    )
    return network, [first, *await asyncio.gather(*others)]
