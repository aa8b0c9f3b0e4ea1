"""A stop of the HTTP server answers every request that has arrived, at whatever moment."""

import http.client
import threading
import time
from collections.abc import Callable, Iterable

import pytest
from cheroot.connections import ConnectionManager, _ThreadsafeSelector
from loopback import free_address

from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_callers.kept_connection import KeepAliveConnection
from kitekeel_daemon.daemon import Daemon
from kitekeel_lab.deployment import DaemonSpec, settings_text
from kitekeel_steering.settings import parse_settings

_CALLERS = 8
# Longer than the server waits for room in its queue.
_SLOW_SECONDS = 1.3


def application(environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    if environment.get("PATH_INFO") == "/slow":
        time.sleep(_SLOW_SECONDS)
    return [b"ok"]


def connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5.0)
    connection.connect()
    return connection


def read_answer(connection: http.client.HTTPConnection) -> str:
    try:
        return connection.getresponse().read().decode()
    except (OSError, http.client.HTTPException) as error:
        return f"lost: {error!r}"


def before_idle_connections_close(address: str, act: Callable[[], None]) -> Callable[..., None]:
    """Return a replacement of ``ConnectionManager.close`` that does something first."""
    close = ConnectionManager.close

    def close_after(manager: ConnectionManager) -> None:
        if f"{manager.server.bind_addr[0]}:{manager.server.bind_addr[1]}" == address:
            act()
        close(manager)

    return close_after


@pytest.mark.parametrize("seconds_after_close", [-0.2, 0.05, 0.5, 1.5])
def test_a_request_on_a_connection_that_a_worker_returns_late_is_answered(
    monkeypatch: pytest.MonkeyPatch, seconds_after_close: float
) -> None:
    """Guards against dropping connections returned after the idle ones were looked through.

    The worker returns it before the selector is closed, or after, or behind the workers' end.
    """
    release = threading.Event()
    held_ports: set[int] = set()
    communicate = KeepAliveConnection.communicate
    close = _ThreadsafeSelector.close
    address = free_address()

    def communicate_and_hold(connection: KeepAliveConnection) -> bool:
        is_kept = communicate(connection)
        if connection.remote_port in held_ports:
            release.wait(10.0)
        return is_kept

    def close_and_release(selector: _ThreadsafeSelector) -> None:
        if seconds_after_close < 0:
            release.set()
            time.sleep(-seconds_after_close)
        close(selector)
        threading.Timer(max(0.0, seconds_after_close), release.set).start()

    def send_all() -> None:
        for each in connections:
            each.request("GET", "/")
        sent.set()

    sent = threading.Event()
    monkeypatch.setattr(KeepAliveConnection, "communicate", communicate_and_hold)
    monkeypatch.setattr(_ThreadsafeSelector, "close", close_and_release)
    server = HttpServer(address, application, ServerLimits(4))
    server.start()
    connections = [connect(address) for _ in range(_CALLERS)]
    held_ports.add(connections[0].sock.getsockname()[1])
    closing = before_idle_connections_close(address, send_all)
    monkeypatch.setattr(ConnectionManager, "close", closing)
    for each in connections:
        each.request("GET", "/")
    assert [read_answer(each) for each in connections] == ["ok"] * _CALLERS
    time.sleep(0.1)
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    assert sent.wait(5.0)
    results = [read_answer(each) for each in connections]
    stopping.join(10.0)
    assert not stopping.is_alive()
    assert results == ["ok"] * _CALLERS


def test_a_request_that_waits_to_be_accepted_when_the_server_stops_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against resetting established connections with the listening socket."""
    address = free_address()
    stop = ConnectionManager.stop
    connections: list[http.client.HTTPConnection] = []

    def stop_and_connect(manager: ConnectionManager) -> None:
        stop(manager)
        if not connections:
            connections.extend(connect(address) for _ in range(_CALLERS))
            for each in connections:
                each.request("GET", "/")

    monkeypatch.setattr(ConnectionManager, "stop", stop_and_connect)
    server = HttpServer(address, application, ServerLimits(4))
    server.start()
    server.stop()
    assert [read_answer(each) for each in connections] == ["ok"] * _CALLERS


def test_requests_beyond_the_queue_when_the_server_stops_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against dropping connections that found the workers' queue full at the stop."""
    address = free_address()
    server = HttpServer(address, application, ServerLimits(1, queued_connections=1))
    server.start()
    connections = [connect(address) for _ in range(3)]
    for each in connections:
        each.request("GET", "/")
        assert read_answer(each) == "ok"

    def send_all() -> None:
        for each in connections:
            each.request("GET", "/slow")
        sent.set()

    sent = threading.Event()
    closing = before_idle_connections_close(address, send_all)
    monkeypatch.setattr(ConnectionManager, "close", closing)
    stopping = threading.Thread(target=server.stop)
    stopping.start()
    assert sent.wait(5.0)
    results = [read_answer(each) for each in connections]
    stopping.join(10.0)
    assert results == ["ok"] * len(connections)


def test_the_loops_of_a_daemon_run_until_its_last_requests_are_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for slots which nobody exchanges any more."""
    spec = DaemonSpec("d1", "north", "n1", 1, free_address(), free_address(), free_address())
    daemon = Daemon(parse_settings(settings_text(spec, free_address(), [], None)))
    had_ended: list[bool] = []
    monkeypatch.setattr(
        daemon.caller_server, "stop", lambda: had_ended.append(daemon._stop_loops.is_set())
    )
    monkeypatch.setattr(daemon.operator_server, "stop", lambda: None)
    daemon.stop_loops()
    assert had_ended == [False]
    assert daemon._stop_loops.is_set()
