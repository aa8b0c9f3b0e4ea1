"""A back end for the soak: answers on the platform's wire and remembers every run."""

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from kitekeel_adapter.adapter import HEADER_NAMES
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
_FIRST_START_MS = 1_783_133_796_000


class Run(msgspec.Struct, frozen=True):
    """A request that a back end began to work on; the time is monotonic, in seconds."""

    request_id: str
    instance: str
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a process of a back end, from the address of a daemon."""

    request_id: str
    back_end: str
    started_at_ms: int
    sender: str
    at: float


class Announcement(msgspec.Struct, frozen=True):
    """What an answer of a back end's process told a daemon; times are monotonic.

    Attributes:
        pause_until: end of the pause that it asked for; ``None`` if it announced its end.
    """

    back_end: str
    started_at_ms: int
    sender: str
    at: float
    pause_until: float | None = None


class SoakBackEnd:
    """One back end.

    Attributes:
        runs: shared by all back ends.
        answers_lost: share of the answers that are lost after the request has run.
        work_factor: how many times as long as usual a request takes.
        started_at_ms: when its process started, as its record says.
        is_leaving: whether its answers announce its end.
        pause_seconds: the pause that it asks for while it turns every request away; 0 for none.
        arrivals, announcements: what it got from daemons, and what it told them.
        on_crash: called when its process has ended under a request.
    """

    def __init__(self, instance: str, zone: str, address: str, runs: list[Run]) -> None:
        self.instance = instance
        self.zone = zone
        self.address = address
        self.runs = runs
        self.answers_lost = 0.0
        self.work_factor = 1.0
        self.started_at_ms = _FIRST_START_MS
        self.is_leaving = False
        self.pause_seconds = 0.0
        self.arrivals: list[Arrival] = []
        self.announcements: list[Announcement] = []
        self.on_crash: Callable[[SoakBackEnd], None] | None = None
        self._working = 0
        self._random = random.Random(instance)

    async def start(self) -> "SoakBackEnd":
        await HttpListener(self.address, self._handle).start()
        return self

    def start_again(self) -> None:
        """Be another process under the same name; requests under way get no answer."""
        self.started_at_ms += 1_000
        self.is_leaving = False
        self.pause_seconds = 0.0
        self._working = 0

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

    async def _handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        start, sender = self.started_at_ms, request.caller_address
        answer = await self._answer(request)
        if start != self.started_at_ms:
            return answer
        now = asyncio.get_running_loop().time()
        told = Announcement(self.instance, start, sender, now)
        if self.is_leaving:
            answer.headers = (*answer.headers, (HEADER_NAMES.leaving, b"1"))
            self.announcements.append(told)
        asked = find_header(answer.headers, RETRY_AFTER)
        if asked is not None:
            until = now + float(asked)
            self.announcements.append(msgspec.structs.replace(told, pause_until=until))
        return answer

    async def _answer(self, request: ProxiedRequest) -> ProxiedAnswer:
        request_id = find_header(request.headers, HEADER_NAMES.request_id) or b""
        load = f"{self._working},0,{SLOTS}".encode()
        headers = ((HEADER_NAMES.request_id, request_id), (HEADER_NAMES.load, load))
        if find_header(request.headers, HEADER_NAMES.target_instance) != self.instance.encode():
            return own_answer(HTTPStatus.MISDIRECTED_REQUEST, headers)
        loop = asyncio.get_running_loop()
        sender = request.caller_address
        self.arrivals.append(
            Arrival(request_id.decode(), self.instance, self.started_at_ms, sender, loop.time())
        )
        if self.pause_seconds:
            asked = (RETRY_AFTER, f"{self.pause_seconds:.2f}".encode())
            not_run = (HEADER_NAMES.not_run, b"1")
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, not_run, asked))
        if self._working >= SLOTS:
            not_run = (HEADER_NAMES.not_run, b"1")
            return own_answer(HTTPStatus.SERVICE_UNAVAILABLE, (*headers, not_run))
        self.runs.append(Run(request_id.decode(), self.instance, loop.time()))
        self._working += 1
        start = self.started_at_ms
        if request.target == CRASHING_TARGET and self.on_crash is not None:
            self.start_again()
            self.on_crash(self)
            raise ConnectionLostError("the process ended under the request")
        try:
            await asyncio.sleep(self._random.expovariate(1 / _USUAL_SECONDS) * self.work_factor)
        finally:
            if start == self.started_at_ms:
                self._working -= 1
        if start != self.started_at_ms:
            raise ConnectionLostError("the process that ran the request is gone")
        if self._random.random() < self.answers_lost:
            raise ConnectionLostError("the answer is lost")
        return own_answer(HTTPStatus.OK, headers, request_id + b" " + request.target)
