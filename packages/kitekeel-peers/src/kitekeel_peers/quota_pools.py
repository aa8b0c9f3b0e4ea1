"""A keeper's side of the exchange of tokens: it serves daemons, and other regions' keepers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

from kitekeel_peers.quota_keepers import QuotaKeepers
from kitekeel_peers.quota_messages import QuotaGrant, QuotaReply, QuotaRequest, QuotaWant
from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_rate import DemandRate
from kitekeel_steering.errors import PeerError
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.tenant_quota import QuotaPool, QuotaShares

# A pool that holds less than its demand of this time asks the other regions for as much.
_KEPT_SECONDS = 0.5
# A tenant whose pools are empty everywhere is asked about at this interval.
_LEAST_PULL_INTERVAL_SECONDS = 0.2
_LONGEST_PULL_INTERVAL_SECONDS = 1.0

Call = Callable[[str, QuotaRequest], Awaitable[QuotaReply]]


class QuotaPools:
    """The pools of one daemon, one for each group of tenants; used on one event loop.

    Every daemon has them, and those of one that nobody takes for a keeper stay empty.

    Args:
        call: asks another daemon.
    """

    def __init__(
        self,
        groups: int,
        keepers: QuotaKeepers,
        shares_of: Callable[[str], QuotaShares | None],
        daemons: Callable[[], int],
        call: Call,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._pools = [QuotaPool() for _ in range(groups)]
        self._keepers = keepers
        self._shares_of = shares_of
        self._daemons = daemons
        self._call = call
        self._clock = clock
        self._metrics = metrics
        self._demands: dict[str, DemandRate] = {}
        self._pulled_at: dict[str, float] = {}
        self._pull_intervals: dict[str, float] = {}
        self._pulls: set[asyncio.Task[None]] = set()

    def serve(self, request: QuotaRequest) -> QuotaReply:
        """Take the seconds that a daemon lends, and return what there is of the tokens it wants."""
        if not 0 <= request.group < len(self._pools):
            return QuotaReply(())
        now = self._clock.monotonic()
        daemons = max(request.daemons, self._daemons())
        pool = self._pools[request.group]
        if not request.is_keeper:
            pool.lend(request.sender, request.seconds, daemons, now)
        grants: list[QuotaGrant] = []
        short: list[QuotaWant] = []
        for want in request.wants:
            granted = self._serve_one(pool, want, request.is_keeper, now, daemons)
            if granted:
                grants.append(QuotaGrant(want.tenant, granted))
            if not request.is_keeper:
                short += self._what_to_pull(pool, want, now, daemons)
        if short:
            self._pull(request.group, tuple(short))
        return QuotaReply(tuple(grants))

    def _serve_one(
        self, pool: QuotaPool, want: QuotaWant, is_keeper: bool, now: float, daemons: int
    ) -> int:
        shares = self._shares_of(want.tenant) or want.shares
        if want.tokens <= 0:
            pool.add(want.tenant, shares, -want.tokens, now, daemons)
            return 0
        if is_keeper:
            return pool.take_part(want.tenant, shares, want.tokens, now, daemons)
        return pool.take(want.tenant, shares, want.tokens, now, daemons)

    def _what_to_pull(
        self, pool: QuotaPool, want: QuotaWant, now: float, daemons: int
    ) -> list[QuotaWant]:
        """Return what to ask the other regions for, where this one's demand outruns its part."""
        demand = self._demands.setdefault(want.tenant, DemandRate(now))
        demand.note(max(0, want.tokens), now)
        shares = self._shares_of(want.tenant) or want.shares
        kept = demand.per_second(now) * _KEPT_SECONDS
        lacking = kept - pool.level(want.tenant, shares, now, daemons)
        interval = self._pull_intervals.get(want.tenant, _LEAST_PULL_INTERVAL_SECONDS)
        if lacking <= 0 or now - self._pulled_at.get(want.tenant, 0.0) < interval:
            return []
        self._pulled_at[want.tenant] = now
        return [QuotaWant(want.tenant, math.ceil(lacking), shares)]

    def _pull(self, group: int, wants: tuple[QuotaWant, ...]) -> None:
        for address in self._keepers.of_other_regions(group):
            task = asyncio.get_running_loop().create_task(self._pull_from(address, group, wants))
            self._pulls.add(task)
            task.add_done_callback(self._pulls.discard)

    async def _pull_from(self, address: str, group: int, wants: tuple[QuotaWant, ...]) -> None:
        own = self._keepers.own_address()
        request = QuotaRequest(group, own, 0.0, self._daemons(), wants, is_keeper=True)
        try:
            reply = await self._call(address, request)
        except PeerError:
            # The peer client counts it; another keeper of that region is asked next time.
            self._keepers.note_failure(address)
            return
        granted = {each.tenant: each.tokens for each in reply.grants}
        now = self._clock.monotonic()
        for want in wants:
            tokens = granted.get(want.tenant, 0)
            self._adapt_interval(want.tenant, tokens > 0)
            shares = self._shares_of(want.tenant) or want.shares
            if tokens:
                self._metrics.increment("quota.tokens-from-other-regions", tokens)
                self._pools[group].add(want.tenant, shares, tokens, now, self._daemons())

    def _adapt_interval(self, tenant: str, has_gained: bool) -> None:
        if has_gained:
            self._pull_intervals.pop(tenant, None)
            return
        interval = self._pull_intervals.get(tenant, _LEAST_PULL_INTERVAL_SECONDS)
        self._pull_intervals[tenant] = min(2 * interval, _LONGEST_PULL_INTERVAL_SECONDS)
