"""The HTTP front end for callers: WSGI applications on CherryPy's server."""

from __future__ import annotations

import threading
from collections.abc import Iterable
from http import HTTPStatus

import msgspec

from kitekeel_callers.answers import json_answer
from kitekeel_callers.arrival import ArrivalTimeGateway
from kitekeel_callers.caller_request import SERVICE_PREFIX, Environment
from kitekeel_callers.draining_server import DrainingServer
from kitekeel_callers.entries import ENTRIES_PATH, EntryLookups
from kitekeel_callers.intake import Intake, StartResponse
from kitekeel_steering.ini import is_address

_SERVER_NAME = "kitekeel"
_NOT_FOUND_BODY = b'{"outcome":"not-run","code":"not-found","message":"no such path"}'
_LISTEN_BACKLOG = 512


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits of one HTTP server; sizes in bytes, times in seconds."""

    threads: int = 352
    queued_connections: int = 512
    largest_header: int = 32 * 1024
    largest_body: int = 64 * 1024 * 1024
    idle_timeout_seconds: int = 10


class CallerFront:
    """Routes requests by path to the look-up or the intake application."""

    def __init__(self, lookups: EntryLookups, intake: Intake) -> None:
        self._lookups = lookups
        self._intake = intake

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = str(environment.get("PATH_INFO", ""))
        if path.startswith(SERVICE_PREFIX):
            return self._intake(environment, start_response)
        if path == ENTRIES_PATH:
            return self._lookups(environment, start_response)
        headers = (("Content-Type", "application/json"), ("Kitekeel-Outcome", "not-run"))
        answer = json_answer(HTTPStatus.NOT_FOUND, _NOT_FOUND_BODY, headers)
        start_response(answer.status_line, list(answer.headers))
        return [answer.body]


class HttpServer:
    """CherryPy's HTTP server on one address, run in a dedicated thread.

    Args:
        address: ``IP:port``.
        application: a WSGI application.
        limits: limits on connections, headers, bodies and threads.
    """

    def __init__(self, address: str, application: object, limits: ServerLimits) -> None:
        if not is_address(address):
            raise ValueError(f"'{address}' is not IP:port")
        host, _, port = address.rpartition(":")
        self._server = DrainingServer(
            (host.strip("[]"), int(port)),
            application,
            numthreads=limits.threads,
            server_name=_SERVER_NAME,
            request_queue_size=_LISTEN_BACKLOG,
            timeout=limits.idle_timeout_seconds,
            accepted_queue_size=limits.queued_connections,
            accepted_queue_timeout=1,
        )
        self._server.gateway = ArrivalTimeGateway
        self._server.max_request_header_size = limits.largest_header
        self._server.max_request_body_size = limits.largest_body
        self._server.shutdown_timeout = 1
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{address}", daemon=True
        )

    def start(self) -> None:
        """Bind the address and serve requests.

        Raises:
            OSError: the address cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and end the worker threads."""
        self._server.stop()
        self._thread.join()
