"""A gateway that relays is killed while an answer without a length passes through it."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import stand_ins as s  # noqa: E402

# Connections to servers rest 6 s at most in a gateway, so each group of requests opens new ones.
GROUPS = 10
SECONDS_BETWEEN_GROUPS = 6.3
REQUESTS = 200
# Between the groups, requests keep coming one by one.
STEADY_PER_SECOND = 12.0
SERVERS = 8
# The dose of `garble`, `how = "unframed"`, in the site file: of half of the servers, 1 answer in 20.
UNFRAMED_SERVERS = SERVERS // 2
UNFRAMED_SHARE = 0.05
# The largest answers and the mean time of work of `device-status`; a server writes as it works.
ANSWER_BYTES = 30_000
WORK_SECONDS = 0.64
PIECES = 10
HANDSHAKE_SECONDS = 0.001
ACCEPT_QUEUE = 4
SECOND_HALF_SECONDS = 0.45
KILL_AFTER_SECONDS = 0.6


def configuration() -> dict[str, object]:
    route = {
        "host": "catalogue.example",
        "path_prefix": "/read/",
        "kind": "safe",
        "timeout": "2000ms",
        "target_latency": "500ms",
        "priority": 2,
        "service": "reading",
        "max_attempts": 2,
        "sticky": True,
        "home_regions": [],
    }
    service = {"health_path": "/health", "max_conns": 390, "warmup": "3s", "warmup_per_s": 7.0}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    return {
        "version": 7,
        "resources": [
            {"entry_kind": "routes", "metadata": {"name": "r-1"}, "spec": route},
            {"entry_kind": "services", "metadata": {"name": "reading"}, "spec": service},
            {"entry_kind": "limits", "metadata": {}, "spec": limits},
        ],
    }


def answerer(may_omit_length: bool) -> s.Answerer:
    draw = random.Random(may_omit_length)

    async def answer(
        server: s.Server, request: s.Message, writer: asyncio.StreamWriter, seal: str
    ) -> bool:
        """Write the answer as it is made; without a length, the connection ends it."""
        request_id = request.headers["request-id"]
        is_unframed = may_omit_length and draw.random() < UNFRAMED_SHARE
        body, size = s.body_of(request_id, ANSWER_BYTES), ANSWER_BYTES // PIECES
        headers = {"Request-Id": request_id, "Server-Seal": seal}
        if is_unframed:
            headers["Connection"] = "close"
        else:
            headers["Content-Length"] = str(len(body))
        writer.write(s.encode("HTTP/1.1 200 OK", headers, sized=False))
        kind = "without a length" if is_unframed else "with a length"
        try:
            for number in range(PIECES):
                await asyncio.sleep(WORK_SECONDS / PIECES)
                writer.write(body[number * size : (number + 1) * size])
                await writer.drain()
                if writer.transport.is_closing():
                    raise ConnectionResetError
        except ConnectionError:
            server.record.note(f"cut {request_id} {kind}: the connection to {server.name} broke")
            return False
        server.record.note(f"answered {request_id} {kind}: {len(body)} bytes by {server.name}")
        return not is_unframed

    return answer


async def client(record: s.Record, gateway: s.Gateway, number: int) -> bool:
    """Send one request; return whether its answer breaks the rule."""
    request_id = f"q{number:05d}"
    headers = {
        "Host": "catalogue.example",
        "Request-Id": request_id,
        "Cookie": f"Affinity-Key={number % 97}",
        "Request-Deadline": "3000",
    }
    record.note(f"sent {request_id}")
    answer = await s.ask(gateway.ports["front"], "GET", f"/read/{number % 97}", headers)
    if answer is None:
        record.note(f"got {request_id}: no answer")
        return False
    status, whole = answer.start[1], s.body_of(request_id, ANSWER_BYTES)
    seal = answer.headers.get("server-seal", "")
    record.note(
        f"got {request_id}: {status} seal={seal or '-'} bytes={len(answer.body)} "
        f"stated={answer.headers.get('content-length', '-')} complete={answer.is_complete}"
    )
    is_success = status.startswith("2") and answer.is_complete
    if is_success and (seal != s.seal(request_id) or answer.body != whole):
        record.note(f"BROKEN {request_id}: a success whose body is not the server's whole body")
        return True
    return False


class Steady:
    """Requests that come one by one."""

    def __init__(self, record: s.Record, gateway: s.Gateway) -> None:
        self._tasks: list[asyncio.Task[bool]] = []
        self._sender = asyncio.create_task(self._send(record, gateway))

    async def _send(self, record: s.Record, gateway: s.Gateway) -> None:
        draw = random.Random(64)
        for number in itertools.count(50_000):
            await asyncio.sleep(draw.expovariate(STEADY_PER_SECOND))
            self._tasks.append(asyncio.create_task(client(record, gateway, number)))

    async def end(self) -> int:
        """Send no more; return how many answers broke the rule."""
        self._sender.cancel()
        return sum(await asyncio.gather(*self._tasks))


async def case(record: s.Record, with_trouble: bool, folder: Path) -> int:
    store = await s.Store().start()
    store.put_json("op/config", configuration())
    for number in range(SERVERS):
        server = s.Server(store, record, f"i-{number}", "reading", "zona-1", slots=9, queue=27)
        server.handshake_seconds, server.backlog = HANDSHAKE_SECONDS, ACCEPT_QUEUE
        server.answer = answerer(number < UNFRAMED_SERVERS)
        await server.start()
    site = s.Site({"zona-1": "gt-central", "zona-10": "gt-central"}, s.QUETZAL_BOUNDS)
    entry, relay = await s.start_gateways(
        site, store, folder, {"front-1": "zona-1", "front-2": "zona-10"}
    )
    broken = 0
    steady = Steady(record, entry)
    try:
        await asyncio.sleep(3.0)
        for group in range(GROUPS):
            numbers = range(group * REQUESTS, (group + 1) * REQUESTS)
            waiting = []
            for each in numbers:
                if each == numbers[REQUESTS // 2]:
                    await asyncio.sleep(SECOND_HALF_SECONDS)
                waiting.append(asyncio.create_task(client(record, entry, each)))
            await asyncio.sleep(KILL_AFTER_SECONDS)
            if with_trouble:
                record.note(f"SIGKILL to {relay.name}")
                await relay.kill()
            broken += sum(await asyncio.gather(*waiting))
            next_at = time.monotonic() + SECONDS_BETWEEN_GROUPS
            if with_trouble:
                await asyncio.sleep(1.0)
                record.note(f"{relay.name} starts again")
                await relay.start()
                await relay.wait_until_ready()
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        record.note("; ".join(await entry.metrics("relayed-sends")))
        broken += await steady.end()
    finally:
        for each in (entry, relay):
            await each.kill()
    record.note(f"broken answers: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(s.run_case(case, FOLDER / "record.txt"))
