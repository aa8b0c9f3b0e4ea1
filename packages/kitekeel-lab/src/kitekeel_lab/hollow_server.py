"""Many hollow daemons in one process, with a control over HTTP."""

from __future__ import annotations

import time
from collections.abc import Iterable
from concurrent import futures
from http import HTTPStatus

import msgspec

from kitekeel_callers.answers import json_answer
from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_lab.deployment import DaemonSpec
from kitekeel_lab.hollow_daemon import HollowDaemon, HollowStatus
from kitekeel_lab.process_usage import resident_bytes

_WORKERS = 32


class HollowOrder(msgspec.Struct, frozen=True):
    """The hollow daemons of one process."""

    daemons: tuple[DaemonSpec, ...]
    seeds: tuple[str, ...]


class HollowReport(msgspec.Struct, frozen=True):
    """A process's state: processor seconds used, resident bytes, and what its daemons see."""

    processor_seconds: float
    resident_bytes: int
    statuses: tuple[HollowStatus, ...]


class HollowFarm:
    """The hollow daemons of one process, as a WSGI application."""

    def __init__(self, order: HollowOrder) -> None:
        self._seeds = list(order.seeds)
        self._workers = futures.ThreadPoolExecutor(_WORKERS)
        self._daemons = {each.name: self._make(each) for each in order.daemons}

    def start(self) -> None:
        """Start every daemon."""
        for daemon in self._daemons.values():
            daemon.start()

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer a control call: ``/report``, ``/kill/NAME``, ``/replace/NAME``."""
        path = str(environment["PATH_INFO"])
        _, verb, *rest = path.split("/")
        if verb == "kill":
            self._daemons.pop(rest[0]).kill()
        elif verb == "replace":
            self._replace(rest[0])
        answer = json_answer(HTTPStatus.OK, msgspec.json.encode(self._report()), ())
        start_response(answer.status_line, list(answer.headers))
        return [answer.body]

    def _make(self, spec: DaemonSpec) -> HollowDaemon:
        return HollowDaemon(spec, self._seeds, self._workers)

    def _replace(self, name: str) -> None:
        daemon = self._daemons.pop(name)
        daemon.kill()
        self._daemons[name] = self._make(daemon.spec)
        self._daemons[name].start()

    def _report(self) -> HollowReport:
        statuses = tuple(daemon.status() for daemon in self._daemons.values())
        return HollowReport(time.process_time(), resident_bytes("self"), statuses)


def serve_hollow(order: HollowOrder, control: str) -> HttpServer:
    """Start hollow daemons and their control."""
    farm = HollowFarm(order)
    server = HttpServer(control, farm, ServerLimits(threads=4))
    server.start()
    farm.start()
    return server
