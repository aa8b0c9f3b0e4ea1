"""The fleet of a soak: daemons as processes, back ends and the store behind faulty proxies."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec
from loopback import free_address
from soak_back_end import SERVICE, Run, SoakBackEnd
from soak_caller import HOST
from soak_daemon import STOP_SECONDS, SoakDaemon
from store_stand_in import StoreStandIn

from kitekeel_lab.fault_proxy import FaultProxy
from kitekeel_lab.port_owner import SharedPortOwners

_ZONES = ("n1", "n2")
# A strong machine beside a weak one in each zone.
_PROCESSOR_SHARES = (2.1, 0.3)
UNKNOWN_HOST = "127.0.2.255"
_READY_SECONDS = 15.0
# From the end of a back end's process under a request until its next one has recorded itself.
_RESTART_SECONDS = 0.3


class OwnerLookup(msgspec.Struct, frozen=True):
    """When a proxy looked for the owner of a new connection, which waited; times are monotonic."""

    back_end: str
    begin: float
    end: float


class Disturbance(msgspec.Struct):
    """A span in which the connections to a back end were cut or delayed; times are monotonic."""

    back_end: str
    begin: float
    end: float = float("inf")


class SoakFleet:
    """Everything that one soak starts, and ends again.

    Args:
        folder: for settings and logs.
    """

    def __init__(self, folder: Path, daemons: int, back_ends: int) -> None:
        self.store = StoreStandIn(free_address())
        self.store.era = "1"
        self.runs: list[Run] = []
        self.version = 0
        self._started_at = self.now()
        self.back_ends = [
            SoakBackEnd(f"b{number}", _ZONES[number % 2], free_address(), self.runs)
            for number in range(back_ends)
        ]
        for each in self.back_ends:
            each.on_crash = self._note_crash
        self.unsafe_attempts = 1
        self.disturbed: list[Disturbance] = []
        self.lookups: list[OwnerLookup] = []
        self._port_owners = SharedPortOwners()
        self._crashes: set[asyncio.Task[None]] = set()
        self._proxied_addresses = [free_address() for _ in self.back_ends]
        self.back_end_proxies = [
            FaultProxy(listen, each.address, self._source_for)
            for listen, each in zip(self._proxied_addresses, self.back_ends, strict=True)
        ]
        self.daemons = [
            SoakDaemon(f"g{number}", _ZONES[number % 2], folder, f"127.0.2.{number + 1}")
            for number in range(daemons)
        ]
        self.store_proxies: list[FaultProxy] = []
        self._states: dict[str, str] = {}
        self._restarting: set[str] = set()
        self._evacuated: set[str] = set()

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    def elapsed(self) -> float:
        return self.now() - self._started_at

    def _source_for(self, port: int, proxy_port: int) -> str:
        """Return the address by which back ends know the daemon that owns a connection."""
        owners = {each.process_id: each.host for each in self.daemons if each.process_id}
        begin = time.monotonic()
        owner = self._port_owners.find(port, tuple(owners), proxy_port)
        ports = [each.rpartition(":")[2] for each in self._proxied_addresses]
        back_end = self.back_ends[ports.index(str(proxy_port))].instance
        self.lookups.append(OwnerLookup(back_end, begin, time.monotonic()))
        return owners[owner] if owner is not None else UNKNOWN_HOST

    async def start(self) -> None:
        """Start all, and return once every daemon is ready."""
        await self.store.start()
        for back_end in self.back_ends:
            await back_end.start()
        await self.write_configuration()
        await self.write_records()
        seeds = [each.peers for each in self.daemons[:2]]
        for number, daemon in enumerate(self.daemons):
            proxied = free_address()
            self.store_proxies.append(FaultProxy(proxied, self.store.address))
            daemon.write_settings(seeds, proxied, _PROCESSOR_SHARES[number // 2 % 2])
            daemon.start(self.now())
        await self.wait_ready()

    async def wait_ready(self) -> None:
        async with asyncio.timeout(_READY_SECONDS):
            for daemon in self.daemons:
                while not await self._is_ready(daemon):
                    await asyncio.sleep(0.1)

    def end(self) -> None:
        """End every process and proxy."""
        for daemon in self.daemons:
            daemon.send(signal.SIGKILL, 0.0)
        for proxy in (*self.back_end_proxies, *self.store_proxies):
            proxy.close()

    async def restart(self, daemon: SoakDaemon, number: signal.Signals) -> None:
        """End a daemon by a signal and start it again; nothing while that is going on already."""
        if daemon.name in self._restarting:
            return
        self._restarting.add(daemon.name)
        if daemon.is_frozen:
            daemon.send(signal.SIGCONT, self.now())
        daemon.send(number, self.now())
        if not await daemon.wait_ended(STOP_SECONDS + 2.0):
            daemon.send(signal.SIGKILL, self.now())
            await daemon.wait_ended(1.0)
        daemon.start(self.now())
        self._restarting.discard(daemon.name)

    def note_own_exits(self) -> None:
        """Note daemons that have ended without having been told to."""
        for daemon in self.daemons:
            status = daemon.exit_status()
            if status is not None and daemon.name not in self._restarting:
                daemon.own_exits.append(status)
                daemon.start(self.now())

    @contextlib.contextmanager
    def disturbing(self, *proxies: FaultProxy) -> Iterator[None]:
        """Note that the connections to the back ends of some proxies are cut meanwhile."""
        noted = [
            Disturbance(back_end.instance, self.now())
            for back_end, proxy in zip(self.back_ends, self.back_end_proxies, strict=True)
            if proxy in proxies
        ]
        self.disturbed += noted
        try:
            yield
        finally:
            for each in noted:
                each.end = self.now()

    async def write_again(self) -> None:
        """Write what the operator and the back ends have written, as after a restore."""
        await self.write_configuration_again()
        await self.write_records()
        for zone in self._evacuated:
            await self.evacuate(zone)

    async def write_configuration(self) -> None:
        """Write the next version; it adds a route of its own, to see which one is in force."""
        self.version += 1
        await self.write_configuration_again()

    async def write_configuration_again(self) -> None:
        routes = [
            _route("safe", 2),
            _route("unsafe", self.unsafe_attempts),
            _route(f"v{self.version}", 2),
        ]
        routes += [_route("urgent", 2, 0), _route("bulk", 2, 2)]
        service = {
            "entry_kind": "services",
            "metadata": {"name": SERVICE},
            "spec": {"max_conns": 300, "warmup": "1s", "warmup_per_s": 20},
        }
        document = {"version": self.version, "resources": [*routes, service]}
        await self.store.put_json("op/config", document)

    async def write_record(self, back_end: SoakBackEnd, state: str) -> None:
        address = self._proxied_addresses[self.back_ends.index(back_end)]
        self._states[back_end.instance] = state
        record = back_end.record(address, state)
        await self.store.put_json(f"servers/{back_end.instance}", record)

    def _note_crash(self, back_end: SoakBackEnd) -> None:
        task = asyncio.get_running_loop().create_task(self._record_restart(back_end))
        self._crashes.add(task)
        task.add_done_callback(self._crashes.discard)

    async def _record_restart(self, back_end: SoakBackEnd) -> None:
        await asyncio.sleep(_RESTART_SECONDS)
        await self.write_record(back_end, self._states.get(back_end.instance, "ready"))

    async def spoil_record(self, back_end: SoakBackEnd, value: bytes) -> None:
        """Leave what another writer might in the place of a back end's record."""
        await self.store.put(f"servers/{back_end.instance}", value)

    async def write_records(self) -> None:
        for back_end in self.back_ends:
            await self.write_record(back_end, self._states.get(back_end.instance, "ready"))

    async def remove_records(self) -> None:
        for back_end in self.back_ends:
            await self.store.remove(f"servers/{back_end.instance}")

    async def evacuate(self, zone: str) -> None:
        self._evacuated.add(zone)
        await self.store.put(f"op/evacuate/{zone}", b"{}")

    async def end_evacuation(self, zone: str) -> None:
        self._evacuated.discard(zone)
        await self.store.remove(f"op/evacuate/{zone}")

    async def _is_ready(self, daemon: SoakDaemon) -> bool:
        host, _, port = daemon.readiness.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                answer = await reader.read(64)
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in answer


def _route(name: str, attempts: int, priority: int = 1) -> dict[str, object]:
    return {
        "entry_kind": "routes",
        "metadata": {"name": name},
        "spec": {
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "unsafe" if name == "unsafe" else "safe",
            "timeout": "3s",
            "target_latency": "500ms",
            "priority": priority,
            "service": SERVICE,
            "max_attempts": attempts,
            "sticky": True,
        },
    }
