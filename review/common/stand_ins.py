"""Stand-ins for the platform's store, for servers and for clients, and the gateways as processes.

Only the standard library is used. Everything but the gateways runs on one event loop.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent.parent
LOOPBACK = "127.0.0.1"
HEARTBEAT_SECONDS = 1.5
Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def note(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")

    def close(self) -> None:
        self._file.close()


_ports = itertools.count(random.randrange(12_000, 31_000))


def free_port() -> int:
    """Return a port that nothing uses; none is returned twice.

    It lies below the ports that the kernel gives to outgoing connections, so that a gateway that
    was killed finds its ports free when it starts again.
    """
    while True:
        port = next(_ports)
        with socket.socket() as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port


# --- HTTP -------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or an answer; ``start`` holds the three parts of its first line."""

    start: tuple[str, str, str]
    headers: Headers
    body: bytes = b""
    is_complete: bool = True


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message without its body; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    first = (lines[0].split(" ", 2) + ["", ""])[:3]
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message((first[0], first[1], first[2]), headers)


async def read_body(reader: asyncio.StreamReader, message: Message, until_close: bool) -> None:
    """Read the body into a message; it is not complete if the connection breaks off."""
    headers = message.headers
    pieces: list[bytes] = []
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                pieces.append((await reader.readexactly(size + 2))[:-2])
                if not size:
                    break
        elif "content-length" in headers:
            pieces.append(await reader.readexactly(int(headers["content-length"])))
        elif until_close:
            while piece := await reader.read(65536):
                pieces.append(piece)
    except asyncio.IncompleteReadError as error:
        pieces.append(error.partial)
        message.is_complete = False
    except ConnectionError:
        message.is_complete = False
    message.body = b"".join(pieces)


def encode(first_line: str, headers: Headers, body: bytes = b"", sized: bool = True) -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    if sized:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def ask(
    port: int, method: str, target: str, headers: Headers, body: bytes = b"", seconds: float = 10.0
) -> Message | None:
    """Send one request on a new connection; return the answer, or ``None`` if there was none."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            sized = bool(body) or method not in ("GET", "DELETE")
            sent = {"Host": f"{LOOPBACK}:{port}", **headers}
            writer.write(encode(f"{method} {target} HTTP/1.1", sent, body, sized))
            answer = await read_head(reader)
            if answer is not None:
                await read_body(reader, answer, until_close=True)
            return answer
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


# --- the platform's store ---------------------------------------------------------------------


class Store:
    """The platform's store, after PROTOCOL.md: items with revisions, watches, leases."""

    def __init__(self) -> None:
        self.port = free_port()
        self.revision = 0
        self.items: dict[str, dict[str, object]] = {}
        self.events: list[dict[str, object]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> Store:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        self._expiry = asyncio.create_task(self._expire())
        return self

    def _note(self, event: dict[str, object]) -> None:
        self.events.append(event)
        former, self._changed = self._changed, asyncio.Event()
        former.set()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key; return the revision. The return is the store's acknowledgement."""
        self.revision += 1
        made = self.items.get(key, {}).get("made", self.revision)
        encoded = base64.b64encode(value).decode()
        item = {"key": key, "value": encoded, "rev": self.revision, "made": made, "lease": lease}
        self.items[key] = item
        self._note(item)
        return self.revision

    def put_json(self, key: str, value: object) -> int:
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> int:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "rev": self.revision, "gone": True})
        return self.revision

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            now = time.monotonic()
            for lease in [each for each, (end, _) in self.leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        for key in [each for each, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_head(reader)) is not None:
                await read_body(reader, call, until_close=False)
                status, answer = await self._answer(call)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status} Answer", headers, body))
                await writer.drain()
        writer.close()

    async def _answer(self, call: Message) -> tuple[int, dict[str, object]]:
        method, target, _ = call.start
        path, _, query = target.partition("?")
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        body = json.loads(call.body) if call.body else {}
        if path == "/kv-key":
            item = self.items.get(asked["key"])
            return (404, {}) if item is None else (200, {**item, "at": self.revision})
        if path == "/kv-range":
            return 200, self._range(asked)
        if path == "/kv-watch":
            return await self._watch(asked)
        if path == "/kv-txn":
            return self._transact(body)
        if path == "/kv-lease":
            seconds = _seconds(body["ttl_time"])
            lease = 1000 + len(self.events) + len(self.leases) + self.revision
            while lease in self.leases:
                lease += 1
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": lease, "ttl_time": body["ttl_time"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        seconds = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_time": f"{round(seconds * 1000)}ms"}

    def _range(self, asked: dict[str, str]) -> dict[str, object]:
        prefix, after = asked["path_prefix"], asked.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        found = [self.items[key] for key in keys[:500]]
        return {"items": found, "more": len(keys) > 500, "at": self.revision}

    async def _watch(self, asked: dict[str, str]) -> tuple[int, dict[str, object]]:
        end = time.monotonic() + int(asked["wait_ms"]) / 1000
        after, prefix = int(asked["after"]), asked["path_prefix"]
        while True:
            changed = self._changed
            found = [
                each
                for each in self.events
                if int(str(each["rev"])) > after and str(each["key"]).startswith(prefix)
            ]
            remaining = end - time.monotonic()
            if found or remaining <= 0:
                return 200, {"events": found, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), remaining)

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        rows = body.get("expected_rev", [])
        if any(row["rev"] != self.items.get(str(row["key"]), {}).get("rev", 0) for row in rows):
            found = [self.items[str(row["key"])] for row in rows if str(row["key"]) in self.items]
            return 412, {"items": found}
        puts = body.get("put", [])
        if any(each.get("lease") and each["lease"] not in self.leases for each in puts):
            return 404, {}
        for each in puts:
            lease = int(str(each.get("lease") or 0))
            self.put(str(each["key"]), base64.b64decode(str(each["value"])), lease)
        for key in body.get("remove", []):
            self.remove(str(key))
        return 200, {"rev": self.revision}


def _seconds(text: str) -> float:
    return float(text[:-2]) / 1000 if text.endswith("ms") else float(text[:-1])


# --- servers ----------------------------------------------------------------------------------


@dataclass
class Run:
    """One request that a server has begun to work on."""

    request_id: str
    server: str
    arrived_at: float
    is_answered: bool = False


Answerer = Callable[["Server", Message, asyncio.StreamWriter, str], Awaitable[bool]]


@dataclass
class Server:
    """A sound server, which records itself in the store.

    Attributes:
        answer: writes the answer to a request that runs; the default one after ``work_seconds``.
        handshake_seconds: time that the server needs for each new connection.
        backlog: connections that may wait to be accepted; further ones are not answered.
    """

    store: Store
    record: Record
    name: str
    service: str
    zone: str
    slots: int = 6
    queue: int = 18
    work_seconds: float = 0.1
    handshake_seconds: float = 0.0
    backlog: int = 1024
    cold_remaining_ms: int = 0
    answer: Answerer | None = None
    on_arrival: Callable[[Server, str], None] = lambda _server, _id: None
    port: int = field(default_factory=free_port)
    state: str = "ready"
    seq: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    running: int = 0
    runs: list[Run] = field(default_factory=list)
    is_registered: bool = True
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.slots)
        self._waiting = 0

    async def start(self) -> Server:
        listener = socket.create_server((LOOPBACK, self.port), backlog=self.backlog)
        listener.setblocking(False)
        self._listener = listener
        self._spawn(self._accept(listener))
        self._spawn(self._beat())
        return self

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def crash(self) -> None:
        """End at once: nothing listens at the address, and all connections are closed."""
        self.is_registered = False
        self._listener.close()
        for task in list(self.tasks):
            task.cancel()

    def write_entry(self) -> int:
        self.seq += 1
        return self.store.put_json(f"servers/{self.name}", self._entry())

    def _entry(self) -> dict[str, object]:
        return {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining": f"{self.cold_remaining_ms}ms",
            "seq": self.seq,
            "born": self.born,
        }

    async def _beat(self) -> None:
        # Nothing but `seq` changes at a beat, so the entry does not change in the store either.
        self.write_entry()
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            if self.is_registered and f"servers/{self.name}" not in self.store.items:
                self.write_entry()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(listener)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda p=protocol: p, connection)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            self._spawn(self._serve(reader, writer))
            if self.handshake_seconds:
                await asyncio.sleep(self.handshake_seconds)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keeps = True
        try:
            while keeps and (request := await read_head(reader)) is not None:
                await read_body(reader, request, until_close=False)
                keeps = await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = request.headers.get("request-id", "")
        common = {"Server-Load": f"{self.running},{self._waiting},{self.slots}"}
        if request_id:
            common["Request-Id"] = request_id
        if request.start[1] == "/health":
            writer.write(encode("HTTP/1.1 200 OK", {**common, "Instance-Id": self.name}))
            return True
        target = request.headers.get("target-instance", self.name)
        if target != self.name:
            headers = {**common, "Instance-Id": self.name}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return True
        self.on_arrival(self, request_id)
        if self._slots.locked() and self._waiting >= self.queue:
            headers = {**common, "Not-Executed": "1"}
            writer.write(encode("HTTP/1.1 503 Service Unavailable", headers))
            return True
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        self.running += 1
        run = Run(request_id, self.name, time.monotonic())
        self.runs.append(run)
        self.record.note(f"run {request_id} at {self.name}")
        try:
            if self.answer is not None:
                return await self.answer(self, request, writer, seal(request_id))
            await asyncio.sleep(self.work_seconds)
            headers = {"Request-Id": request_id, "Server-Seal": seal(request_id)}
            headers["Server-Load"] = f"{self.running},{self._waiting},{self.slots}"
            writer.write(encode("HTTP/1.1 200 OK", headers, body_of(request_id, 1000)))
            await writer.drain()
            run.is_answered = True
            return True
        finally:
            self.running -= 1
            self._slots.release()


def seal(request_id: str) -> str:
    return f"seal-{request_id}"


def body_of(request_id: str, size: int) -> bytes:
    """Return the whole body that a server sends to a request."""
    line = f"{request_id} ".encode()
    return (line * (size // len(line) + 1))[:size]


# --- gateways ---------------------------------------------------------------------------------


def render(template: str, fields: object) -> str:
    """Fill a settings template as DEPLOY.md says, as far as platform/gateway.ini needs it."""
    tags = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")

    def find(name: str, scopes: list[object]) -> object:
        for scope in reversed(scopes):
            value: object = scope
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    value = None
            if value is not None:
                return value
        return None

    def text(value: object) -> str:
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(text(each) for each in value)
        if isinstance(value, bool):
            return "true" if value else "false"
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def entries(value: object) -> Iterator[tuple[object, object]]:
        if isinstance(value, dict):
            yield from value.items()
        elif isinstance(value, list):
            yield from enumerate(value)
        elif value:
            yield "", value

    def fill(part: str, scopes: list[object], key: object, is_last: bool) -> str:
        out, at = "", 0
        while (tag := tags.search(part, at)) is not None:
            out += part[at : tag.start()]
            kind, name = tag.groups()
            at = tag.end()
            if kind in ("#", "^"):
                end = part.index("{{/" + name + "}}", at)
                inner, at = part[at:end], end + len(name) + 5
                found = list(entries(find(name, scopes)))
                if kind == "#":
                    for number, (each_key, each) in enumerate(found):
                        out += fill(inner, [*scopes, each], each_key, number == len(found) - 1)
                elif not found:
                    out += fill(inner, scopes, key, is_last)
            elif name == ",":
                out += "" if is_last else ","
            elif name == "@":
                out += str(key)
            elif name == ".":
                out += text(scopes[-1])
            else:
                out += text(find(name, scopes))
        return out + part[at:]

    return fill(template, [fields], "", True)


@dataclass
class Site:
    """A small deployment: zones with their regions, bounds and contracts of a site file."""

    zones: dict[str, str]
    bounds: dict[str, object]
    contracts: tuple[str, ...] = ("base", "drain", "config", "cost", "retry", "recover")


QUETZAL_BOUNDS: dict[str, object] = {
    "contact": "4000ms",
    "drain": "2500ms",
    "grace": "6s",
    "loss_slack": "200ms",
    "config_apply": "2500ms",
    "retry_budget_ratio": 0.2,
    "budget_window": "10s",
    "budget_slack": 62,
    "cold_over": 1.5,
    "cold_slack": 5,
    "evacuate": "5000ms",
    "ttl_max": "5s",
}


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, site: Site, store: Store, folder: Path, name: str, zone: str) -> None:
        self.name, self.zone = name, zone
        self.ports = {each: free_port() for each in ("front", "ready", "control", "directory")}
        self.internal = [free_port(), free_port()]
        self._site, self._store, self._folder = site, store, folder
        self.seeds: list[str] = []
        self.is_first_start = True
        self.process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        return f"{LOOPBACK}:{self.ports['control']}"

    def _settings(self) -> dict[str, object]:
        return {
            "node_name": self.name,
            "machine_class": "front",
            "ip": LOOPBACK,
            "zone": self.zone,
            "region": self._site.zones[self.zone],
            "zones": self._site.zones,
            "listen": {name: f"{LOOPBACK}:{port}" for name, port in self.ports.items()},
            "internal_ports": self.internal,
            "seeds": self.seeds,
            "bootstrap": self.is_first_start,
            "limits": {"cpu_share": 0.86, "cpu_cores": 1, "memory_mb": 300, "link_mbps": 1000.0},
            "heartbeat": "1500ms",
            "contracts": list(self._site.contracts),
            "bounds": self._site.bounds,
            "platform": {"address": f"{LOOPBACK}:{self._store.port}"},
        }

    async def start(self) -> Gateway:
        template = (ROOT / "platform" / "gateway.ini").read_text(encoding="utf-8")
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(render(template, self._settings()), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {"KITEKEEL_CONFIG": str(settings), "PYTHONDONTWRITEBYTECODE": "1"}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "platform/main.py", cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.is_first_start = False
        return self

    async def wait_until_ready(self, seconds: float = 30.0) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answer = await ask(self.ports["ready"], "GET", "/readiness", {}, seconds=1.0)
            if answer is not None and answer.start[1] == "200":
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process, if there is one, and wait until it is gone."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def metrics(self, word: str) -> list[str]:
        """Return the lines of the gateway's own figures that hold a word."""
        answer = await ask(self.internal[0], "GET", "/metrics", {})
        lines = answer.body.decode().splitlines() if answer is not None else []
        return [each for each in lines if word in each and "_created" not in each]


async def start_gateways(
    site: Site, store: Store, folder: Path, names: dict[str, str]
) -> list[Gateway]:
    """Start gateways, given as names with zones, and wait until all are ready."""
    gateways = [Gateway(site, store, folder, name, zone) for name, zone in names.items()]
    for each in gateways:
        each.seeds = [other.control for other in gateways[:3]]
    await asyncio.gather(*(each.start() for each in gateways))
    ready = await asyncio.gather(*(each.wait_until_ready() for each in gateways))
    if not all(ready):
        for each in gateways:
            await each.kill()
        raise CannotRunError("a gateway did not become ready")
    return gateways


class CannotRunError(Exception):
    """The case could not be run."""


Case = Callable[[Record, bool, Path], Awaitable[int]]


def run_case(case: Case, record_path: Path) -> int:
    """Run a case within 115 seconds; return the exit code of its script."""
    record = Record(record_path)
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"TROUBLE={int(with_trouble)}")

    async def bounded(folder: Path) -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(115.0):
            return await case(record, with_trouble, folder)

    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            code = asyncio.run(bounded(Path(folder)))
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}", file=sys.stderr)
        code = 2
    record.note(f"exit {code}")
    record.close()
    return code
