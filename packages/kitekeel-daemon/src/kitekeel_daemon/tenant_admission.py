"""Enforces the rate limits of tenants across all daemons."""

from __future__ import annotations

import random
from collections.abc import Coroutine

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.tenant_usage import TenantUsage
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.quota_exchange import QuotaExchange
from kitekeel_peers.quota_keepers import QuotaKeepers
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.load_log_messages import QuotaKeeperFound, QuotaKeeperLost
from kitekeel_steering.routing import RouteTable
from kitekeel_steering.shared_limits import DaemonCount
from kitekeel_steering.tenant_quota import QuotaMargin, QuotaShares, TokenClaim, quota_shares
from kitekeel_steering.tenant_reports import TenantsReply
from kitekeel_steering.tenants import Tenant

_MIN_RETRY_AFTER_SECONDS = 0.03
_MAX_RETRY_AFTER_SECONDS = 2.0


class TenantAdmission:
    """Claims a token of the tenant's rate limit for each request; used on one event loop.

    Args:
        daemon: name of this daemon.
        view: provides the configuration in force.
        margin: how far limits may be exceeded.
        daemons: how many daemons share the limits.
    """

    def __init__(
        self,
        daemon: str,
        view: FleetView,
        margin: QuotaMargin,
        daemons: DaemonCount,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._daemon = daemon
        self._view = view
        self._margin = margin
        self._daemons = daemons
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._routes: RouteTable | None = None
        self._shares: dict[str, QuotaShares] = {}
        self._exchange: QuotaExchange | None = None
        self._table: MemberTable | None = None
        self._usage = TenantUsage(clock)

    def share(
        self, client: PeerClient, table: MemberTable, server: PeerServer, generator: random.Random
    ) -> None:
        """Start enforcing limits together with other daemons; see :class:`QuotaExchange`."""
        self._table = table
        self._exchange = QuotaExchange(
            QuotaKeepers(table.own, table.live, self._clock),
            self._shares_of,
            self._may_have_limits,
            self._daemons.value,
            client,
            self._clock,
            generator,
            self._metrics,
            self._on_keeper,
            seen_daemons=self._daemons.seen,
        )
        self._exchange.register(server)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        return self._exchange.loops() if self._exchange is not None else []

    def close(self) -> None:
        """Stop calling other daemons."""
        if self._exchange is not None:
            self._exchange.close()

    async def claim(self, tenant: Tenant | None) -> TokenClaim | None:
        """Claim a token for one request; return ``None`` if no limit applies."""
        if tenant is None:
            return None
        shares = self._shares_of(tenant.name)
        if shares is None or self._exchange is None:
            self._usage.note(tenant.name, True)
            return None
        claim = await self._exchange.claim(tenant.name, shares)
        self._metrics.increment(f"quota.{claim.value}")
        self._usage.note(tenant.name, claim.is_admitted)
        return claim

    def give_back(self, tenant: Tenant | None) -> None:
        """Return the token of a request that no back end ran."""
        shares = self._shares_of(tenant.name) if tenant is not None else None
        if tenant is not None and shares is not None and self._exchange is not None:
            self._exchange.give_back(tenant.name, shares)

    def is_alone(self) -> bool:
        """Return whether this daemon enforces only its equal share, as no keeper answers."""
        return self._exchange is not None and self._exchange.is_alone()

    def report(self) -> TenantsReply:
        """Return a report for operators on the tenants' use of their limits."""
        routes = self._view.routes
        return TenantsReply(
            self._daemon,
            self._view.configuration_version(),
            self.is_alone(),
            self._other_daemons(),
            self._usage.reports(routes) if routes is not None else (),
        )

    def _other_daemons(self) -> tuple[str, ...]:
        """Return the operators' addresses of the other daemons."""
        if self._table is None:
            return ()
        own = self._table.own().instance
        return tuple(
            each.operator_address
            for each in self._table.live()
            if each.instance != own and each.operator_address
        )

    def _may_have_limits(self) -> bool:
        """Return whether any tenant has a limit; true while no configuration is known."""
        return self._view.routes is None or bool(self._current_shares())

    def _shares_of(self, tenant: str) -> QuotaShares | None:
        return self._current_shares().get(tenant)

    def _current_shares(self) -> dict[str, QuotaShares]:
        """Return the quota shares of all tenants that have limits in the configuration in force."""
        routes = self._view.routes
        if routes is not self._routes and routes is not None:
            self._routes = routes
            found = {each.name: quota_shares(each, self._margin) for each in routes.tenants.all()}
            self._shares = {name: each for name, each in found.items() if each is not None}
        return self._shares

    def _on_keeper(self, group: int, is_found: bool, reason: str) -> None:
        if is_found:
            self._log.state(QuotaKeeperFound(group))
        else:
            self._metrics.increment("quota.keepers-lost")
            self._log.state(QuotaKeeperLost(group, reason))


def quota_retry_after_seconds(rate: float) -> float:
    """Return after how many seconds a caller that exceeded a rate limit should retry.

    Args:
        rate: the limit in requests per second.

    No tokens are reserved for refused callers. Waiting longer than until the next tokens arrive
    therefore does not improve their chance, and only delays the answer.
    """
    refill = 1.0 / max(rate, 1.0 / _MAX_RETRY_AFTER_SECONDS)
    least = max(_MIN_RETRY_AFTER_SECONDS, refill)
    return random.uniform(least, 2 * least)
