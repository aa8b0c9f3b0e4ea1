"""A back end whose rejections mislead: repeated late, stated for requests that ran, or without id.

It speaks raw bytes, because the faults are below what an HTTP server offers.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable

from gateway_stand_ins import NAMES
from loopback import free_address

from kitekeel_steering.fleet_items import BackEndRecord

SLOTS = 4
WORK_SECONDS = 0.05
_EARLIEST_COPY_SECONDS = 0.002
_LATEST_COPY_SECONDS = 0.012


class Fault(enum.Enum):
    """What a back end does with the requests that meet its fault."""

    LATE_COPY = "late-copy"
    COPY_OF_AN_OLDER_REJECTION = "copy-of-an-older-rejection"
    OK_BUT_NOT_RUN = "200-not-run"
    FAILED_BUT_NOT_RUN = "500-not-run"
    TIMED_OUT_BUT_NOT_RUN = "504-not-run"
    REJECTED_WITHOUT_ID = "503-without-id"


_STATUS_OF_RUN = {
    Fault.OK_BUT_NOT_RUN: 200,
    Fault.FAILED_BUT_NOT_RUN: 500,
    Fault.TIMED_OUT_BUT_NOT_RUN: 504,
    Fault.REJECTED_WITHOUT_ID: 503,
}


class MisleadingBackEnd:
    """Every second request, by its id, meets the fault.

    Attributes:
        ran: the ids of the requests that it began to run, in order.
        met: the ids of the requests that met the fault.
        connections: number of connections that it accepted.
    """

    def __init__(self, instance: str, fault: Fault) -> None:
        self.address = free_address()
        self.record = BackEndRecord(instance, "search", self.address, "n1", SLOTS)
        self.ran: list[str] = []
        self.met: set[str] = set()
        self.connections = 0
        self._fault = fault
        self._random = random.Random(instance)

    async def start(self) -> "MisleadingBackEnd":
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
                lines = dict(each.split(": ", 1) for each in head.split("\r\n")[1:] if each)
                name = lines.get(NAMES.request_id.decode().lower(), "")
                await reader.readexactly(int(lines.get("content-length", "0")))
                await self._answer(name, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, name: str, writer: asyncio.StreamWriter) -> None:
        if not name or not _meets_fault(name) or name in self.met:
            await self._run(name)
            writer.write(_answer(200, name))
            return
        self.met.add(name)
        if self._fault in (Fault.LATE_COPY, Fault.COPY_OF_AN_OLDER_REJECTION):
            rejection = _answer(503, name, not_run=True)
            writer.write(rejection)
            asyncio.get_running_loop().call_later(self._copy_seconds(), writer.write, rejection)
            return
        await self._run(name)
        has_id = self._fault is not Fault.REJECTED_WITHOUT_ID
        writer.write(_answer(_STATUS_OF_RUN[self._fault], name if has_id else "", not_run=True))

    def _copy_seconds(self) -> float:
        is_older = self._fault is Fault.COPY_OF_AN_OLDER_REJECTION
        later = WORK_SECONDS if is_older else 0.0
        return later + self._random.uniform(_EARLIEST_COPY_SECONDS, _LATEST_COPY_SECONDS)

    async def _run(self, name: str) -> None:
        self.ran.append(name)
        await asyncio.sleep(WORK_SECONDS)


def _meets_fault(name: str) -> bool:
    return name.startswith("f")


def _answer(status: int, name: str, not_run: bool = False) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"{NAMES.load.decode()}: 0,0,{SLOTS}", "Content-Length: 2"]
    if name:
        lines.append(f"{NAMES.request_id.decode()}: {name}")
    if not_run:
        lines.append(f"{NAMES.not_run.decode()}: 1")
    return ("\r\n".join(lines) + "\r\n\r\nok").encode()


Ask = Callable[[str], Awaitable[int]]


async def ask_for(ask: Ask, per_second: float, seconds: float, prefix: str = "") -> dict[str, int]:
    """Send requests at a steady rate, half of which meet the fault; return statuses by id."""
    statuses: dict[str, int] = {}

    async def ask_one(name: str) -> None:
        statuses[name] = await ask(name)

    tasks: list[asyncio.Task[None]] = []
    for number in range(int(per_second * seconds)):
        name = f"{'f' if number % 2 else 's'}{prefix}{number}"
        tasks.append(asyncio.create_task(ask_one(name)))
        await asyncio.sleep(1.0 / per_second)
    await asyncio.gather(*tasks)
    return statuses
