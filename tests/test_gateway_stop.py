"""A stopping gateway waits for the connections that it has only just accepted."""

import asyncio
import socket
import threading
import time
from http import HTTPStatus

import pytest
from loopback import free_address

from kitekeel_callers.http_listener import HttpListener
from kitekeel_daemon.gateway_stop import GatewayStop
from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest
from kitekeel_steering.steady_loop import run_on_steady_loop

STOP_SECONDS = 2.0
ACCEPTING_SECONDS = 0.9
WORK_SECONDS = 0.2
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class StoppingGateway:
    """What a stop needs of a gateway whose requests take some time."""

    stop_seconds = STOP_SECONDS

    def __init__(self) -> None:
        self.address = free_address()
        self.caller_listener = HttpListener(self.address, self._handle)
        self.closed_at = float("inf")

    async def _handle(self, _request: ProxiedRequest) -> ProxiedAnswer:
        await asyncio.sleep(WORK_SECONDS)
        return own_answer(HTTPStatus.OK)

    def open_tunnels(self) -> int:
        return 0

    def requests_in_flight(self) -> int:
        return 0

    def announce_stop(self) -> None:
        self.caller_listener.announce_stop()

    async def leave_peers(self) -> None:
        return

    async def close(self) -> None:
        self.closed_at = time.monotonic()

    def end_calls(self) -> None:
        return

    def connect(self) -> socket.socket:
        """Send a request without the help of the event loop."""
        host, _, port = self.address.rpartition(":")
        sent = socket.create_connection((host, int(port)))
        sent.sendall(REQUEST)
        return sent


def test_connections_that_are_being_accepted_count_as_open() -> None:
    async def run() -> None:
        gateway = StoppingGateway()
        await gateway.caller_listener.start()
        with gateway.connect():
            gateway.caller_listener.stop_accepting()
            assert gateway.caller_listener.open_connections() == 1

    run_on_steady_loop(run())


@pytest.mark.parametrize("early_seconds", [0.0, 0.01, 0.02])
def test_a_request_that_arrives_as_the_listener_stops_is_answered_before_the_gateway_closes(
    early_seconds: float,
) -> None:
    async def run() -> None:
        gateway = StoppingGateway()
        await gateway.caller_listener.start()
        sent: list[socket.socket] = []
        answered_at: list[float] = []

        def ask() -> None:
            connection = gateway.connect()
            sent.append(connection)
            if connection.recv(12) == b"HTTP/1.1 200":
                answered_at.append(time.monotonic())

        stop = asyncio.create_task(GatewayStop(gateway).run())
        await asyncio.sleep(ACCEPTING_SECONDS - 0.05)
        thread = threading.Thread(target=ask)
        # The loop finds the connection and the end of its wait at the same time.
        time.sleep(0.05 - early_seconds)
        thread.start()
        time.sleep(0.05 + early_seconds)
        await stop
        await asyncio.to_thread(thread.join)
        sent[0].close()
        assert answered_at
        assert gateway.closed_at >= answered_at[0] - 0.05

    run_on_steady_loop(run())
