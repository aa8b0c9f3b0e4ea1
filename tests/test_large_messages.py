"""Large messages between daemons do not fill a small machine's link.

What users saw: for three seconds and more after a configuration with 868 more routes, a daemon
went on with the configuration before it.

Order of events: the two daemons of a zone that watch the store hear of the configuration and tell
it to the ten others at once. On the smaller machine none of these calls ended in its 0.6 s; they
began anew with each change. Meanwhile its connections to back ends and its questions to the store
ran out of time as well, for eight seconds, so that it missed the two configurations that followed.

Cause: the document went out ten times over, 2 MB through a link of a few Mbit/s.

Evidence: the lines of that daemon on a day that broke twice in two plays: its calls "News" to all
ten others ended with DEADLINE_EXCEEDED from 19.7 to 20.4 s, more until 23.7 s, and it ejected back
end after back end that it could not open a connection to.
"""

import contextlib
import socket
import threading

import msgspec
import pytest
from loopback import free_address

from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.routing import Route, RoutingConfiguration, WeightedService

SECRET = "secret"
ROUTES = 1_000
PIECE_BYTES = 65_536


class Empty(msgspec.Struct, frozen=True, array_like=True):
    pass


def large_configuration() -> RoutingConfiguration:
    services = ("search", "loans", "records")
    routes = tuple(
        Route(
            name=f"r-{number:x}",
            host=f"host{number % 60}.example",
            path_prefix=f"/{number * 7919 % 10007:x}/",
            repeatable=number % 3 > 0,
            timeout_seconds=2.0 + number % 5,
            objective_seconds=0.5,
            priority=number % 3,
            parts=(WeightedService(services[number % 3], 1.0),),
            max_attempts=2,
            sticky=True,
        )
        for number in range(ROUTES)
    )
    return RoutingConfiguration(1, routes, ())


class CountingRelay:
    """Passes the bytes of one connection on to an address, and counts them."""

    def __init__(self, target: str) -> None:
        self.address = free_address()
        self.count = 0
        self._target = split(target)
        self._listener = socket.create_server(split(self.address))
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        far = socket.create_connection(self._target)
        threading.Thread(target=self._pump, args=(near, far), daemon=True).start()
        threading.Thread(target=self._pump, args=(far, near), daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with source, sink, contextlib.suppress(OSError):
            while piece := source.recv(PIECE_BYTES):
                self.count += len(piece)
                sink.sendall(piece)


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


@pytest.mark.parametrize("is_request", [True, False])
def test_a_large_configuration_takes_a_tenth_of_its_size(is_request: bool) -> None:
    """Bytes on the wire for 199 KB: 199,916 without compression, 12,812 with it."""
    configuration = large_configuration()
    size = len(msgspec.msgpack.encode(configuration))
    address = free_address()
    server = PeerServer(address, SECRET, MemoryMetrics())
    if is_request:
        server.register("Tell", RoutingConfiguration, lambda _request: Empty())
    else:
        server.register("Ask", Empty, lambda _request: configuration)
    server.start()
    relay = CountingRelay(address)
    client = PeerClient(SECRET, MemoryMetrics())
    try:
        if is_request:
            client.call(relay.address, "Tell", configuration, Empty, 2.0)
        else:
            told = client.call(relay.address, "Ask", Empty(), RoutingConfiguration, 2.0)
            assert told == configuration
        print(size, relay.count)
        assert size > 150_000
        assert relay.count < size / 10
    finally:
        client.close()
        server.stop(0.0)
        relay.close()
