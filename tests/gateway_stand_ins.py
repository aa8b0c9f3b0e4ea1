"""An in-memory store, an adapter and back ends for tests of whole gateways in one process."""

import asyncio
import json
import socket
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path

from kitekeel_callers.http_connection import Handler
from kitekeel_callers.http_listener import HttpListener
from kitekeel_daemon.gateway import Gateway
from kitekeel_daemon.platform_adapter import LookupEndpoint
from kitekeel_daemon.request_router import own_answer
from kitekeel_platform.fleet_store import (
    FleetItems,
    HistoryLostError,
    LeaseEndedError,
    RegisteredDaemon,
)
from kitekeel_steering.errors import PlatformUnavailableError
from kitekeel_steering.fleet_view import (
    BackEndRecord,
    FleetPart,
    ItemKind,
    ViewItem,
    part_of,
)
from kitekeel_steering.gateway_settings import parse_gateway_settings
from kitekeel_steering.proxied_messages import (
    HeaderNames,
    ProxiedAnswer,
    ProxiedRequest,
    find_header,
)
from kitekeel_steering.routing import (
    CallerLimits,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)

NAMES = HeaderNames()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class MemoryStore:
    """The platform's store as one object; daemons may be turned away by name."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[tuple[ItemKind, str], ViewItem] = {}
        self.history: list[ViewItem] = []
        self.oldest = 0
        self.daemons: dict[str, RegisteredDaemon] = {}
        self.turned_away: set[str] = set()
        self.changed = asyncio.Condition()
        self.calls = 0

    async def put(self, item: ViewItem) -> None:
        async with self.changed:
            self.revision += 1
            stamped = ViewItem(
                item.kind,
                item.name,
                self.revision,
                item.configuration,
                item.back_end,
                item.removed,
            )
            key = (item.kind, item.name)
            if item.removed:
                self.items.pop(key, None)
            else:
                self.items[key] = stamped
            self.history.append(stamped)
            self.changed.notify_all()

    async def put_back_end(self, record: BackEndRecord) -> None:
        await self.put(ViewItem(ItemKind.BACK_END, record.instance, 0, back_end=record))

    async def remove_back_end(self, instance: str) -> None:
        await self.put(ViewItem(ItemKind.BACK_END, instance, 0, removed=True))

    async def put_configuration(self, configuration: RoutingConfiguration) -> None:
        await self.put(ViewItem(ItemKind.CONFIGURATION, "", 0, configuration=configuration))

    async def forget_history(self) -> None:
        async with self.changed:
            self.oldest = self.revision
            self.history.clear()
            self.changed.notify_all()

    def open_for(self, name: str) -> "StoreView":
        return StoreView(self, name)


class StoreView:
    """The store as one daemon sees it."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store
        self._name = name

    def _check(self) -> None:
        self._store.calls += 1
        if self._name in self._store.turned_away:
            raise PlatformUnavailableError("turned away")

    async def read(self, part: FleetPart) -> FleetItems:
        self._check()
        found = [each for each in self._store.items.values() if part_of(each.kind) is part]
        return FleetItems(tuple(found), self._store.revision)

    async def watch(self, part: FleetPart, after: int, wait_seconds: float) -> FleetItems:
        self._check()
        store = self._store
        found: list[ViewItem] = []

        def arrived() -> bool:
            if after < store.oldest or self._name in store.turned_away:
                return True
            found[:] = [
                each
                for each in store.history
                if each.revision > after and part_of(each.kind) is part
            ]
            return bool(found)

        try:
            async with asyncio.timeout(wait_seconds), store.changed:
                await store.changed.wait_for(arrived)
        except TimeoutError:
            return FleetItems((), after)
        self._check()
        if after < store.oldest:
            raise HistoryLostError("history lost")
        return FleetItems(tuple(found), found[-1].revision)

    async def grant_lease(self, life_seconds: float) -> int:
        self._check()
        return 1

    async def renew_lease(self, lease: int) -> None:
        self._check()
        if self._name not in self._store.daemons:
            raise LeaseEndedError("the lease is over")

    async def end_lease(self, lease: int) -> None:
        self._check()
        self._store.daemons.pop(self._name, None)

    async def register(self, daemon: RegisteredDaemon, lease: int) -> None:
        self._check()
        self._store.daemons[self._name] = daemon

    async def registered_daemons(self) -> tuple[RegisteredDaemon, ...]:
        self._check()
        return tuple(self._store.daemons.values())


class ProductAdapter:
    """The product's own header names and paths over the in-memory store."""

    def __init__(self, store: MemoryStore, name: str) -> None:
        self._store = store
        self._name = name

    def header_names(self) -> HeaderNames:
        return NAMES

    def open_store(self, address: str) -> StoreView:
        return self._store.open_for(self._name)

    def lookup_handler(self, endpoint: LookupEndpoint) -> Handler:
        async def handle(request: ProxiedRequest) -> ProxiedAnswer:
            region = request.target.decode().rpartition("/")[2]
            body = json.dumps(list(endpoint.entries(region, ""))).encode()
            return own_answer(HTTPStatus.OK, body=body)

        return handle

    def readiness_handler(self, is_ready: Callable[[], bool]) -> Handler:
        async def handle(_request: ProxiedRequest) -> ProxiedAnswer:
            return own_answer(HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE)

        return handle


class BackEndStandIn:
    """A back end that counts what it ran, and fails as told."""

    def __init__(self, instance: str, zone: str = "n1", slots: int = 4) -> None:
        self.address = free_address()
        self.record = BackEndRecord(instance, "search", self.address, zone, slots)
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.seconds = 0.0
        self.sheds = False
        self.is_replaced = False
        self.status = 200

    async def start(self) -> "BackEndStandIn":
        await HttpListener(self.address, self._handle).start()
        return self

    async def _handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        request_id = find_header(request.headers, NAMES.request_id) or b""
        headers = ((NAMES.request_id, request_id),)
        wanted = find_header(request.headers, NAMES.target_instance)
        if self.is_replaced or wanted != self.record.instance.encode():
            return own_answer(HTTPStatus.MISDIRECTED_REQUEST, headers)
        if self.sheds:
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, (NAMES.not_run, b"1")))
        self.ran.append(request_id.decode())
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled.append(request_id.decode())
            raise
        return own_answer(HTTPStatus(self.status), headers, self.record.instance.encode())


def configuration(version: int = 1, **changes: object) -> RoutingConfiguration:
    parts = (WeightedService("search", 1.0),)
    safe = Route("safe", "h", "/safe/", True, 2.0, 0.5, 1, parts, 2, True)
    unsafe = Route("unsafe", "h", "/unsafe/", False, 2.0, 0.5, 1, parts, 2, True)
    service = Service("search", connection_limit=50, warm_up_seconds=1.0, warm_up_rate=10.0)
    timeout = changes.get("timeout_seconds")
    routes = [safe, unsafe]
    if timeout is not None:
        routes = [_with_timeout(each, float(str(timeout))) for each in routes]
    return RoutingConfiguration(version, tuple(routes), (service,), CallerLimits())


def _with_timeout(route: Route, seconds: float) -> Route:
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        route.repeatable,
        seconds,
        route.objective_seconds,
        route.priority,
        route.parts,
        route.max_attempts,
        route.sticky,
    )


class RunningGateway:
    """A gateway of the process's own event loop, with its addresses."""

    def __init__(self, store: MemoryStore, name: str, seeds: str = "") -> None:
        self.callers = free_address()
        self.readiness = free_address()
        self.lookups = free_address()
        self.peers = free_address()
        self.metrics = free_address()
        text = f"""
[daemon]
name = {name}
region = north
zone = n1
zones = n1:north,s1:south
[addresses]
callers = {self.callers}
readiness = {self.readiness}
lookups = {self.lookups}
metrics = {self.metrics}
[peers]
address = {self.peers}
seeds = {seeds}
secret = a-secret-for-the-tests
[store]
address = 127.0.0.1:1
[limits]
retry_ratio = 0.2
retry_window = 10s
stop = 2s
"""
        settings = parse_gateway_settings(text)
        self.gateway = Gateway(settings, Path("unused.ini"), ProductAdapter(store, name))
        self.task: asyncio.Task[None] | None = None

    async def start(self, ready: bool = True) -> "RunningGateway":
        self.task = asyncio.create_task(self.gateway.run())
        while ready and not self.gateway.is_ready():
            await asyncio.sleep(0.02)
        while not ready and not await is_listening(self.callers):
            await asyncio.sleep(0.02)
        return self

    async def stop(self) -> None:
        self.gateway.request_stop()
        if self.task is not None:
            await self.task


async def is_listening(address: str) -> bool:
    host, port = address.split(":")
    try:
        _, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    writer.close()
    return True


async def ask(
    address: str, path: str, request_id: str, deadline_ms: int = 2000, key: str = ""
) -> tuple[int, dict[str, str], str]:
    """Send one request on a connection of its own; return status, headers and body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        f"GET {path} HTTP/1.1",
        "Host: h",
        f"{NAMES.request_id.decode()}: {request_id}",
        f"{NAMES.deadline.decode()}: {deadline_ms}",
        f"Cookie: {NAMES.affinity_cookie}={key}",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    writer.close()
    return int(head.split()[1]), headers, body.decode()
