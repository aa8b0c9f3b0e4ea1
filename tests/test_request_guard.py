"""A request that ends back ends is known again also where requests run on threads.

What callers saw is the same as in ``test_crashing_requests``: each caller's try, with an id of its
own, was sent to up to three back ends, and nothing learned from it.
"""

import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from loopback import free_address
from search_runner import POOL, caller_request, lone_guard, runner_at

from kitekeel_backends.forwarding import Forwarder
from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_daemon.known_body import read_ahead
from kitekeel_daemon.request_guard import RequestGuard, identity_of
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.errors import (
    ConnectionBrokenError,
    OutcomeUnknownError,
    RequestQuarantinedError,
)
from kitekeel_steering.events import EventLog, HybridClock
from kitekeel_steering.http_messages import ForwardedRequest, StreamedAnswer
from kitekeel_steering.metrics import MemoryMetrics

SECRET = "a-secret-for-the-tests"


class BreakingForwarder(Forwarder):
    """Breaks off the exchanges of one path, as where the back end ends; answers the others."""

    def __init__(self, breaking: str) -> None:
        super().__init__()
        self.breaking = breaking
        self.sent_to: list[str] = []

    def send(
        self,
        address: str,
        connections: int,
        request: ForwardedRequest,
        repeatable: bool,
        deadline: float,
    ) -> StreamedAnswer:
        self.sent_to.append(address)
        if self.breaking in request.target:
            raise ConnectionBrokenError("the back end has ended")
        return StreamedAnswer(200, "OK", (), iter(()), 0)


@contextmanager
def running(*guards: RequestGuard) -> Iterator[None]:
    stop = threading.Event()
    threads = [threading.Thread(target=each.run, args=(stop,)) for each in guards]
    for each in threads:
        each.start()
    try:
        yield
    finally:
        stop.set()
        for each in threads:
            each.join()


def until_quarantined(guard: RequestGuard, seconds: float = 3.0) -> bool:
    end = time.monotonic() + seconds
    while not guard.ledger.quarantined() and time.monotonic() < end:
        time.sleep(0.02)
    return bool(guard.ledger.quarantined())


def test_a_request_that_ends_three_back_ends_is_refused_under_any_id() -> None:
    guard = lone_guard()
    forwarder = BreakingForwarder("crash")
    addresses = [free_address() for _ in range(5)]
    runner, _ = runner_at(*addresses, slots=50, forwarder=forwarder, guard=guard)
    with running(guard):
        for number in range(4):
            with pytest.raises((OutcomeUnknownError, RequestQuarantinedError)):
                runner.run(caller_request(2000, f"r{number}", "crash"), time.monotonic() + 2.0)
        assert until_quarantined(guard)
        sent = len(forwarder.sent_to)
        for number in range(10):
            with pytest.raises(RequestQuarantinedError) as refusal:
                runner.run(caller_request(2000, f"s{number}", "crash"), time.monotonic() + 2.0)
        assert refusal.value.retry_after_seconds >= 10.0
        assert len(forwarder.sent_to) == sent
        assert runner.run(caller_request(2000, "t", "other"), time.monotonic() + 2.0).status == 200


def test_a_broken_exchange_at_a_living_back_end_quarantines_nobody() -> None:
    guard = lone_guard()
    forwarder = BreakingForwarder("crash")
    servers = [PeerServer(free_address(), SECRET, MemoryMetrics()) for _ in range(4)]
    for each in servers:
        each.start()
    addresses = [each._address for each in servers]
    runner, _ = runner_at(*addresses, slots=50, forwarder=forwarder, guard=guard)
    try:
        with running(guard):
            for number in range(6):
                with pytest.raises(OutcomeUnknownError):
                    runner.run(caller_request(2000, f"r{number}", "crash"), time.monotonic() + 2.0)
            assert not until_quarantined(guard, 0.5)
    finally:
        for each in servers:
            each.stop()


def member(name: str, address: str) -> MemberRecord:
    return MemberRecord(name, POOL.region, "n1", 1, address, "", "")


def test_daemons_learn_it_from_each_other() -> None:
    addresses = {name: free_address() for name in ("d0", "d1")}
    clock = SystemClock()
    guards: list[RequestGuard] = []
    servers: list[PeerServer] = []
    for name, address in addresses.items():
        recorder = EventRecorder(EventLog(name, HybridClock(clock)), name)
        guard = RequestGuard(clock, MemoryMetrics(), recorder)
        table = MemberTable(member(name, address), clock, lambda _record: None)
        table.merge([member(*each) for each in addresses.items()])
        server = PeerServer(address, SECRET, MemoryMetrics())
        guard.share(PeerClient(SECRET, MemoryMetrics()), table, server)
        server.start()
        guards.append(guard)
        servers.append(server)
    with running(*guards):
        runner, _ = runner_at(
            *[free_address() for _ in range(5)],
            slots=50,
            forwarder=BreakingForwarder("crash"),
            guard=guards[0],
        )
        for number in range(4):
            with pytest.raises((OutcomeUnknownError, RequestQuarantinedError)):
                runner.run(caller_request(2000, f"r{number}", "crash"), time.monotonic() + 2.0)
        assert until_quarantined(guards[1])
    for server in servers:
        server.stop()


def test_a_body_that_is_not_known_ahead_has_no_identity() -> None:
    request = caller_request(1000)
    same = caller_request(1000, "another-id")
    known, body = read_ahead(request)
    assert identity_of("search", known.forwarded, body) == identity_of(
        "search", same.forwarded, b""
    )
    assert identity_of("search", known.forwarded, b"x") != identity_of(
        "search", known.forwarded, b""
    )
