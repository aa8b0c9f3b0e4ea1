"""A back end whose process ends under requests for certain paths, and starts again after a while.

It closes its listener and all its connections at once, as the kernel does for a process that ends.
"""

import asyncio
import time
from collections import defaultdict
from http import HTTPStatus
from typing import ClassVar

import msgspec
from gateway_stand_ins import NAMES
from loopback import free_address
from memory_store import MemoryStore

from kitekeel_callers.http_connection import CallerConnection
from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest, find_header
from kitekeel_steering.routing import CallerLimits

_FIRST_START_MS = 1_783_133_796_000


class Arrival(msgspec.Struct, frozen=True):
    """A request that a back end began to run."""

    path: str
    at: float


class CrashingBackEnd:
    """A back end on one address.

    Args:
        store: where it records itself at each start.
        slots: requests that it works on at once; more are turned away.
        takes_new_names: whether it has another name after each start, as after most crashes.
        version: of its software; those in ``harmless_versions`` survive every path.
    """

    crash_part: ClassVar[str] = "crash"
    harmless_versions: ClassVar[frozenset[str]] = frozenset()

    def __init__(
        self,
        store: MemoryStore,
        name: str,
        slots: int = 8,
        takes_new_names: bool = False,
        version: str = "",
        cold_seconds: float = 0.0,
    ) -> None:
        self._cold_seconds = cold_seconds
        self._store = store
        self._name = name
        self._takes_new_names = takes_new_names
        self._address = free_address()
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._running = 0
        self._slots = slots
        self.version = version
        self.record = BackEndRecord(name, "search", self._address, "n1", slots)
        self.opened = 0
        self.arrivals: list[Arrival] = []
        self.crashes: list[Arrival] = []
        self.seconds_by_part: dict[str, float] = defaultdict(lambda: 0.01)
        self.crash_after_seconds = 0.05
        self.down_seconds = 1.0

    async def start(self) -> "CrashingBackEnd":
        """Listen, and record itself as another process than before."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self._handle, self), host, int(port), reuse_address=True
        )
        self._starts += 1
        self._running = 0
        name = f"{self._name}-{self._starts}" if self._takes_new_names else self._name
        self.record = BackEndRecord(
            name,
            "search",
            self._address,
            "n1",
            self._slots,
            cold_seconds=self._cold_seconds,
            version=self.version,
            started_at_ms=_FIRST_START_MS + self._starts,
        )
        await self._store.put_back_end(self.record)
        return self

    async def crash(self) -> None:
        """End at once, and start again after a while."""
        if self._server is None:
            return
        server, self._server = self._server, None
        server.close()
        for connection in list(self._connections):
            connection.abort()
        await asyncio.sleep(self.down_seconds)
        if self._takes_new_names:
            await self._store.remove_back_end(self.record.instance)
        await self.start()

    def limits(self) -> CallerLimits:
        return CallerLimits()

    def is_stopping(self) -> bool:
        return False

    def connection_opened(self, connection: CallerConnection) -> None:
        self.opened += 1
        self._connections.add(connection)

    def connection_closed(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)

    async def _handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        headers = ((NAMES.request_id, find_header(request.headers, NAMES.request_id) or b""),)
        if find_header(request.headers, NAMES.target_instance) != self.record.instance.encode():
            return own_answer(HTTPStatus.MISDIRECTED_REQUEST, headers)
        if self._running >= self._slots:
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, (NAMES.not_run, b"1")))
        self._running += 1
        started = self._starts
        try:
            return await self._run(request, headers)
        finally:
            if started == self._starts:
                self._running -= 1

    async def _run(
        self, request: ProxiedRequest, headers: tuple[tuple[bytes, bytes], ...]
    ) -> ProxiedAnswer:
        path = request.target.decode()
        self.arrivals.append(Arrival(path, time.monotonic()))
        if self.crash_part in path and self.version not in self.harmless_versions:
            await asyncio.sleep(self.crash_after_seconds)
            self.crashes.append(Arrival(path, time.monotonic()))
            crash = asyncio.get_running_loop().create_task(self.crash())
            await asyncio.shield(crash)
        part = next((each for each in self.seconds_by_part if each in path), "")
        await asyncio.sleep(self.seconds_by_part[part] if part else 0.01)
        return own_answer(HTTPStatus.OK, headers, self.record.instance.encode())
