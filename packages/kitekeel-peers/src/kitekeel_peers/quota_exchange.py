"""Distributes rate limit tokens from the keepers of each region to the daemons.

Each request takes a token from its daemon's local stock. If the stock is empty, the daemon asks the
keeper of its region on behalf of all waiting requests at once. A keeper that runs short asks the
keepers of other regions. :mod:`kitekeel_steering.tenant_quota` explains why the limits hold
whichever daemons are keepers.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import xxhash

from kitekeel_peers.quota_keepers import GROUPS, QuotaKeepers, group_of
from kitekeel_peers.quota_messages import QuotaReply, QuotaRequest, QuotaWant
from kitekeel_peers.quota_pools import QuotaPools
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import PeerError, PeerUnreachableError
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.tenant_quota import (
    LENDING_SECONDS,
    QuotaShares,
    QuotaStock,
    StandaloneTokens,
    TokenClaim,
    UnlentTime,
)

QUOTA = "Quota"
# Requests wait for the answer, so an unresponsive keeper must not use up their deadline.
_TIMEOUT_SECONDS = 0.3
_MAX_KEEPERS_TRIED = 2
_CALL_THREADS = 8
# After the keeper had no token for a tenant, the daemon refuses the tenant's requests for a random
# time in this range before it asks again.
_MIN_PAUSE_SECONDS = 0.08
_MAX_PAUSE_SECONDS = 0.2
# The stock of a tenant is refilled if it had requests within this time.
_ACTIVE_TENANT_SECONDS = 2.0
_DIGEST_RANGE = float(1 << 64)


class _WaitingRequests:
    """Requests of one daemon that are waiting for tokens of one tenant."""

    def __init__(self, shares: QuotaShares) -> None:
        self.shares = shares
        self.futures: list[asyncio.Future[bool]] = []

    def resolve(self, tokens: int) -> int:
        """Resolve all waiting requests, giving the tokens to those that have waited longest.

        Returns:
            The number of tokens left over, or minus the number of requests that got none.
        """
        for future in self.futures:
            if future.done():
                continue
            future.set_result(tokens > 0)
            tokens -= 1
        self.futures.clear()
        return tokens


class _GroupState:
    """State of one daemon's exchange with the keeper of one group of tenants."""

    def __init__(self, now: float) -> None:
        self.unlent = UnlentTime(now)
        self.waiting: dict[str, _WaitingRequests] = {}
        self.returned: dict[str, QuotaWant] = {}
        self.task: asyncio.Task[None] | None = None
        self.is_alone = False
        self.earnings: dict[str, StandaloneTokens] = {}


class QuotaExchange:
    """One daemon's side of the token exchange; must be used on a single event loop.

    Args:
        keepers: selects the keeper of each group.
        shares_of: returns a tenant's shares under the current configuration, or ``None`` if the
            tenant is unknown or has no limit.
        has_limits: returns whether any tenant may have a limit; if none has, nothing is exchanged.
        daemons: returns how many daemons share the limits.
        metrics: counts the sources of tokens.
        on_keeper: called with the group, whether its keeper was found or lost, and the reason.
        method: RPC method name; each kind of limit has its own.
        groups: number of groups that limits are divided into, each with its own keepers.
        limits_with_home: returns the shares of the limits that have a home region, by limit name.
        seen_daemons: returns how many daemons were observed; ``daemons`` may return more shortly
            after a start. Defaults to ``daemons``.
    """

    def __init__(
        self,
        keepers: QuotaKeepers,
        shares_of: Callable[[str], QuotaShares | None],
        has_limits: Callable[[], bool],
        daemons: Callable[[], int],
        client: PeerClient,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        on_keeper: Callable[[int, bool, str], None],
        method: str = QUOTA,
        groups: int = GROUPS,
        limits_with_home: Callable[[], Mapping[str, QuotaShares]] = dict,
        seen_daemons: Callable[[], int] | None = None,
    ) -> None:
        self._seen_daemons = seen_daemons or daemons
        self._method = method
        self._keepers = keepers
        self._shares_of = shares_of
        self._has_limits = has_limits
        self._daemons = daemons
        self._client = client
        self._clock = clock
        self._random = generator
        self._on_keeper = on_keeper
        self._threads = ThreadPoolExecutor(_CALL_THREADS, thread_name_prefix=method.lower())
        self._groups = [_GroupState(clock.monotonic()) for _ in range(groups)]
        self._stocks: dict[str, QuotaStock] = {}
        self._asked_at: dict[str, float] = {}
        self._refused_until: dict[str, float] = {}
        self._pools = QuotaPools(
            groups,
            keepers,
            shares_of,
            self._seen_daemons,
            self._call,
            self._threads,
            clock,
            generator,
            metrics,
            limits_with_home,
            self._rounding,
        )

    def _group_of(self, tenant: str) -> int:
        return group_of(tenant, len(self._groups))

    def paused_until(self, tenant: str) -> float:
        """Return the monotonic time until which claims are refused without asking the keeper."""
        return self._refused_until.get(tenant, 0.0)

    def forget(self, tenant: str) -> None:
        """Discard the state of a limit that no longer applies."""
        for kept in (self._stocks, self._asked_at, self._refused_until):
            kept.pop(tenant, None)
        for group in self._groups:
            group.earnings.pop(tenant, None)
        self._pools.forget(tenant)

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        server.register(self._method, QuotaRequest, self._pools.serve)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        return [self._lend_regularly(group) for group in range(len(self._groups))]

    def close(self) -> None:
        """Make no further calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def claim(self, tenant: str, shares: QuotaShares) -> TokenClaim:
        """Try to take a token for one request."""
        now = self._clock.monotonic()
        self._asked_at[tenant] = now
        if self._stock(tenant).take(shares, self._daemons()):
            return TokenClaim.FROM_STOCK
        group = self._groups[self._group_of(tenant)]
        if group.is_alone:
            is_taken = self._take_own_token(group, tenant, shares, now)
            return TokenClaim.EARNED_ALONE if is_taken else TokenClaim.NONE_EARNED_ALONE
        if now < self._refused_until.get(tenant, 0.0):
            return TokenClaim.NONE_A_MOMENT_AGO
        waiting = group.waiting.setdefault(tenant, _WaitingRequests(shares))
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        waiting.futures.append(future)
        self._start_exchange(self._group_of(tenant))
        try:
            is_taken = await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and future.result():
                self.give_back(tenant, shares)
            raise
        return TokenClaim.FROM_KEEPER if is_taken else TokenClaim.KEEPER_HAD_NONE

    def give_back(self, tenant: str, shares: QuotaShares) -> None:
        """Return the token of a request that no back end executed."""
        left_over = self._stock(tenant).add(shares, self._daemons(), 1)
        if left_over:
            self._return(tenant, shares, left_over)

    def is_alone(self) -> bool:
        """Return whether any group has no responsive keeper and uses only locally earned tokens."""
        return any(each.is_alone for each in self._groups)

    def _return(self, tenant: str, shares: QuotaShares, tokens: int) -> None:
        returned = self._groups[self._group_of(tenant)].returned
        before = returned.get(tenant)
        total = tokens - (before.tokens if before is not None else 0)
        returned[tenant] = QuotaWant(tenant, -total, shares)

    def _stock(self, tenant: str) -> QuotaStock:
        stock = self._stocks.get(tenant)
        if stock is None:
            stock = self._stocks[tenant] = QuotaStock(self._rounding(tenant))
        return stock

    def _rounding(self, tenant: str) -> float:
        name = f"{tenant}/{self._keepers.own_address()}"
        return int(xxhash.xxh64_intdigest(name.encode())) / _DIGEST_RANGE

    def _take_own_token(
        self, group: _GroupState, tenant: str, shares: QuotaShares, now: float
    ) -> bool:
        earnings = group.earnings.get(tenant)
        if earnings is None:
            rounding = self._rounding(tenant)
            earnings = group.earnings[tenant] = StandaloneTokens(
                rounding, now - group.unlent.age(now)
            )
        return earnings.take(shares, self._daemons(), now)

    async def _lend_regularly(self, number: int) -> None:
        """Exchange with the keeper at regular intervals, even if no request is waiting.

        Daemons also lend time before they serve requests: after a restart of all daemons, tokens
        come only from this lent time.
        """
        while True:
            await asyncio.sleep(LENDING_SECONDS * self._random.uniform(0.7, 0.9))
            if self._has_limits():
                self._start_exchange(number)

    def _start_exchange(self, number: int) -> None:
        group = self._groups[number]
        if group.task is None or group.task.done():
            group.task = asyncio.get_running_loop().create_task(self._exchange(number))

    async def _exchange(self, number: int) -> None:
        """Exchange with the keeper until no request is waiting for tokens."""
        while True:
            await self._exchange_once(number)
            if not self._groups[number].waiting:
                return

    async def _exchange_once(self, number: int) -> None:
        group = self._groups[number]
        waiting, group.waiting = group.waiting, {}
        returned, group.returned = group.returned, {}
        wants = self._wants(number, waiting) + tuple(returned.values())
        try:
            reply = await self._ask_keepers(number, group, wants)
            if reply is None:
                self._resolve_from_own_tokens(group, waiting)
            else:
                self._distribute(reply, waiting)
        finally:
            # Resolve the remaining requests even if the exchange failed.
            for requests in waiting.values():
                requests.resolve(0)

    def _distribute(self, reply: QuotaReply, waiting: dict[str, _WaitingRequests]) -> None:
        granted = {each.tenant: each.tokens for each in reply.grants}
        for tenant, requests in waiting.items():
            left = requests.resolve(granted.pop(tenant, 0))
            if left < 0:
                self._pause_requests(tenant)
            else:
                granted[tenant] = left
        for tenant, tokens in granted.items():
            self._add_to_stock(tenant, tokens)

    def _wants(self, number: int, waiting: dict[str, _WaitingRequests]) -> tuple[QuotaWant, ...]:
        """Return the tokens needed by waiting requests and to refill stocks of active tenants."""
        now = self._clock.monotonic()
        wanted: Counter[str] = Counter({name: len(each.futures) for name, each in waiting.items()})
        shares = {name: each.shares for name, each in waiting.items()}
        for tenant, asked_at in list(self._asked_at.items()):
            if now - asked_at > _ACTIVE_TENANT_SECONDS:
                del self._asked_at[tenant]
                continue
            if self._group_of(tenant) != number:
                continue
            found = shares.get(tenant) or self._shares_of(tenant)
            if found is None:
                continue
            shares[tenant] = found
            stock = self._stock(tenant)
            wanted[tenant] += max(0, stock.max_tokens(found, self._daemons()) - stock.tokens)
        return tuple(
            QuotaWant(name, count, shares[name]) for name, count in wanted.items() if count > 0
        )

    def _add_to_stock(self, tenant: str, tokens: int) -> None:
        shares = self._shares_of(tenant)
        if shares is None or not tokens:
            return
        left_over = self._stock(tenant).add(shares, self._daemons(), tokens)
        if left_over:
            self._return(tenant, shares, left_over)

    def _pause_requests(self, tenant: str) -> None:
        pause = self._random.uniform(_MIN_PAUSE_SECONDS, _MAX_PAUSE_SECONDS)
        self._refused_until[tenant] = self._clock.monotonic() + pause

    async def _ask_keepers(
        self, number: int, group: _GroupState, wants: tuple[QuotaWant, ...]
    ) -> QuotaReply | None:
        """Return the reply of the keeper, or of another one if it does not answer.

        Lent seconds count as spent once a call was sent. A call without an answer may have been
        processed, and counting its seconds twice would admit requests beyond the limit.
        """
        now = self._clock.monotonic()
        seconds = 0.0 if group.is_alone else group.unlent.take(now)
        # Shortly after a start, the assumed count exceeds the observed one. It reduces only this
        # daemon's loan: a keeper would apply it to all its lenders.
        seen_share = self._seen_daemons() / max(1, self._daemons())
        reason = ""
        for _ in range(_MAX_KEEPERS_TRIED):
            address = self._keepers.of_own_region(number)
            request = QuotaRequest(
                number,
                self._keepers.own_address(),
                seconds * min(1.0, seen_share),
                self._seen_daemons(),
                wants,
            )
            try:
                reply = await self._ask(address, request)
            except PeerUnreachableError as error:
                self._keepers.note_failure(address)
                reason = error.message
                continue
            except PeerError as error:
                self._keepers.note_failure(address)
                reason, seconds = error.message, 0.0
                continue
            self._note_keeper(number, group, True, "")
            return reply
        group.unlent.give_back(seconds)
        self._note_keeper(number, group, False, reason)
        return None

    def _note_keeper(self, number: int, group: _GroupState, is_found: bool, reason: str) -> None:
        if group.is_alone is not is_found:
            return
        group.is_alone = not is_found
        group.earnings.clear()
        if is_found:
            # Discard the time already used for own tokens, so that it is not lent as well.
            group.unlent.take(self._clock.monotonic())
        self._on_keeper(number, is_found, reason)

    def _resolve_from_own_tokens(
        self, group: _GroupState, waiting: dict[str, _WaitingRequests]
    ) -> None:
        now = self._clock.monotonic()
        for tenant, requests in waiting.items():
            tokens = sum(
                self._take_own_token(group, tenant, requests.shares, now) for _ in requests.futures
            )
            requests.resolve(tokens)

    async def _ask(self, address: str, request: QuotaRequest) -> QuotaReply:
        loop = asyncio.get_running_loop()
        is_own = address == request.sender
        serve = self._pools.serve if is_own else partial(self._call, address)
        try:
            return await loop.run_in_executor(self._threads, serve, request)
        except RuntimeError as error:
            raise PeerError(f"{self._method} at {address}: this daemon is stopping") from error

    def _call(
        self, address: str, request: QuotaRequest, timeout_seconds: float = _TIMEOUT_SECONDS
    ) -> QuotaReply:
        return self._client.call(address, self._method, request, QuotaReply, timeout_seconds)
