"""A request that has arrived on an idle connection is read, though the connection's time is over.

What happened: a caller of a loaded daemon lost a request that may not be repeated 0.18 s after it
had sent it on a kept connection (``ProtocolError``: the connection was closed under it).

Why: the thread that watches the connections closes those that were idle for 10 s. It looks for
requests first and closes afterwards; with too little processor time a request arrives in between
and is thrown away with its connection.

What showed it: the same thread held for 0.3 s at that place: 3 and 5 of 24 requests were lost in
two runs. At the end of a stop the same happens: 8 of 8 that came after the thread had ended.
"""

import http.client
import threading
import time
from collections.abc import Iterable

import pytest
from cheroot.connections import ConnectionManager
from loopback import free_address

from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_callers.kept_connection import KeepAliveConnection

_IDLE_SECONDS = 1
_CALLERS = 24


def application(_environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def ask_twice(address: str, pause_seconds: float, results: list[str]) -> None:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/")
    connection.getresponse().read()
    time.sleep(pause_seconds)
    if connection.sock is None:
        # The server keeps a limited number of idle connections and has asked to close this one.
        results.append("closed before")
        return
    connection.sock.setblocking(False)
    try:
        is_closed = connection.sock.recv(1) == b""
    except BlockingIOError:
        is_closed = False
    connection.sock.settimeout(5.0)
    if is_closed:
        results.append("closed before")
        return
    try:
        connection.request("GET", "/")
        results.append(connection.getresponse().read().decode())
    except (OSError, http.client.HTTPException):
        results.append("lost")


def ask_at_many_moments(address: str) -> list[str]:
    results: list[str] = []
    asking = [
        threading.Thread(target=ask_twice, args=(address, 0.9 + 0.04 * number, results))
        for number in range(_CALLERS)
    ]
    for each in asking:
        each.start()
    for each in asking:
        each.join()
    return results


def test_a_request_on_a_connection_that_is_about_to_be_closed_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    expire = ConnectionManager._expire

    def expire_late(manager: ConnectionManager, threshold: float) -> None:
        time.sleep(0.3)
        expire(manager, threshold)

    monkeypatch.setattr(ConnectionManager, "_expire", expire_late)
    address = free_address()
    server = HttpServer(address, application, ServerLimits(16, idle_timeout_seconds=_IDLE_SECONDS))
    server.start()
    try:
        results = ask_at_many_moments(address)
    finally:
        server.stop()
    assert results.count("lost") == 0, results
    assert "ok" in results


def test_a_request_that_has_arrived_when_the_server_stops_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The thread that watches the connections has ended when the requests arrive."""
    watching_ended = threading.Event()
    sent = threading.Event()
    close = ConnectionManager.close

    def close_late(manager: ConnectionManager) -> None:
        watching_ended.set()
        sent.wait(5.0)
        close(manager)

    monkeypatch.setattr(ConnectionManager, "close", close_late)
    address = free_address()
    server = HttpServer(address, application, ServerLimits(4))
    server.start()
    host, _, port = address.rpartition(":")
    connections = [http.client.HTTPConnection(host, int(port), timeout=5.0) for _ in range(8)]
    for each in connections:
        each.request("GET", "/")
        each.getresponse().read()
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    assert watching_ended.wait(5.0)
    for each in connections:
        each.request("GET", "/")
    sent.set()
    results: list[str] = []
    for each in connections:
        try:
            results.append(each.getresponse().read().decode())
        except (OSError, http.client.HTTPException):
            results.append("lost")
    stopping.join()
    assert results == ["ok"] * len(connections)


def test_a_request_on_a_connection_returned_during_shutdown_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing a connection that a worker returns after shutdown has begun."""
    watching_ended = threading.Event()
    sent = threading.Event()
    close = ConnectionManager.close
    communicate = KeepAliveConnection.communicate

    def close_late(manager: ConnectionManager) -> None:
        watching_ended.set()
        sent.wait(5.0)
        close(manager)

    def return_late(connection: KeepAliveConnection) -> bool:
        is_kept = communicate(connection)
        watching_ended.wait(5.0)
        return is_kept

    monkeypatch.setattr(ConnectionManager, "close", close_late)
    monkeypatch.setattr(KeepAliveConnection, "communicate", return_late)
    address = free_address()
    server = HttpServer(address, application, ServerLimits(4))
    server.start()
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.request("GET", "/")
    connection.getresponse().read()
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    assert watching_ended.wait(5.0)
    # Let the worker return the connection before the request is sent.
    time.sleep(0.1)
    try:
        connection.request("GET", "/")
        sent.set()
        result = connection.getresponse().read().decode()
    except (OSError, http.client.HTTPException):
        result = "lost"
    finally:
        sent.set()
        stopping.join()
    assert result == "ok"


def test_a_connection_that_is_idle_for_too_long_is_closed() -> None:
    address = free_address()
    server = HttpServer(address, application, ServerLimits(4, idle_timeout_seconds=_IDLE_SECONDS))
    server.start()
    results: list[str] = []
    try:
        ask_twice(address, _IDLE_SECONDS + 1.2, results)
    finally:
        server.stop()
    assert results == ["closed before"]


def test_requests_are_served_while_idle_connections_are_closed() -> None:
    """Eight connections run out together; looking at them must not wait for anything."""
    address = free_address()
    server = HttpServer(address, application, ServerLimits(4, idle_timeout_seconds=_IDLE_SECONDS))
    server.start()
    host, _, port = address.rpartition(":")
    idle = [http.client.HTTPConnection(host, int(port), timeout=5.0) for _ in range(8)]
    slowest = 0.0
    try:
        for each in idle:
            each.request("GET", "/")
            each.getresponse().read()
        end = time.monotonic() + _IDLE_SECONDS + 2.0
        while time.monotonic() < end:
            started_at = time.monotonic()
            connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
            connection.request("GET", "/")
            connection.getresponse().read()
            connection.close()
            slowest = max(slowest, time.monotonic() - started_at)
            time.sleep(0.02)
    finally:
        server.stop()
    # Each look that waits takes the idle time, and eight of them follow one another.
    assert slowest < _IDLE_SECONDS * 2.0
