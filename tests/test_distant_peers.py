"""Calls to daemons that are far away, from the first one on."""

import msgspec
from loopback import free_address

from kitekeel_lab.fault_proxy import FaultProxy, ProxyRule
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.metrics import MemoryMetrics

SECRET = "secret"
METHOD = "Echo"
# One way between the two most distant regions known takes 0.055 s. A proxy on this machine cannot
# delay the opening of a connection, a round trip, so the peer's first bytes come that much later.
ONE_WAY_SECONDS = 0.055
UNTIL_FIRST_BYTES_SECONDS = 3 * ONE_WAY_SECONDS
TIMEOUT_SECONDS = 1.0


class Word(msgspec.Struct, frozen=True, array_like=True):
    text: str


def test_the_first_call_to_a_distant_daemon_succeeds() -> None:
    address = free_address()
    server = PeerServer(address, SECRET, MemoryMetrics())
    server.register(METHOD, Word, lambda request: request)
    server.start()
    far_address = free_address()
    proxy = FaultProxy(far_address, address)
    proxy.set_rule(ProxyRule(delay_seconds=UNTIL_FIRST_BYTES_SECONDS))
    client = PeerClient(SECRET, MemoryMetrics())
    try:
        reply = client.call(far_address, METHOD, Word("news"), Word, TIMEOUT_SECONDS)
        assert reply == Word("news")
    finally:
        client.close()
        proxy.close()
        server.stop(0.0)
