"""The servers of a zone leave without reporting `draining`; they get requests after `drain`."""

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

ZONES = ("zona-1", "zona-10", "zona-7")
GATEWAYS = 6
SERVERS_IN_ZONE = 3
DRAIN_SECONDS = 2.5
# "a little longer": a server ends then, or when it has served what reached it within `drain`.
LITTLE_SECONDS = 0.1
WORK_SECONDS = 0.25
REQUESTS_PER_SECOND = 100.0
CALM_SECONDS = 8.0


def configuration() -> dict[str, object]:
    route = {
        "host": "devices.example",
        "path_prefix": "/reserve/",
        "kind": "unsafe",
        "timeout": "2500ms",
        "target_latency": "600ms",
        "priority": 1,
        "service": "reservas",
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
            {"entry_kind": "services", "metadata": {"name": "reservas"}, "spec": service},
            {"entry_kind": "limits", "metadata": {}, "spec": limits},
        ],
    }


class Leaving:
    """The servers that leave: they serve on for `drain` and a little longer, and end."""

    def __init__(self, record: s.Record, store: s.Store) -> None:
        self._record = record
        self._store = store
        self._removed_at: dict[str, float] = {}
        self.late: list[float] = []

    def note(self, server: s.Server, request_id: str) -> None:
        removed_at = self._removed_at.get(server.name)
        if removed_at is None:
            return
        after = time.monotonic() - removed_at
        if after > DRAIN_SECONDS:
            self.late.append(after)
            self._record.note(
                f"LATE {request_id} reaches {server.name} {after:.3f} s after its entry went"
            )

    def remove_entry(self, server: s.Server) -> None:
        server.is_registered = False
        revision = self._store.remove(f"servers/{server.name}")
        self._removed_at[server.name] = time.monotonic()
        self._record.note(f"the store acknowledges that {server.name} is gone, revision {revision}")

    async def end(self, server: s.Server) -> None:
        """End a server once it has served all requests that reached it within `drain`."""
        removed_at = self._removed_at[server.name]
        await asyncio.sleep(DRAIN_SECONDS + LITTLE_SECONDS)
        while any(
            each.arrived_at <= removed_at + DRAIN_SECONDS
            for each in server.runs
            if not each.is_answered
        ):
            await asyncio.sleep(0.005)
        lost = [each.request_id for each in server.runs if not each.is_answered]
        self._record.note(f"{server.name} ends; lost: {', '.join(lost) or 'nothing'}")
        server.crash()


async def client(record: s.Record, gateway: s.Gateway, number: int) -> None:
    request_id = f"q{number:05d}"
    headers = {
        "Host": "devices.example",
        "Request-Id": request_id,
        "Cookie": f"Affinity-Key={random.randrange(500)}",
        "Request-Deadline": "4000",
    }
    record.note(f"sent {request_id} to {gateway.name}")
    body = s.body_of(request_id, 400)
    answer = await s.ask(gateway.ports["front"], "POST", "/reserve/x", headers, body)
    record.note(f"got {request_id}: {answer.start[1] if answer is not None else 'no answer'}")


async def send_requests(record: s.Record, gateways: list[s.Gateway]) -> None:
    draw = random.Random(64)
    tasks: set[asyncio.Task[None]] = set()
    for number in itertools.count():
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_SECOND))
        task = asyncio.create_task(client(record, draw.choice(gateways), number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)


async def case(record: s.Record, with_trouble: bool, folder: Path) -> int:
    store = await s.Store().start()
    store.put_json("op/config", configuration())
    leaving = Leaving(record, store)
    servers = [
        s.Server(store, record, f"i-{zone}-{number}", "reservas", zone)
        for zone in ZONES
        for number in range(SERVERS_IN_ZONE)
    ]
    for server in servers:
        server.work_seconds, server.on_arrival = WORK_SECONDS, leaving.note
    # The last one has started a moment ago; that it becomes warm is an ordinary change.
    servers[-1].cold_remaining_ms = 3000
    for server in servers:
        await server.start()
    site = s.Site(dict.fromkeys(ZONES, "gt-central"), s.QUETZAL_BOUNDS)
    names = {f"front-{number}": ZONES[number % len(ZONES)] for number in range(GATEWAYS)}
    gateways = await s.start_gateways(site, store, folder, names)
    traffic = asyncio.create_task(send_requests(record, gateways))
    try:
        await asyncio.sleep(CALM_SECONDS)
        servers[-1].cold_remaining_ms = 0
        servers[-1].write_entry()
        await asyncio.sleep(0.05)
        if with_trouble:
            reclaimed = servers[:SERVERS_IN_ZONE]
            for server in reclaimed:
                leaving.remove_entry(server)
            await asyncio.gather(*(leaving.end(each) for each in reclaimed))
        await asyncio.sleep(3.0)
    finally:
        traffic.cancel()
        await asyncio.gather(*(each.kill() for each in gateways))
    latest = max(leaving.late, default=0.0)
    record.note(f"requests later than drain: {len(leaving.late)}, the last after {latest:.3f} s")
    return 1 if leaving.late else 0


if __name__ == "__main__":
    sys.exit(s.run_case(case, FOLDER / "record.txt"))
