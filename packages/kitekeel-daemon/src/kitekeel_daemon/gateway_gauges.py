"""Defines the gauges of a gateway, which are read at each collection of its metrics."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_callers.memory_budget import MemoryBudget
from kitekeel_daemon.back_end_limiter import BackEndLimiter
from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.backoff_tracker import BackoffTracker
from kitekeel_daemon.crash_guard import CrashGuard
from kitekeel_daemon.fleet_follower import FleetFollower
from kitekeel_daemon.fleet_news import FleetNews
from kitekeel_daemon.fleet_size import FleetSize
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.lateness_control import LatenessControl
from kitekeel_daemon.leaving_tracker import LeavingTracker
from kitekeel_daemon.machine_load import MachineLoad
from kitekeel_daemon.request_router import RequestRouter
from kitekeel_daemon.shortage_control import ShortageControl
from kitekeel_daemon.tenant_admission import TenantAdmission
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.fleet_items import FleetPart
from kitekeel_steering.fleet_view import FleetView


class GaugeSources(msgspec.Struct, frozen=True):
    """The components of a gateway that the gauges read."""

    router: RequestRouter
    view: FleetView
    follower: FleetFollower
    news: FleetNews
    size: FleetSize
    pool: ConnectionPool
    states: BackEndStates
    guard: CrashGuard
    tenants: TenantAdmission
    limiter: BackEndLimiter
    leaving: LeavingTracker
    backoffs: BackoffTracker
    links: LinkHealth
    memory: MemoryBudget
    load: MachineLoad
    lateness: LatenessControl
    shortage: ShortageControl
    open_tunnels: Callable[[], int]
    demand_sum_age_seconds: Callable[[], float]


def add_gauges(metrics: GatewayMetrics, sources: GaugeSources) -> None:
    """Register the gauges of a gateway with its metrics."""
    for name, description, read in _gauges(sources):
        metrics.add_gauge(f"kitekeel_{name}", description, read)


def _gauges(sources: GaugeSources) -> list[tuple[str, str, Callable[[], float]]]:
    view, router, follower = sources.view, sources.router, sources.follower
    return [
        ("requests_in_flight", "Requests without an answer", lambda: router.in_flight),
        ("view_age_seconds", "Time since the store was heard from", view.age_seconds),
        ("store_era", "Restores of the store", lambda: view.era(FleetPart.CONFIGURATION)),
        ("configuration_version", "Version in force", view.configuration_version),
        ("back_ends", "Back ends known", lambda: len(view.all_back_ends())),
        ("limited_back_ends", "Back ends with a rate limit", sources.limiter.limited_back_ends),
        ("leaving_back_ends", "Registered, but announced their end", sources.leaving.count),
        ("backing_off_back_ends", "Not sent requests for a while", sources.backoffs.count),
        ("slow_back_ends", "Slower than twice their usual speed", sources.states.slow_back_ends),
        ("watches_store", "1 while it asks the store itself", lambda: follower.is_watching),
        ("subscribers", "Daemons that it tells of changes", sources.news.feed.count),
        ("evacuated_zones", "Zones evacuated", lambda: len(view.evacuated_zones)),
        ("daemons", "Daemons that share the limits", sources.size.daemons.value),
        ("back_end_connections", "Connections open", sources.pool.open_connections),
        ("links_cut_off", "1 while no back end is in reach", sources.links.is_cut_off),
        ("capacity", "Requests per second it bears; 0 if unstated", lambda: sources.load.capacity),
        ("load_level", "0 normal, 1 busy, 2 overloaded", lambda: sources.load.level),
        (
            "loop_lateness_seconds",
            "Lateness of the event loop, smoothed",
            sources.load.lateness.smoothed_seconds,
        ),
        (
            "loop_lateness_largest_seconds",
            "Largest lateness of the event loop in a second",
            sources.load.lateness.largest_seconds,
        ),
        ("lateness_admission_level", "Admitted while late, 0 to 1", sources.lateness.level),
        ("relay_tunnels", "Connections of other daemons through it", sources.open_tunnels),
        (
            "quarantined_requests",
            "Not sent, as back ends end under them",
            sources.guard.count,
        ),
        (
            "quota_without_keeper",
            "1 while limits of tenants are kept by an equal part",
            sources.tenants.is_alone,
        ),
        (
            "demand_sum_age_seconds",
            "Age of the sums of demand that a shortage is decided on; 0 without any",
            sources.demand_sum_age_seconds,
        ),
        ("held_bytes", "Bytes held for callers", lambda: sources.memory.held_bytes),
        ("held_bytes_limit", "Most bytes for callers", lambda: sources.memory.limit_bytes),
        ("pools_short", "Pools whose room is divided", sources.shortage.pools_short),
        ("lowest_admission_level", "Least admitted key, 0 to 1", sources.shortage.lowest_level),
        ("retry_budget_used", "Most used retry budget, 0 to 1", router.max_retry_budget_share),
    ]
