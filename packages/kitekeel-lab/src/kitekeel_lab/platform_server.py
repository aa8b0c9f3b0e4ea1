"""The platform stand-in: key-value service and machine list over HTTP, with faults on order.

``PUT /-/faults`` takes ``PlatformFaults``, ``PUT /-/machines`` the machine list, ``GET /-/counts``
answers how many calls of each kind came.
"""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec

from kitekeel_callers.answers import BufferedAnswer, json_answer
from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_lab.platform_store import PlatformStore
from kitekeel_platform.client import MachineList
from kitekeel_platform.rate_budget import RateBudget
from kitekeel_steering.clock import SystemClock

MAX_VALUE_BYTES = 1024 * 1024

_LIMITS = ServerLimits(threads=96, largest_body=MAX_VALUE_BYTES)


class PlatformFaults(msgspec.Struct, frozen=True):
    """How the stand-in fails.

    Attributes:
        down: every call is answered 503, watches included.
        delay_seconds: added to every call.
        lose_write_answers: so many next writes take effect, but are answered 503.
        calls_per_second: beyond this rate calls are answered 429; 0 for no limit.
        list_lag_seconds: by how much the machine list lags.
    """

    down: bool = False
    delay_seconds: float = 0.0
    lose_write_answers: int = 0
    calls_per_second: float = 0.0
    list_lag_seconds: float = 0.0


class PlatformStandIn:
    """The WSGI application."""

    def __init__(self, store: PlatformStore | None = None) -> None:
        self._store = store or PlatformStore()
        self._faults = PlatformFaults()
        self._budget: RateBudget | None = None
        self._lists: list[tuple[float, bytes]] = [(0.0, msgspec.json.encode(MachineList()))]
        self._counts: Counter[str] = Counter()
        self._lock = threading.Lock()

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one call."""
        answer = self._answer(environment)
        headers = [*answer.headers, ("Era", str(self._store.era))]
        start_response(answer.status_line, headers)
        return [answer.body]

    def _answer(self, environment: Environment) -> BufferedAnswer:
        path = str(environment["PATH_INFO"])
        if path.startswith("/-/"):
            return self._control(path, environment)
        faults = self._faults
        time.sleep(faults.delay_seconds)
        if faults.down:
            return _answer(HTTPStatus.SERVICE_UNAVAILABLE)
        if self._budget is not None and not self._budget.try_take():
            return _answer(HTTPStatus.TOO_MANY_REQUESTS, headers=(("Retry-After", "1"),))
        if path == "/v1/machines":
            self._count("machines")
            return _answer(HTTPStatus.OK, self._lagging_list())
        key = path.removeprefix("/v1/values/")
        if environment["REQUEST_METHOD"] == "PUT":
            return self._write(key, environment)
        return self._read(key, environment)

    def _read(self, key: str, environment: Environment) -> BufferedAnswer:
        query = parse_qs(str(environment.get("QUERY_STRING", "")))
        if "after" not in query:
            self._count("reads")
            found = self._store.read(key)
            if found is None:
                return _answer(HTTPStatus.NOT_FOUND)
        else:
            self._count("watches")
            wait = float(query.get("wait", ["0"])[0])
            era = int(query.get("era", ["0"])[0])
            found = self._store.read_after(key, int(query["after"][0]), wait, era)
            if self._faults.down:
                return _answer(HTTPStatus.SERVICE_UNAVAILABLE)
            if found is None:
                return _answer(HTTPStatus.NOT_MODIFIED)
        return _answer(HTTPStatus.OK, found.value, (("Version", str(found.version)),))

    def _write(self, key: str, environment: Environment) -> BufferedAnswer:
        self._count("writes")
        query = parse_qs(str(environment.get("QUERY_STRING", "")))
        lease = query.get("ttl")
        version = self._store.write(
            key,
            _read_body(environment),
            int(query["version"][0]),
            float(lease[0]) if lease else None,
        )
        if version is None:
            return _answer(HTTPStatus.CONFLICT)
        if self._takes_lost_answer():
            return _answer(HTTPStatus.SERVICE_UNAVAILABLE)
        return _answer(HTTPStatus.OK, b"", (("Version", str(version)),))

    def _takes_lost_answer(self) -> bool:
        with self._lock:
            left = self._faults.lose_write_answers
            if left <= 0:
                return False
            self._faults = msgspec.structs.replace(self._faults, lose_write_answers=left - 1)
            return True

    def _control(self, path: str, environment: Environment) -> BufferedAnswer:
        if path == "/-/counts":
            return _answer(HTTPStatus.OK, msgspec.json.encode(dict(self._counts)))
        body = _read_body(environment)
        if path == "/-/faults":
            self._faults = msgspec.json.decode(body, type=PlatformFaults)
            rate = self._faults.calls_per_second
            self._budget = RateBudget(SystemClock(), rate, rate) if rate else None
            return _answer(HTTPStatus.OK)
        if path == "/-/machines":
            self._lists.append((time.monotonic(), body))
            return _answer(HTTPStatus.OK)
        return _answer(HTTPStatus.NOT_FOUND)

    def _lagging_list(self) -> bytes:
        latest = time.monotonic() - self._faults.list_lag_seconds
        return next(body for at, body in reversed(self._lists) if at <= latest or at == 0.0)

    def _count(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1


def serve_platform(address: str, store: PlatformStore | None = None) -> HttpServer:
    """Start the stand-in on an address."""
    server = HttpServer(address, PlatformStandIn(store), _LIMITS)
    server.start()
    return server


def _read_body(environment: Environment) -> bytes:
    length = int(environment.get("CONTENT_LENGTH") or 0)
    body: bytes = environment["wsgi.input"].read(length)
    return body


def _answer(
    status: HTTPStatus, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
) -> BufferedAnswer:
    return json_answer(status, body, headers)
