"""Profiles one request's way through a gateway; run by hand: ``python tests/profile_gateway.py``.

The gateway runs in a process of its own, so that the profile holds nothing of callers and back
ends.
Prints the processor time of a request by part of the code, and the time of the same request
without the gateway beside it.
"""

import asyncio
import cProfile
import multiprocessing
import pstats
import time
from collections import defaultdict

import msgspec
from gateway_stand_ins import BackEndStandIn, RunningGateway, configuration
from memory_store import MemoryStore

from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.steady_loop import run_on_steady_loop
from kitekeel_steering.tenants import Tenant, key_digest

REQUESTS = 3000
BACK_ENDS = 40
_PARTS = ("kitekeel_", "h11", "asyncio", "selectors", "msgspec", "prometheus_client", "eliot")


def serve(pipe: "multiprocessing.connection.Connection") -> None:
    """Run a gateway over back ends whose records come through the pipe."""

    async def scenario() -> None:
        store = MemoryStore()
        tenant = Tenant("t", (key_digest(b"key"),), rate=100_000.0, burst=100_000.0)
        await store.put_configuration(msgspec.structs.replace(configuration(1), tenants=(tenant,)))
        for record in pipe.recv():
            await store.put_back_end(record)
        gateway = await RunningGateway(store, "g1").start()
        await asyncio.sleep(3.0)
        profile = cProfile.Profile()
        pipe.send(gateway.callers)
        used = time.process_time()
        profile.enable()
        await asyncio.to_thread(pipe.recv)
        profile.disable()
        report(profile, time.process_time() - used)
        pipe.send(None)

    run_on_steady_loop(scenario())


def report(profile: cProfile.Profile, used: float) -> None:
    """Print the profile by part and by function."""
    stats = pstats.Stats(profile)
    by_part: dict[str, float] = defaultdict(float)
    functions: list[tuple[float, str]] = []
    for (file, _, name), (_, _, own, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        part = next((each for each in _PARTS if each in file or each in name), "other")
        module = file.rpartition("/")[2]
        label = file.partition("src/")[2].partition("/")[0] if part == "kitekeel_" else part
        by_part[label or part] += own
        functions.append((own, f"{module}:{name}"))
    total = sum(by_part.values())
    print(f"{used / REQUESTS * 1000:.2f} ms of processor a request, profile included")
    for part, seconds in sorted(by_part.items(), key=lambda each: -each[1]):
        print(f"  {seconds / total:6.1%}  {part}")
    print("functions by their own time")
    for own, name in sorted(functions, reverse=True)[:40]:
        print(f"  {own / REQUESTS * 1e6:7.1f} us  {name}")


async def ask(address: str, records: list[BackEndRecord], count: int) -> float:
    """Send requests one after another on one connection; return the median seconds."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    times = []
    for number in range(count):
        target = records[number % len(records)].instance
        writer.write(
            f"GET /safe/x HTTP/1.1\r\nHost: h\r\nkitekeel-request-id: r{number}\r\n"
            f"kitekeel-deadline-ms: 2000\r\nCookie: kitekeel-affinity={number % 200}\r\n"
            f"Authorization: Bearer key\r\nkitekeel-target-instance: {target}\r\n\r\n".encode()
        )
        started = time.perf_counter()
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        await reader.readexactly(length)
        times.append(time.perf_counter() - started)
    writer.close()
    return sorted(times)[len(times) // 2]


async def main() -> None:
    back_ends = [await BackEndStandIn(f"b{number}").start() for number in range(BACK_ENDS)]
    records = [each.record for each in back_ends]
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=serve, args=(theirs,))
    process.start()
    ours.send(records)
    address = await asyncio.to_thread(ours.recv)
    floor = await ask(records[0].address, records[:1], 500)
    through = await ask(address, records, REQUESTS)
    print(f"median: {floor * 1000:.2f} ms direct, {through * 1000:.2f} ms through the gateway")
    ours.send(None)
    await asyncio.to_thread(ours.recv)
    process.terminate()


if __name__ == "__main__":
    run_on_steady_loop(main())
