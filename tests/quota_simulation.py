"""Simulates ways to keep a tenant's limit over all daemons, without a network.

Time goes in steps; requests come at random daemons by a Poisson process. Each way sees only what
its daemons would: their own requests, and messages that take their time.
"""

import math
import random
from collections import deque
from typing import Protocol

import msgspec

from kitekeel_steering.demand_rate import DemandRate
from kitekeel_steering.tenant_quota import (
    LENDING_SECONDS,
    QuotaMargin,
    QuotaPool,
    QuotaStock,
    UnlentTime,
    quota_shares,
)
from kitekeel_steering.tenants import Tenant

MARGIN = QuotaMargin()
STEP_SECONDS = 0.01
REGIONS = 3


class Result(msgspec.Struct, frozen=True):
    """What callers got.

    Attributes:
        most_over: most requests of a window beyond what is allowed; 0 or less where it was kept.
        refused_below: refused, while the window before held less than the limit, of all requests.
        admitted: of what the limit allows in the whole run.
        messages: a daemon and second.
    """

    most_over: float
    refused_below: float
    admitted: float
    messages: float


class Way(Protocol):
    """One way to keep the limit."""

    messages: int

    def admit(self, daemon: int, now: float) -> bool:
        """Decide about a request."""

    def step(self, now: float) -> None:
        """Let time pass."""


class EqualParts:
    """Each daemon admits its equal part of rate and burst."""

    def __init__(self, tenant: Tenant, daemons: int) -> None:
        self.messages = 0
        self._rate = tenant.rate / daemons
        shares = quota_shares(tenant, MARGIN)
        assert shares is not None
        total = shares.pooled + shares.stocked
        self._most = [
            math.floor(total / daemons + (number + 0.5) / daemons) for number in range(daemons)
        ]
        self._tokens = [float(each) for each in self._most]
        self._at = [0.0] * daemons

    def admit(self, daemon: int, now: float) -> bool:
        earned = (now - self._at[daemon]) * self._rate
        self._at[daemon] = now
        self._tokens[daemon] = min(self._tokens[daemon] + earned, self._most[daemon])
        if self._tokens[daemon] < 1:
            return False
        self._tokens[daemon] -= 1
        return True

    def step(self, now: float) -> None:
        pass


class PartsByDemand:
    """Each daemon's part follows its part of the demand, which heartbeats tell a second later.

    A tenth of the rate is kept for daemons that were not asked lately, in equal parts.
    """

    def __init__(self, tenant: Tenant, daemons: int) -> None:
        self.messages = 0
        self._tenant = tenant
        self._daemons = daemons
        self._demands = [DemandRate(0.0, 3.0) for _ in range(daemons)]
        self._parts = [1.0 / daemons] * daemons
        self._tokens = [1.0] * daemons
        self._at = [0.0] * daemons
        self._told_at = 0.0

    def admit(self, daemon: int, now: float) -> bool:
        self._demands[daemon].note(1, now)
        part = self._parts[daemon]
        earned = (now - self._at[daemon]) * self._tenant.rate * part
        self._at[daemon] = now
        most = max(1.0, self._tenant.burst * part)
        self._tokens[daemon] = min(self._tokens[daemon] + earned, most)
        if self._tokens[daemon] < 1:
            return False
        self._tokens[daemon] -= 1
        return True

    def step(self, now: float) -> None:
        if now - self._told_at < 1.0:
            return
        self._told_at = now
        self.messages += self._daemons
        rates = [each.per_second(now) for each in self._demands]
        total = max(sum(rates), 1e-9)
        self._parts = [0.9 * each / total + 0.1 / self._daemons for each in rates]


class LentTokens:
    """Tokens from a keeper of each region, to which daemons lend their seconds."""

    def __init__(self, tenant: Tenant, daemons: int) -> None:
        self.messages = 0
        shares = quota_shares(tenant, MARGIN)
        assert shares is not None
        self._shares = shares
        self._daemons = daemons
        self._pools = [QuotaPool() for _ in range(REGIONS)]
        self._unlent = [UnlentTime(0.0) for _ in range(daemons)]
        self._stocks = [QuotaStock((number + 0.5) / daemons) for number in range(daemons)]
        self._demands = [DemandRate(0.0) for _ in range(REGIONS)]
        self._asked_at = [-9.0] * daemons
        self._refused_until = [0.0] * daemons
        self._pulled_at = [0.0] * REGIONS
        # Daemons have lent for five seconds while nobody asked.
        for loan in range(-10, 0):
            for number in range(daemons):
                at = loan * LENDING_SECONDS
                self._pools[number % REGIONS].lend(str(number), LENDING_SECONDS, daemons, at)

    def admit(self, daemon: int, now: float) -> bool:
        self._asked_at[daemon] = now
        if self._stocks[daemon].take(self._shares, self._daemons):
            return True
        if now < self._refused_until[daemon]:
            return False
        if self._exchange(daemon, now, 1):
            return True
        self._refused_until[daemon] = now + 0.14
        return False

    def step(self, now: float) -> None:
        for daemon in range(self._daemons):
            if self._unlent[daemon].age(now) >= LENDING_SECONDS * 0.9:
                self._exchange(daemon, now, 0)

    def _exchange(self, daemon: int, now: float, needed: int) -> bool:
        self.messages += 1
        region = daemon % REGIONS
        pool, stock = self._pools[region], self._stocks[daemon]
        pool.lend(str(daemon), self._unlent[daemon].take(now), self._daemons, now)
        is_busy = now - self._asked_at[daemon] < 2.0
        room = stock.max_tokens(self._shares, self._daemons) - stock.tokens if is_busy else 0
        granted = pool.take("t", self._shares, needed + max(0, room), now, self._daemons)
        self._demands[region].note(needed + max(0, room), now)
        self._pull(region, now)
        is_admitted = needed > 0 and granted > 0
        stock.add(self._shares, self._daemons, granted - is_admitted)
        return is_admitted

    def _pull(self, region: int, now: float) -> None:
        pool = self._pools[region]
        level = pool.level("t", self._shares, now, self._daemons)
        lacking = self._demands[region].per_second(now) * 0.5 - level
        if lacking <= 0 or now - self._pulled_at[region] < 0.2:
            return
        self._pulled_at[region] = now
        for other in range(REGIONS):
            if other != region:
                self.messages += 1
                taken = self._pools[other].take_for_transfer(
                    "t", self._shares, math.ceil(lacking), now, self._daemons
                )
                pool.add_transferred("t", self._shares, taken, now, self._daemons)


def simulate(
    way: Way,
    tenant: Tenant,
    daemons: int,
    load: float,
    seconds: float,
    seed: int,
    skew: float = 0.0,
) -> Result:
    """Play requests at ``load`` times the limit.

    Args:
        way: the way to keep the limit.
        tenant: whose requests they are.
        daemons: how many daemons there are.
        load: requests as a part of the limit.
        seconds: length of the run.
        seed: of the arrivals.
        skew: part of the requests that come at a tenth of the daemons.
    """
    generator = random.Random(seed)
    times: deque[float] = deque()
    arrived = admitted = refused_below = 0
    most_over = -math.inf
    bound = (tenant.rate * MARGIN.window_seconds + tenant.burst) * (1 + MARGIN.ratio) + MARGIN.slack
    due = tenant.rate * MARGIN.window_seconds
    now, next_at = 0.0, generator.expovariate(tenant.rate * load)
    while now < seconds:
        now += STEP_SECONDS
        way.step(now)
        while next_at <= now:
            next_at += generator.expovariate(tenant.rate * load)
            is_skewed = generator.random() < skew
            daemon = generator.randrange(max(1, daemons // 10) if is_skewed else daemons)
            arrived += 1
            while times and times[0] <= now - MARGIN.window_seconds:
                times.popleft()
            if way.admit(daemon, now):
                admitted += 1
                times.append(now)
                most_over = max(most_over, len(times) - bound)
            elif len(times) < due:
                refused_below += 1
    allowed = min(arrived, tenant.rate * seconds + tenant.burst)
    return Result(
        most_over,
        refused_below / max(1, arrived),
        admitted / allowed,
        way.messages / daemons / seconds,
    )
