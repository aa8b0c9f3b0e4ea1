"""Enforcement of a back end's rate limit in simulated fleets of several sizes.

Uses the real keepers' pools with a simulated clock; calls between daemons take no time.
"""

import random
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

import pytest

from kitekeel_peers.quota_messages import QuotaReply, QuotaRequest, QuotaWant
from kitekeel_peers.quota_pools import QuotaPools
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.tenant_quota import (
    BACK_END_LIMIT_MARGIN,
    LENDING_SECONDS,
    QuotaStock,
    UnlentTime,
    back_end_shares,
)

STEP_SECONDS = 0.01
SECONDS = 24.0
SETTLED_SECONDS = 4.0
WINDOW_SECONDS = BACK_END_LIMIT_MARGIN.window_seconds
LIMIT = "b/1"
HOME = "region-0"
MIN_PAUSE_SECONDS = 0.08
MAX_PAUSE_SECONDS = 0.2


class SimulatedClock:
    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class ImmediateExecutor(Executor):
    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future[Any]:
        future: Future[Any] = Future()
        future.set_result(fn(*args, **kwargs))
        return future


class RegionKeepers:
    """Makes the first daemon of each region its keeper."""

    def __init__(self, region: str, address: str) -> None:
        self._region = region
        self._address = address

    def own_region(self) -> str:
        return self._region

    def own_address(self) -> str:
        return self._address

    def of_own_region(self, _group: int) -> str:
        return f"{self._region}:0"

    def of_region(self, _group: int, region: str) -> str | None:
        return f"{region}:0"

    def of_other_regions(self, _group: int) -> list[str]:
        return []

    def note_failure(self, _address: str) -> None:
        raise AssertionError("every call is answered")


class SimulatedDaemon:
    def __init__(self, fleet: "SimulatedFleet", region: str, number: int) -> None:
        self.region = region
        self.address = f"{region}:{number}"
        self.fleet = fleet
        self.pools = QuotaPools(
            1,
            RegionKeepers(region, self.address),  # type: ignore[arg-type]
            lambda _: fleet.shares,
            lambda: fleet.daemons,
            lambda address, request, _: fleet.by_address[address].pools.serve(request),
            ImmediateExecutor(),
            fleet.clock,  # type: ignore[arg-type]
            fleet.random,
            MemoryMetrics(),
            lambda: {LIMIT: fleet.shares},
        )
        self.unlent = UnlentTime(fleet.clock.now)
        self.stock = QuotaStock(fleet.random.random())
        self.next_loan_at = fleet.clock.now + fleet.random.uniform(0.0, LENDING_SECONDS)
        self.refused_until = 0.0

    def lend_if_due(self) -> None:
        if self.fleet.clock.now >= self.next_loan_at:
            self.next_loan_at += LENDING_SECONDS * self.fleet.random.uniform(0.7, 0.9)
            self._exchange(0)

    def claim(self) -> bool:
        shares, daemons = self.fleet.shares, self.fleet.daemons
        if self.stock.take(shares, daemons):
            return True
        if self.fleet.clock.now < self.refused_until:
            return False
        granted = self._exchange(1 + self.stock.max_tokens(shares, daemons) - self.stock.tokens)
        if not granted:
            pause = self.fleet.random.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
            self.refused_until = self.fleet.clock.now + pause
            return False
        self.stock.add(shares, daemons, int(granted) - 1)
        return True

    def _exchange(self, wanted: int) -> float:
        fleet = self.fleet
        wants = (QuotaWant(LIMIT, wanted, fleet.shares),) if wanted else ()
        seconds = self.unlent.take(fleet.clock.now)
        request = QuotaRequest(0, self.address, seconds, fleet.daemons, wants)
        reply: QuotaReply = fleet.by_address[f"{self.region}:0"].pools.serve(request)
        return sum(each.tokens for each in reply.grants)


class SimulatedFleet:
    def __init__(self, rate: float, daemons: int, regions: int) -> None:
        self.clock = SimulatedClock()
        self.random = random.Random(11)
        self.daemons = daemons
        self.shares = back_end_shares(rate, BACK_END_LIMIT_MARGIN, HOME)
        self.members = [
            SimulatedDaemon(self, f"region-{number % regions}", number // regions)
            for number in range(daemons)
        ]
        self.by_address = {each.address: each for each in self.members}
        self.admitted: list[float] = []

    def run(self, per_second: float, callers: list[SimulatedDaemon]) -> None:
        """Claim tokens at random daemons, as a Poisson process with a mean rate."""
        begin = self.clock.now
        next_at = begin
        while self.clock.now < begin + SECONDS:
            self.clock.now += STEP_SECONDS
            for each in self.members:
                each.lend_if_due()
            while next_at <= self.clock.now:
                next_at += self.random.expovariate(per_second)
                if self.random.choice(callers).claim():
                    self.admitted.append(self.clock.now - begin)

    def most_in_a_window(self) -> int:
        most, window = 0, deque[float]()
        for at in self.admitted:
            window.append(at)
            while window[0] <= at - WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        return most

    def utilization(self) -> float:
        counted = sum(at >= SETTLED_SECONDS for at in self.admitted)
        return counted / (self.shares.rate * (SECONDS - SETTLED_SECONDS))


@pytest.mark.parametrize(("daemons", "regions"), [(24, 3), (74, 3), (300, 3), (300, 16)])
@pytest.mark.parametrize("rate", [1.0, 3.0, 50.0])
def test_a_limit_is_kept_and_used_in_fleets_of_any_size(
    rate: float, daemons: int, regions: int
) -> None:
    """Callers in the home region request three times the limit."""
    fleet = SimulatedFleet(rate, daemons, regions)
    fleet.run(3.0 * rate, [each for each in fleet.members if each.region == HOME])
    assert fleet.most_in_a_window() <= 1.5 * WINDOW_SECONDS * rate + 5
    assert fleet.utilization() >= 0.7


@pytest.mark.parametrize("rate", [1.0, 3.0, 50.0])
def test_callers_of_another_region_may_use_the_limit(rate: float) -> None:
    fleet = SimulatedFleet(rate, 74, 3)
    fleet.run(3.0 * rate, [each for each in fleet.members if each.region != HOME])
    assert fleet.most_in_a_window() <= 1.5 * WINDOW_SECONDS * rate + 5
    assert fleet.utilization() >= 0.7
