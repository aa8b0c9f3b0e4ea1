"""The keeper's side of the token exchange; serves daemons and the keepers of other regions.

Calls are served on the threads of the peer server. On the event loop, a task that blocks it for a
few tenths of a second, such as applying a configuration, would delay the requests of the whole
region.
"""

from __future__ import annotations

import math
import random
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor, Future, wait
from functools import partial

from kitekeel_peers.quota_keepers import QuotaKeepers
from kitekeel_peers.quota_messages import QuotaGrant, QuotaReply, QuotaRequest, QuotaWant
from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_rate import DemandRate
from kitekeel_steering.errors import PeerError
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.tenant_quota import QuotaPool, QuotaShares, zero_rounding

# A pool that holds fewer tokens than its demand during this time requests more from other regions.
_RESERVE_SECONDS = 0.5
# Maximum number of other regions that are asked at a time.
_MAX_REGIONS_ASKED = 2
# Range of the interval between requests for a tenant's tokens. The interval doubles each time the
# other keepers had none.
_MIN_PULL_INTERVAL_SECONDS = 0.2
_MAX_PULL_INTERVAL_SECONDS = 1.0
# Opening a connection to a distant region takes several round trips of up to 0.12 s.
_PULL_TIMEOUT_SECONDS = 1.0
# Interval at which tokens are forwarded to their home region.
_FORWARD_INTERVAL_SECONDS = 0.2
# Pause after a failed forward; until then the tokens stay available to the own region's callers.
_FORWARD_PAUSE_SECONDS = 2.0
# If there is no token left, requests wait this long for an answer from another region.
_MAX_WAIT_SECONDS = 0.18

Call = Callable[[str, QuotaRequest, float], QuotaReply]


class QuotaPools:
    """The pools of one daemon, one for each group of tenants; safe to use from many threads.

    Every daemon has pools; they stay empty while no daemon considers it a keeper.

    Args:
        groups: number of groups of tenants.
        keepers: selects the keepers of the other regions.
        shares_of: returns a tenant's shares under the current configuration, or ``None`` if the
            tenant is unknown or has no limit.
        daemons: returns how many daemons share the limits.
        call: sends a request to another daemon, with a timeout in seconds.
        executor: runs calls to other keepers.
        generator: selects the regions to ask.
        limits_with_home: returns the shares of the limits that have a home region, by limit name.
        rounding_of: returns the rounding of a tenant's pool, as for a daemon's stock.
    """

    def __init__(
        self,
        groups: int,
        keepers: QuotaKeepers,
        shares_of: Callable[[str], QuotaShares | None],
        daemons: Callable[[], int],
        call: Call,
        executor: Executor,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        limits_with_home: Callable[[], Mapping[str, QuotaShares]],
        rounding_of: Callable[[str], float] = zero_rounding,
    ) -> None:
        self._limits_with_home = limits_with_home
        self._forward_after: dict[str, float] = {}
        self._pools = [QuotaPool(rounding_of) for _ in range(groups)]
        self._keepers = keepers
        self._shares_of = shares_of
        self._daemons = daemons
        self._call = call
        self._executor = executor
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self._lock = threading.Lock()
        self._demands: dict[str, DemandRate] = {}
        self._pulled_at: dict[str, float] = {}
        self._pull_intervals: dict[str, float] = {}

    def serve(self, request: QuotaRequest) -> QuotaReply:
        """Accept the time that a daemon lends, and grant the available part of the tokens it wants.

        If a tenant has no tokens here, other regions are asked before this returns. Tokens with a
        home region are not waited for, because another back end can serve the request.
        """
        if not 0 <= request.group < len(self._pools):
            return QuotaReply(())
        granted = self._grant(request, request.wants)
        if request.is_keeper:
            return _reply(granted)
        self._forward(request.group)
        lacking = self._shortfalls(request)
        if not lacking:
            return _reply(granted)
        pulls = self._pull(request.group, lacking)
        unserved = [
            each
            for each in request.wants
            if each.tokens > 0 and each.tenant not in granted and not each.shares.home
        ]
        if any(each.tenant == want.tenant for each in unserved for want in lacking):
            wait(pulls, _MAX_WAIT_SECONDS)
            granted |= self._grant(request, unserved, lends=False)
        return _reply(granted)

    def _grant(
        self, request: QuotaRequest, wants: Iterable[QuotaWant], lends: bool = True
    ) -> dict[str, int]:
        """Apply a request to its pool and return the granted tokens by tenant."""
        now = self._clock.monotonic()
        daemons = max(request.daemons, self._daemons())
        pool = self._pools[request.group]
        granted: dict[str, int] = {}
        with self._lock:
            if lends and not request.is_keeper:
                pool.lend(request.sender, request.seconds, daemons, now)
            if request.lenders:
                pool.note_forwarder(request.sender, request.lenders, now)
            for want in wants:
                tokens = self._grant_one(pool, want, request.is_keeper, now, daemons)
                if tokens:
                    granted[want.tenant] = tokens
        return granted

    def _grant_one(
        self, pool: QuotaPool, want: QuotaWant, is_keeper: bool, now: float, daemons: int
    ) -> int:
        shares = self._shares_of(want.tenant) or want.shares
        if want.tokens <= 0:
            pool.add(want.tenant, shares, -want.tokens, now, daemons)
            return 0
        if is_keeper and not shares.home:
            return pool.take_for_transfer(want.tenant, shares, want.tokens, now, daemons)
        return pool.take(want.tenant, shares, want.tokens, now, daemons)

    def _shortfalls(self, request: QuotaRequest) -> tuple[QuotaWant, ...]:
        """Return the tokens to request from other regions, where demand exceeds the supply here."""
        now = self._clock.monotonic()
        daemons = max(request.daemons, self._daemons())
        pool = self._pools[request.group]
        with self._lock:
            found = [self._shortfall(pool, each, now, daemons) for each in request.wants]
        return tuple(each for each in found if each is not None)

    def _shortfall(
        self, pool: QuotaPool, want: QuotaWant, now: float, daemons: int
    ) -> QuotaWant | None:
        if want.tokens <= 0:
            return None
        shares = self._shares_of(want.tenant) or want.shares
        if shares.home == self._keepers.own_region():
            return None
        demand = self._demands.setdefault(want.tenant, DemandRate(now))
        demand.note(want.tokens, now)
        kept = float(want.tokens)
        if not shares.home:
            kept = max(kept, demand.per_second(now) * _RESERVE_SECONDS)
        lacking = kept - pool.level(want.tenant, shares, now, daemons)
        interval = self._pull_intervals.get(want.tenant, 0.0)
        if lacking <= 0 or now - self._pulled_at.get(want.tenant, -math.inf) < interval:
            return None
        self._pulled_at[want.tenant] = now
        return QuotaWant(want.tenant, math.ceil(lacking), shares)

    def _pull(self, group: int, wants: tuple[QuotaWant, ...]) -> list[Future[None]]:
        """Start requesting the missing tokens from other keepers.

        Tokens with a home region are requested from its keeper. Others are requested from some
        other regions and from the own region's keeper if that is another daemon.
        """
        homes: dict[str, list[QuotaWant]] = defaultdict(list)
        for each in wants:
            homes[each.shares.home].append(each)
        pulls = [
            self._start_call(partial(self._pull_from, address, group, tuple(lacking)))
            for home, lacking in homes.items()
            for address in self._addresses_to_ask(group, home)
        ]
        return [each for each in pulls if each is not None]

    def _start_call(self, call: Callable[[], None]) -> Future[None] | None:
        """Start a call to another keeper; return ``None`` if the executor is shut down."""
        try:
            return self._executor.submit(call)
        except RuntimeError:
            # The peer server still serves requests after the executor is shut down.
            self._metrics.increment("quota.calls-after-stop")
            return None

    def _addresses_to_ask(self, group: int, home: str) -> list[str]:
        if home:
            keeper = self._keepers.of_region(group, home)
            return [keeper] if keeper is not None else []
        addresses = self._keepers.of_other_regions(group)
        asked = self._random.sample(addresses, min(_MAX_REGIONS_ASKED, len(addresses)))
        nearest = self._keepers.of_own_region(group)
        if nearest != self._keepers.own_address():
            asked.append(nearest)
        return asked

    def _forward(self, group: int) -> None:
        """Start forwarding tokens to the keepers of their home regions, if due."""
        now = self._clock.monotonic()
        own_region = self._keepers.own_region()
        with self._lock:
            by_home: dict[str, dict[str, QuotaShares]] = defaultdict(dict)
            for name, shares in self._limits_with_home().items():
                if shares.home not in ("", own_region):
                    by_home[shares.home][name] = shares
            for home, limits in by_home.items():
                keeper = self._keepers.of_region(group, home)
                if keeper is None or now < self._forward_after.get(home, 0.0):
                    continue
                self._forward_after[home] = now + _FORWARD_INTERVAL_SECONDS
                request = self._forward_request(group, limits, now)
                self._start_call(partial(self._forward_to, keeper, home, request))

    def _forward_request(
        self, group: int, limits: Mapping[str, QuotaShares], now: float
    ) -> QuotaRequest:
        pool = self._pools[group]
        daemons = self._daemons()
        wants = tuple(
            QuotaWant(name, -pool.drain(name, shares, now, daemons), shares)
            for name, shares in limits.items()
        )
        own = self._keepers.own_address()
        return QuotaRequest(group, own, 0.0, daemons, wants, True, pool.lender_count(now))

    def _forward_to(self, address: str, home: str, request: QuotaRequest) -> None:
        try:
            self._call(address, request, _PULL_TIMEOUT_SECONDS)
        except PeerError:
            # The tokens may have arrived, so restoring them could exceed the limit. The peer client
            # counts the failure.
            self._keepers.note_failure(address)
            self._forward_after[home] = self._clock.monotonic() + _FORWARD_PAUSE_SECONDS

    def forget(self, tenant: str) -> None:
        """Discard the state of a limit that no longer applies."""
        with self._lock:
            for pool in self._pools:
                pool.forget(tenant)
            for kept in (self._demands, self._pulled_at, self._pull_intervals):
                kept.pop(tenant, None)

    def _pull_from(self, address: str, group: int, wants: tuple[QuotaWant, ...]) -> None:
        own = self._keepers.own_address()
        request = QuotaRequest(group, own, 0.0, self._daemons(), wants, is_keeper=True)
        try:
            reply = self._call(address, request, _PULL_TIMEOUT_SECONDS)
        except PeerError:
            # The peer client counts the failure. Another keeper of that region is asked next time.
            self._keepers.note_failure(address)
            return
        given = {each.tenant: each.tokens for each in reply.grants}
        now = self._clock.monotonic()
        with self._lock:
            for want in wants:
                self._store_pulled(group, want, given.get(want.tenant, 0), now)

    def _store_pulled(self, group: int, want: QuotaWant, tokens: int, now: float) -> None:
        self._adapt_interval(want.tenant, tokens > 0)
        if not tokens:
            return
        self._metrics.increment("quota.tokens-from-other-regions", tokens)
        shares = self._shares_of(want.tenant) or want.shares
        self._pools[group].add_transferred(want.tenant, shares, tokens, now, self._daemons())

    def _adapt_interval(self, tenant: str, has_gained: bool) -> None:
        if has_gained:
            self._pull_intervals.pop(tenant, None)
            return
        interval = self._pull_intervals.get(tenant, _MIN_PULL_INTERVAL_SECONDS / 2)
        self._pull_intervals[tenant] = min(2 * interval, _MAX_PULL_INTERVAL_SECONDS)


def _reply(granted: dict[str, int]) -> QuotaReply:
    return QuotaReply(tuple(QuotaGrant(tenant, tokens) for tenant, tokens in granted.items()))
