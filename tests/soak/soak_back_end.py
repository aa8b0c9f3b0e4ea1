"""A back end for the soak: answers on the platform's wire and remembers every run."""

import asyncio
import math
import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec
from soak_announcement_log import Announcement, AnnouncementLog
from soak_misleading import CopyingConnection, MisleadingAnswers

from kitekeel_adapter.adapter import HEADER_NAMES
from kitekeel_callers.http_connection import CallerConnection
from kitekeel_callers.http_listener import HttpListener
from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.http_stream import ConnectionLostError
from kitekeel_steering.proxied_messages import (
    RETRY_AFTER,
    ProxiedAnswer,
    ProxiedRequest,
    find_header,
)

SERVICE = "search"
SLOTS = 6
CRASHING_TARGET = b"/unsafe/crash"
_USUAL_SECONDS = 0.03
_HEALTH_TARGET = b"/health"
_FIRST_START_MS = 1_783_133_796_000


class Run(msgspec.Struct):
    """A request that a back end began to work on; times are monotonic, in seconds.

    Attributes:
        ended_at: when its work was done, whatever became of the answer.
    """

    request_id: str
    instance: str
    at: float
    ended_at: float = math.inf


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a process of a back end, from the address of a daemon.

    Attributes:
        deadline_ms: how long the daemon waits for the answer.
    """

    request_id: str
    back_end: str
    started_at_ms: int
    sender: str
    at: float
    deadline_ms: float


class _Connection(CopyingConnection):
    """Reports answers that nobody reads, as the daemon has closed its side before they are written.

    Daemons send nothing before they have the answer, so what can be read is the end.
    """

    def __init__(self, back_end: "SoakBackEnd", listener: "_Listener") -> None:
        super().__init__(back_end.handle, listener, listener.draw_copy, listener.copies)
        self._announced = back_end.announced

    async def write(self, data: bytes) -> None:
        if self.is_closing() or self.has_unread_bytes():
            self._announced.drop_unread(data)
        await super().write(data)


class _Listener(HttpListener):
    """Accepts connections on which rejections may come twice."""

    def __init__(self, address: str, back_end: "SoakBackEnd") -> None:
        super().__init__(address, back_end.handle)
        self._back_end = back_end
        self.copies = random.Random(f"copies-{back_end.instance}")

    def _new_connection(self) -> CallerConnection:
        return _Connection(self._back_end, self)

    def draw_copy(self) -> bool:
        """Decide whether a rejection is sent again."""
        misleading = self._back_end.misleading
        is_copied = bool(misleading.copied) and self.copies.random() < misleading.copied
        misleading.copies += is_copied
        return is_copied

    def end_idle_connections(self) -> None:
        """Close the connections that wait for a request, as the end of a process does."""
        for each in list(self._connections):
            if each.is_idle and not each.has_unread_bytes():
                each.close()


class SoakBackEnd:
    """One back end.

    Attributes:
        runs: shared by all back ends.
        answers_lost: share of the answers that are lost after the request has run.
        work_factor: how many times as long as usual a request takes; it is not reported.
        work_percent: how long a request takes in percent of the usual time, besides that factor.
        reported_percent: the fourth load figure; ``None`` for reports of three figures.
        queue_length: how many requests wait while all slots are taken; more are turned away.
        started_at_ms: when its process started, as its record says.
        is_leaving: whether its answers announce its end.
        pause_seconds: the pause that it asks for while it turns every request away; 0 for none.
        arrivals, announced: what it got from daemons, and what it told them.
        misleading: how its answers mislead.
        on_crash: called when its process has ended under a request.
    """

    def __init__(self, instance: str, zone: str, address: str, runs: list[Run]) -> None:
        self.instance = instance
        self.zone = zone
        self.address = address
        self.runs = runs
        self.answers_lost = 0.0
        self.work_factor = 1.0
        self.work_percent = 100
        self.reported_percent: int | None = None
        self.queue_length = 0
        self.started_at_ms = _FIRST_START_MS
        self.is_leaving = False
        self.pause_seconds = 0.0
        self.arrivals: list[Arrival] = []
        self.announced = AnnouncementLog()
        self.on_crash: Callable[[SoakBackEnd], None] | None = None
        self._present = 0
        self._free_slots = asyncio.Semaphore(SLOTS)
        self._random = random.Random(instance)
        self.misleading = MisleadingAnswers()
        self._draws = random.Random(f"misleading-{instance}")
        self._listener = _Listener(address, self)

    async def start(self) -> "SoakBackEnd":
        await self._listener.start()
        return self

    def start_again(self) -> None:
        """Be another process under the same name; requests under way get no answer."""
        self._listener.end_idle_connections()
        self.started_at_ms += 1_000
        self.is_leaving = False
        self.pause_seconds = 0.0
        self._present = 0
        self._free_slots = asyncio.Semaphore(SLOTS)

    def record(self, address: str, state: str = "ready") -> dict[str, object]:
        """Return the record for the store, with the address under which it is reached."""
        return {
            "service": SERVICE,
            "address": address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold_remaining": "0ms",
            "seq": 1,
            "born": self.started_at_ms,
        }

    async def handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        """Answer a request; the answer may announce the end of the process, or ask for a pause."""
        start, sender = self.started_at_ms, request.caller_address
        answer = await self._answer(request)
        if start != self.started_at_ms:
            return answer
        now = asyncio.get_running_loop().time()
        request_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        told = Announcement(self.instance, start, sender, now, request_id)
        if self.is_leaving:
            answer.headers = (*answer.headers, (HEADER_NAMES.leaving, b"1"))
            self.announced.add(told)
        asked = find_header(answer.headers, RETRY_AFTER)
        if asked is not None:
            until = now + float(asked)
            self.announced.add(msgspec.structs.replace(told, pause_until=until))
        return answer

    async def _answer(self, request: ProxiedRequest) -> ProxiedAnswer:
        request_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        headers = ((HEADER_NAMES.request_id, request_id), (HEADER_NAMES.load, self._load()))
        if request.target == _HEALTH_TARGET:
            return own_answer(HTTPStatus.OK, headers)
        if find_header(request.headers, HEADER_NAMES.target_instance) != self.instance.encode():
            return own_answer(HTTPStatus.MISDIRECTED_REQUEST, headers)
        loop = asyncio.get_running_loop()
        sender = request.caller_address
        told_ms = float(find_header(request.headers, HEADER_NAMES.deadline) or math.inf)
        name, start = request_id.decode(), self.started_at_ms
        self.arrivals.append(Arrival(name, self.instance, start, sender, loop.time(), told_ms))
        if self.pause_seconds:
            asked = (RETRY_AFTER, f"{self.pause_seconds:.2f}".encode())
            not_run = (HEADER_NAMES.not_run, b"1")
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, not_run, asked))
        rejected = self.misleading.rejected
        if rejected and self._draws.random() < rejected:
            not_run = (HEADER_NAMES.not_run, b"1")
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, not_run))
        if self._present >= SLOTS + self.queue_length:
            not_run = (HEADER_NAMES.not_run, b"1")
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, not_run))
        self._present += 1
        try:
            async with self._free_slots:
                await self._run(request, name, start)
        finally:
            if start == self.started_at_ms:
                self._present -= 1
        if self._random.random() < self.answers_lost:
            raise ConnectionLostError("the answer is lost")
        headers = ((HEADER_NAMES.request_id, request_id), (HEADER_NAMES.load, self._load()))
        whole = own_answer(HTTPStatus.OK, headers, request_id + b" " + request.target)
        return self.misleading.contradict(whole, self._draws)

    def _load(self) -> bytes:
        running = min(self._present, SLOTS)
        figures = [running, self._present - running, SLOTS]
        if self.reported_percent is not None:
            figures.append(self.reported_percent)
        return ",".join(map(str, figures)).encode()

    async def _run(self, request: ProxiedRequest, name: str, start: int) -> None:
        self._require_process(start)
        loop = asyncio.get_running_loop()
        run = Run(name, self.instance, loop.time())
        self.runs.append(run)
        if request.target == CRASHING_TARGET and self.on_crash is not None:
            self.start_again()
            self.on_crash(self)
            raise ConnectionLostError("the process ended under the request")
        factor = self.work_factor * self.work_percent / 100
        await asyncio.sleep(self._random.expovariate(1 / _USUAL_SECONDS) * factor)
        run.ended_at = loop.time()
        self._require_process(start)

    def _require_process(self, start: int) -> None:
        if start != self.started_at_ms:
            raise ConnectionLostError("the process that took the request is gone")
