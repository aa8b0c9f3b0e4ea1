"""Daemons whose seeds are replaced, on simulated time and calls without a network."""

import threading
from collections.abc import Callable
from typing import Any, cast

import pytest

from kitekeel_peers.membership import Membership
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.errors import PeerError
from kitekeel_steering.events import HybridClock

STEP_SECONDS = 0.5
# Twice the time until a member is taken for dead and its address is asked again.
SETTLED_SECONDS = 30.0
DOWN_SECONDS = 2.0


class LocalCalls:
    """Calls the handlers of the daemon at an address; also takes their registrations."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Callable[[Any], Any]]] = {}

    def server_at(self, address: str) -> PeerServer:
        calls = self

        class Registrations:
            def register(self, method: str, _request: type, handler: Callable[[Any], Any]) -> None:
                calls.handlers.setdefault(address, {})[method] = handler

        return cast(PeerServer, Registrations())

    def call(self, address: str, method: str, request: Any, *_rest: object) -> Any:
        if address not in self.handlers:
            raise PeerError("nobody listens")
        return self.handlers[address][method](request)

    def forget(self, _address: str) -> None:
        pass


class OneRound(threading.Event):
    """Lets a membership run one round."""

    def __init__(self) -> None:
        super().__init__()
        self._has_waited = False

    def wait(self, timeout: float | None = None) -> bool:
        is_over, self._has_waited = self._has_waited, True
        return is_over


class SimulatedFleet:
    """Daemons at the addresses a0, a1 and so on; the first two are everybody's seeds."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.calls = LocalCalls()
        self.members: list[Membership] = []
        for number in range(count):
            self.members.append(self._start(number, "first"))
        for each in self.members:
            each.join()

    def _start(self, number: int, life: str) -> Membership:
        address = f"a{number}"
        own = MemberRecord(f"g{number}-{life}", "r", "z", 1, address, address, address)
        member = Membership(
            own,
            cast(PeerClient, self.calls),
            self.clock,
            HybridClock(self.clock),
            lambda: (),
            lambda _progress: None,
            lambda _record: None,
            lambda: ["a0", "a1"],
        )
        member.register(self.calls.server_at(address))
        return member

    def stop(self, number: int) -> None:
        """Stop a daemon as planned."""
        self.members[number].announce_left()
        self.kill(number)

    def kill(self, number: int) -> None:
        del self.calls.handlers[f"a{number}"]

    def start_again(self, number: int) -> None:
        self.members[number] = self._start(number, "second")
        self.members[number].join()

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for number, each in enumerate(self.members):
                if f"a{number}" in self.calls.handlers:
                    each.run(OneRound())

    def known(self) -> list[list[str]]:
        return [sorted(member.instance for member in each.table.live()) for each in self.members]


@pytest.mark.parametrize("stopped", [True, False], ids=["stopped", "killed"])
def test_daemons_find_the_processes_that_have_replaced_all_their_seeds(stopped: bool) -> None:
    """Guards against two groups of daemons that know nothing of each other for good."""
    fleet = SimulatedFleet(4)
    fleet.run(SETTLED_SECONDS)
    end = fleet.stop if stopped else fleet.kill
    end(0)
    fleet.kill(1)
    fleet.run(DOWN_SECONDS)
    fleet.start_again(0)
    fleet.start_again(1)
    fleet.run(SETTLED_SECONDS)
    expected = sorted(each.table.own().instance for each in fleet.members)
    assert fleet.known() == [expected] * 4


def test_daemons_find_the_processes_that_have_replaced_all_their_stopped_seeds() -> None:
    """Guards against members that have left and whose addresses nobody asks again."""
    fleet = SimulatedFleet(4)
    fleet.run(SETTLED_SECONDS)
    for number in (0, 1):
        fleet.stop(number)
    fleet.run(DOWN_SECONDS)
    for number in (0, 1):
        fleet.start_again(number)
    fleet.run(SETTLED_SECONDS)
    expected = sorted(each.table.own().instance for each in fleet.members)
    assert fleet.known() == [expected] * 4
