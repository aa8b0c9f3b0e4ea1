"""Back-end stand-ins: many small servers in one process, with faults and records over HTTP.

A request names its work in the query: ``work_ms`` and ``answer_bytes``. The answer repeats the
request's id, so that a caller can tell its own answer from another's.
"""

from __future__ import annotations

import errno
import random
import threading
import time
from collections import deque
from collections.abc import Iterable, Iterator
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from kitekeel_callers.answers import BufferedAnswer, json_answer
from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_lab.back_end_messages import (
    BackEndFaults,
    BackEndRecord,
    BackEndSpec,
    FaultOrder,
)
from kitekeel_steering.http_messages import (
    DEADLINE_HEADER,
    LEAVING_HEADER,
    ORIGIN_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    SHIFT_HEADER,
)
from kitekeel_steering.load_reports import LoadReport

Headers = tuple[tuple[str, str], ...]

_SPARE_THREADS = 10
_COLD_FACTOR = 2.0
_PIECE_BYTES = 16 * 1024
_REMEMBERED_REPORTS = 400


class BackEndStandIn:
    """One server, as a WSGI application."""

    def __init__(self, spec: BackEndSpec, seed: int) -> None:
        self.spec = spec
        self.faults = BackEndFaults()
        self.record = BackEndRecord({}, starts=[])
        self._lock = threading.Lock()
        self._random = random.Random(f"{seed} {spec.name}")
        self._started_at = time.monotonic()
        self._cancelled: dict[str, threading.Event] = {}
        self._reports: deque[tuple[float, int]] = deque(maxlen=_REMEMBERED_REPORTS)

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = str(environment["PATH_INFO"])
        if path == "/-/load":
            return _send(self._report(), start_response)
        if path.startswith("/-/requests/"):
            return _send(self._cancel(path.rpartition("/")[2]), start_response)
        origin = _header(environment, ORIGIN_HEADER)
        delay = self.spec.one_way_seconds.get(origin, 0.0)
        time.sleep(delay)
        _drain_body(environment)
        answer = self._serve(environment)
        time.sleep(delay)
        return answer(start_response)

    def restart_cold(self) -> None:
        """Begin with cold caches."""
        self._started_at = time.monotonic()

    def _serve(self, environment: Environment) -> _Answer:
        request_id = _header(environment, REQUEST_ID_HEADER)
        announcements = self._announcements()
        if self.faults.retry_after:
            with self._lock:
                self.record.turned_away.append((time.time(), float(self.faults.retry_after)))
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return _Answer(status, request_id, self.spec.name, 0, "", announcements)
        query = parse_qs(str(environment.get("QUERY_STRING", "")))
        work_seconds = float(query.get("work_ms", ["1"])[0]) / 1000
        size = int(query.get("answer_bytes", ["0"])[0])
        if self._random.random() < self.faults.fail_share:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            return _Answer(status, request_id, self.spec.name, 0, "", announcements)
        cancelled = threading.Event()
        origin = _header(environment, ORIGIN_HEADER)
        if not self._begin(request_id, cancelled, origin, _header(environment, SHIFT_HEADER)):
            status = HTTPStatus.SERVICE_UNAVAILABLE
            return _Answer(status, request_id, self.spec.name, 0, "", announcements)
        try:
            deadline = float(_header(environment, DEADLINE_HEADER) or 60_000) / 1000
            cancelled.wait(min(work_seconds * self._factor(), deadline))
        finally:
            self._end(request_id)
        fault = self._choose_break()
        return _Answer(HTTPStatus.OK, request_id, self.spec.name, size, fault, announcements)

    def _announcements(self) -> Headers:
        headers: list[tuple[str, str]] = []
        if self.faults.announces_end:
            headers.append((LEAVING_HEADER, "1"))
        if self.faults.retry_after:
            headers.append((RETRY_AFTER_HEADER, self.faults.retry_after))
        return tuple(headers)

    def _begin(self, request_id: str, cancelled: threading.Event, origin: str, shift: str) -> bool:
        with self._lock:
            full = self.record.running >= self.spec.slots
            if full and self.faults.sheds:
                self.record.shed += 1
                return False
            self.record.over_slots += int(full)
            self.record.running += 1
            self.record.peak = max(self.record.peak, self.record.running)
            self.record.runs[request_id] = self.record.runs.get(request_id, 0) + 1
            self.record.last_started_at = time.time()
            self.record.starts.append((self.record.last_started_at, origin, shift))
            self._cancelled[request_id] = cancelled
            return True

    def _end(self, request_id: str) -> None:
        with self._lock:
            self.record.running -= 1
            self._cancelled.pop(request_id, None)

    def _cancel(self, request_id: str) -> BufferedAnswer:
        with self._lock:
            event = self._cancelled.get(request_id)
            if event is not None:
                self.record.cancelled += 1
                event.set()
        return json_answer(HTTPStatus.OK, b"{}", ())

    def _factor(self) -> float:
        is_cold = time.monotonic() - self._started_at < self.spec.cold_seconds
        return self.faults.slow_factor * (_COLD_FACTOR if is_cold else 1.0)

    def _choose_break(self) -> str:
        drawn = self._random.random()
        if drawn < self.faults.break_share:
            return "break"
        return "cut" if drawn < self.faults.break_share + self.faults.cut_share else ""

    def _report(self) -> BufferedAnswer:
        faults = self.faults
        if faults.report_frozen:
            return json_answer(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", ())
        now = time.monotonic()
        self._reports.append((now, self.record.running))
        running = self._lagging_running(now - faults.report_lag_seconds)
        if faults.report_running is not None:
            running = faults.report_running
        report = LoadReport(running, self.spec.slots, faults.draining)
        return json_answer(HTTPStatus.OK, msgspec.json.encode(report), ())

    def _lagging_running(self, latest: float) -> int:
        for at, running in reversed(self._reports):
            if at <= latest:
                return running
        return self._reports[0][1]


class _Answer:
    """One answer, whole or broken as the faults demand."""

    def __init__(
        self,
        status: HTTPStatus,
        request_id: str,
        back_end: str,
        size: int,
        fault: str,
        announcements: Headers = (),
    ) -> None:
        self._announcements = announcements
        self._status = status
        self._fault = fault
        head = f"{request_id} {back_end}\n".encode()
        self._body = head + request_id[:1].encode() * max(0, size - len(head))

    def __call__(self, start_response: StartResponse) -> Iterable[bytes]:
        if self._fault == "break":
            raise ConnectionResetError(errno.ECONNRESET, "told to break")
        headers = [("Content-Length", str(len(self._body))), ("Content-Type", "text/plain")]
        headers.extend(self._announcements)
        start_response(f"{self._status.value} {self._status.phrase}", headers)
        return self._pieces()

    def _pieces(self) -> Iterator[bytes]:
        body = self._body
        if self._fault == "cut":
            yield body[: len(body) // 2]
            raise ConnectionResetError(errno.ECONNRESET, "told to cut")
        for start in range(0, len(body), _PIECE_BYTES):
            yield body[start : start + _PIECE_BYTES]


class BackEndFarm:
    """All stand-ins of one process, and their control as a WSGI application."""

    def __init__(self, specs: Iterable[BackEndSpec], seed: int) -> None:
        self._stand_ins = {spec.name: BackEndStandIn(spec, seed) for spec in specs}
        self._servers: dict[str, HttpServer] = {}

    def start(self) -> None:
        """Start every server."""
        for name in self._stand_ins:
            self._start(name)

    def stop(self) -> None:
        """Stop every server."""
        while self._servers:
            self._servers.popitem()[1].stop()

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a control call: records, faults, stop and start of one server."""
        path = str(environment["PATH_INFO"])
        if path == "/records":
            records = {name: each.record for name, each in self._stand_ins.items()}
            body = msgspec.json.encode(records)
            return _send(json_answer(HTTPStatus.OK, body, ()), start_response)
        if path == "/faults":
            self.set_faults(msgspec.json.decode(_read_body(environment), type=FaultOrder))
        elif path.startswith("/stop/"):
            self._servers.pop(path.removeprefix("/stop/")).stop()
        elif path.startswith("/start/"):
            self._start(path.removeprefix("/start/"))
        return _send(json_answer(HTTPStatus.OK, b"{}", ()), start_response)

    def _start(self, name: str) -> None:
        stand_in = self._stand_ins[name]
        limits = ServerLimits(threads=stand_in.spec.slots * 2 + _SPARE_THREADS)
        server = HttpServer(stand_in.spec.address, stand_in, limits)
        stand_in.restart_cold()
        server.start()
        self._servers[name] = server

    def record(self, name: str) -> BackEndRecord:
        """Return what a stand-in has seen."""
        return self._stand_ins[name].record

    def set_faults(self, order: FaultOrder) -> None:
        """Make stand-ins fail as told."""
        for name in order.back_ends or tuple(self._stand_ins):
            self._stand_ins[name].faults = order.faults


class BackEndServers:
    """The servers of one process: the stand-ins and their control."""

    def __init__(self, farm: BackEndFarm, control: HttpServer) -> None:
        self._farm = farm
        self._control = control

    def stop(self) -> None:
        """Stop all of them."""
        self._control.stop()
        self._farm.stop()


def serve_back_ends(
    specs: Iterable[BackEndSpec], control_address: str, seed: int
) -> BackEndServers:
    """Start stand-ins and their control."""
    farm = BackEndFarm(specs, seed)
    farm.start()
    control = HttpServer(control_address, farm, ServerLimits(threads=4))
    control.start()
    return BackEndServers(farm, control)


def _send(answer: BufferedAnswer, start_response: StartResponse) -> Iterable[bytes]:
    start_response(answer.status_line, list(answer.headers))
    return [answer.body]


def _header(environment: Environment, name: str) -> str:
    return str(environment.get("HTTP_" + name.upper().replace("-", "_"), ""))


def _read_body(environment: Environment) -> bytes:
    body: bytes = environment["wsgi.input"].read(int(environment.get("CONTENT_LENGTH") or 0))
    return body


def _drain_body(environment: Environment) -> None:
    while environment["wsgi.input"].read(_PIECE_BYTES):
        continue
