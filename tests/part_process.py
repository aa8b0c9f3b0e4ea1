"""One part of a gateway as a process of its own, so that a test can kill it.

Run as ``part_process.py relay ADDRESS BACK_END_ADDRESS``; prints ``ready`` once it listens.
"""

import asyncio
import sys

from kitekeel_backends.tunnel_relay import TunnelRelay
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.metrics import MemoryMetrics

SECRET = "a-secret"
BACK_END = "b0"


async def start_relay(address: str, back_end_address: str) -> None:
    """Relay to one back end."""
    links = LinkHealth(SystemClock(), lambda _: 4, lambda _: None, lambda _loss, _seconds: None)
    records = {BACK_END: BackEndRecord(BACK_END, "s", back_end_address, "z", 4)}
    relay = TunnelRelay(address, SECRET, records.get, lambda _: True, links, MemoryMetrics())
    await relay.start()


_PARTS = {"relay": start_relay}


async def main(part: str, *arguments: str) -> None:
    """Start a part and let it run."""
    await _PARTS[part](*arguments)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
