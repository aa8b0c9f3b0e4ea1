"""One part of a gateway as a process of its own, so that a test can kill it.

Run as ``part_process.py relay ADDRESS BACK_END_ADDRESS`` or ``part_process.py listener ADDRESS``;
prints ``ready`` once it listens.
"""

import asyncio
import sys
from collections.abc import AsyncIterator

from kitekeel_backends.tunnel_relay import TunnelRelay
from kitekeel_callers.http_listener import HttpListener
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.proxied_messages import MessageBody, ProxiedAnswer, ProxiedRequest

SECRET = "a-secret"
BACK_END = "b0"
PIECE = b"a piece of an answer without a length"


async def start_relay(address: str, back_end_address: str) -> None:
    """Relay to one back end."""
    links = LinkHealth(SystemClock(), lambda _: 4, lambda _: None, lambda _loss, _seconds: None)
    records = {BACK_END: BackEndRecord(BACK_END, "s", back_end_address, "z", 4)}
    relay = TunnelRelay(address, SECRET, records.get, lambda _: True, links, MemoryMetrics())
    await relay.start()


async def answer_slowly(request: ProxiedRequest) -> ProxiedAnswer:
    """Answer with a first piece at once and a last one after the seconds that the path names."""
    seconds = float(request.target.lstrip(b"/"))

    async def rest() -> AsyncIterator[bytes]:
        await asyncio.sleep(seconds)
        yield PIECE

    return ProxiedAnswer(200, b"OK", (), MessageBody(PIECE, rest(), None))


async def start_listener(address: str) -> None:
    """Answer callers slowly."""
    await HttpListener(address, answer_slowly).start()


_PARTS = {"relay": start_relay, "listener": start_listener}


async def main(part: str, *arguments: str) -> None:
    """Start a part and let it run."""
    await _PARTS[part](*arguments)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
