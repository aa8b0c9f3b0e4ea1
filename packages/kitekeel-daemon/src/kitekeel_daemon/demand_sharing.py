"""Connects the exchange of demand sums to a daemon's members, metrics and log."""

from __future__ import annotations

import random

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.demand_exchange import DEMAND, DemandExchange
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.quota_keepers import QuotaKeepers
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.load_log_messages import DemandKeeperFound, DemandKeeperLost


def share_demand(
    client: PeerClient,
    table: MemberTable,
    server: PeerServer,
    clock: Clock,
    generator: random.Random,
    metrics: GatewayMetrics,
    log: DecisionLog,
) -> DemandExchange:
    """Return an exchange that is registered with the server; its loops must still be run."""

    def note_keeper(group: int, is_found: bool, reason: str) -> None:
        if is_found:
            log.state(DemandKeeperFound(group))
        else:
            metrics.increment("demand.keepers-lost")
            log.state(DemandKeeperLost(group, reason))

    exchange = DemandExchange(
        QuotaKeepers(table.own, table.live, clock, DEMAND.lower()),
        table.live,
        client,
        clock,
        generator,
        metrics,
        note_keeper,
    )
    exchange.register(server)
    return exchange
