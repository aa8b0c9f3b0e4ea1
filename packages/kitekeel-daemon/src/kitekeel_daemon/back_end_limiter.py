"""Enforces the rate limits that back ends advertise in their answers across all daemons."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping

import msgspec

from kitekeel_daemon.answer_headers import read_rate_limit
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.limit_exchange import LimitExchange
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.quota_exchange import QuotaExchange
from kitekeel_peers.quota_keepers import QuotaKeepers
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.back_end_limits import BackEndLimits, LimitRecord
from kitekeel_steering.back_end_log_messages import BackEndLimitChanged, BackEndLimitUnreadable
from kitekeel_steering.clock import Clock
from kitekeel_steering.events import HybridClock
from kitekeel_steering.fleet_items import BackEndRecord, ItemKind, may_be_same_process
from kitekeel_steering.fleet_view import FleetView, ViewChange
from kitekeel_steering.load_log_messages import QuotaKeeperFound, QuotaKeeperLost
from kitekeel_steering.placement_policy import Candidate
from kitekeel_steering.proxied_messages import HeaderNames, RawHeaders, find_headers
from kitekeel_steering.shared_limits import DaemonCount
from kitekeel_steering.tenant_quota import QuotaMargin, QuotaShares, TokenClaim, back_end_shares

BACK_END_QUOTA = "BackEndQuota"
_GROUPS = 1
_MAX_LOGGED_BYTES = 200
# Minimum rate applied to lower limits, including 0: only an answer reveals that a limit was lifted.
_MIN_RATE = 0.25
# Retry interval while no keeper is reachable and the daemon uses only its own share of the tokens.
_ALONE_RETRY_SECONDS = 0.1
# Exceeds the few milliseconds that a keeper in the same region takes to answer, but stays short
# because another back end may be able to serve the request.
_CLAIM_TIMEOUT_SECONDS = 0.1
# How long a back end is skipped after a claim for it timed out.
_CLAIM_TIMEOUT_PAUSE_SECONDS = 0.2


class LimitToken(msgspec.Struct, frozen=True):
    """The outcome of a claim to send one request to a back end.

    Attributes:
        is_granted: whether the request may be sent.
        name: identifies the limit that the token was taken from; ``None`` if the back end has none.
    """

    is_granted: bool
    name: str | None = None


_UNLIMITED = LimitToken(True)


class BackEndLimiter:
    """Enforces the rate limits of the back ends in the view; used on one event loop.

    Args:
        region_by_zone: maps zones to regions; a back end's tokens are pooled in its region.
        margin: how far requests may exceed the limits.
        daemons: how many daemons share the limits.
    """

    def __init__(
        self,
        view: FleetView,
        names: HeaderNames,
        region_by_zone: Mapping[str, str],
        margin: QuotaMargin,
        daemons: DaemonCount,
        clock: Clock,
        hybrid_clock: HybridClock,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._names = names
        self._region_by_zone = region_by_zone
        self._margin = margin
        self._daemons = daemons
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._logged_unreadable: set[str] = set()
        self._shares: dict[str, QuotaShares] = {}
        self._quota: QuotaExchange | None = None
        self._exchange: LimitExchange | None = None
        self.limits = BackEndLimits(hybrid_clock, self._is_current, self._on_limit_change)

    def share(
        self,
        client: PeerClient,
        table: MemberTable,
        server: PeerServer,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        """Start sharing limits and tokens with the other daemons; see :class:`QuotaExchange`.

        ``on_failure`` is called with the address of a daemon that did not answer, and the error.
        """
        self._quota = QuotaExchange(
            QuotaKeepers(table.own, table.live, self._clock, BACK_END_QUOTA),
            self._shares.get,
            lambda: bool(self._shares),
            self._daemons.value,
            client,
            self._clock,
            generator,
            self._metrics,
            self._on_keeper,
            BACK_END_QUOTA,
            _GROUPS,
            self._shares.copy,
            self._daemons.seen,
        )
        self._quota.register(server)
        loop = asyncio.get_running_loop()
        self._exchange = LimitExchange(self.limits, client, table, loop, generator, on_failure)
        self._exchange.register(server)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        loops = self._quota.loops() if self._quota is not None else []
        return [*loops, self._exchange.run()] if self._exchange is not None else loops

    def close(self) -> None:
        """Stop calling other daemons."""
        for each in (self._quota, self._exchange):
            if each is not None:
                each.close()

    def limited_back_ends(self) -> int:
        """Return the number of back ends that have a rate limit."""
        return len(self.limits.in_force())

    def is_limited(self, record: BackEndRecord) -> bool:
        """Return whether a back end advertises a rate limit."""
        return self.limits.rate(record.instance) is not None

    def service_rate(self, service: str) -> float:
        """Return the sum of the rate limits applied to a service's back ends, per second."""
        rates = (self.limits.rate(each) for each in self._view.back_ends(service))
        return sum(max(each, _MIN_RATE) for each in rates if each is not None)

    async def claim(self, candidate: Candidate) -> LimitToken:
        """Take a token for one request if the back end has a rate limit."""
        limit_record = self.limits.current_record(candidate.record.instance)
        if limit_record is None or limit_record.rate is None or self._quota is None:
            return _UNLIMITED
        name = limit_record.identity
        try:
            async with asyncio.timeout(_CLAIM_TIMEOUT_SECONDS):
                claim = await self._quota.claim(name, self._shares[name])
        except TimeoutError:
            self._metrics.increment("back-ends.limit-claims-late")
            candidate.load.note_at_limit(self._clock.monotonic() + _CLAIM_TIMEOUT_PAUSE_SECONDS)
            return LimitToken(False, name)
        self._metrics.increment(f"back-ends.limit-{claim.value}")
        if not claim.is_admitted:
            candidate.load.note_at_limit(self._next_claim_at(name, claim))
        return LimitToken(claim.is_admitted, name)

    def give_back(self, token: LimitToken) -> None:
        """Return the unused token of a request that was not sent."""
        shares = self._shares.get(token.name) if token.name is not None else None
        if token.name is not None and shares is not None and self._quota is not None:
            self._quota.give_back(token.name, shares)

    def note_sent(self, record: BackEndRecord, is_first: bool) -> None:
        """Count a request sent to a back end with a known rate limit.

        Args:
            record: the back end that the request is sent to.
            is_first: whether this is the first time the request is sent.
        """
        if self.is_limited(record):
            self._metrics.increment(f"back-ends.limited-{'first' if is_first else 'repeat'}-sends")

    def note_answer(self, record: BackEndRecord, headers: RawHeaders) -> None:
        """Update the back end's limit from the headers of its answer."""
        values = find_headers(headers, self._names.rate_limit)
        stated = read_rate_limit(values)
        if stated.unreadable and record.instance not in self._logged_unreadable:
            self._logged_unreadable.add(record.instance)
            text = b",".join(values)[:_MAX_LOGGED_BYTES].decode("latin-1")
            self._log.state(BackEndLimitUnreadable(record.instance, text))
        if stated.is_known:
            self.limits.note_answer(record.instance, record.started_at_ms, stated.rate)

    def on_change(self, change: ViewChange) -> None:
        """Discard the limit of a back end that was removed or restarted."""
        item = change.item
        if item.kind is ItemKind.BACK_END and (item.removed or change.is_restart):
            limit_record = self.limits.current_record(item.name)
            if limit_record is not None:
                self._drop_shares(limit_record.identity)
            self.limits.forget(item.name)
            self._logged_unreadable.discard(item.name)

    def _next_claim_at(self, name: str, claim: TokenClaim) -> float:
        if claim is TokenClaim.NONE_EARNED_ALONE or self._quota is None:
            return self._clock.monotonic() + _ALONE_RETRY_SECONDS
        return self._quota.paused_until(name)

    def _is_current(self, instance: str, started_at_ms: int) -> bool:
        current = self._view.find_back_end(instance)
        return current is not None and may_be_same_process(current.started_at_ms, started_at_ms)

    def _on_limit_change(
        self, record: LimitRecord, previous: LimitRecord | None, source: str
    ) -> None:
        self._metrics.increment("back-ends.limit-changes")
        if previous is not None and previous.identity != record.identity:
            # The identity changes when the start time of the process becomes known.
            self._drop_shares(previous.identity)
        if record.rate is None:
            self._drop_shares(record.identity)
        else:
            rate = max(record.rate, _MIN_RATE)
            home = self._home_region(record.instance)
            self._shares[record.identity] = back_end_shares(rate, self._margin, home)
        self._log.state(
            BackEndLimitChanged(record.instance, record.started_at_ms, record.rate, source)
        )
        if self._exchange is not None:
            self._exchange.publish(record)

    def _home_region(self, instance: str) -> str:
        found = self._view.find_back_end(instance)
        return self._region_by_zone.get(found.zone, "") if found is not None else ""

    def _drop_shares(self, name: str) -> None:
        if self._shares.pop(name, None) is not None and self._quota is not None:
            self._quota.forget(name)

    def _on_keeper(self, group: int, is_found: bool, reason: str) -> None:
        if is_found:
            self._log.state(QuotaKeeperFound(group, BACK_END_QUOTA))
        else:
            self._metrics.increment("back-ends.limit-keepers-lost")
            self._log.state(QuotaKeeperLost(group, reason, BACK_END_QUOTA))
