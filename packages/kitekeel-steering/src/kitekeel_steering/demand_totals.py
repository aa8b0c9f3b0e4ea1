"""Adds up the demand that daemons report to a keeper, and selects the figures a daemon decides on.

A keeper holds the last report of each daemon of its region and the last sum of each other region,
in memory and for :data:`REPORT_LIFE_SECONDS`. A sum states how many daemons it includes and how
many it should include. A region that was not heard from is expected to have requests; a region that
was heard from and has no sum for a pool is not.
"""

from __future__ import annotations

import threading
from collections.abc import Iterable, Mapping

import msgspec

from kitekeel_steering.clock import Clock
from kitekeel_steering.service_demand import (
    MAX_KEYS,
    DemandKey,
    KeyDemand,
    ServiceDemand,
    add_demands,
    bounded_keys,
)

# Reports and sums that were not renewed for this long are left out.
REPORT_LIFE_SECONDS = 1.5
# A daemon uses the last sum that it heard for this long.
SUM_LIFE_SECONDS = 2.0
# Pools of one daemon's report, and of one region's sums; those with the most requests are kept.
MAX_POOLS = 16
MAX_REGION_POOLS = 64
# Daemons of one region whose reports are held; further ones are ignored.
MAX_REPORTERS = 2_000
MAX_REGIONS = 64
# Several daemons of a region may consider themselves its keeper while their member tables differ.
_MAX_KEEPERS_PER_REGION = 4
# Sums are calculated at most this often, however many daemons ask for them.
_REGION_SUM_SECONDS = 0.2
_TOTAL_SECONDS = 0.1
# A recent complete sum is preferred to an incomplete one for this long. The rest of its life is
# longer than the interval between sums, so there is always a usable one.
_PREFERRED_SECONDS = 1.4
# Bounds of the message types, which sums of impossible figures would exceed.
_MAX_RATE = 1e9
_MAX_COUNT = 1_000_000_000
_MAX_PRIORITY = 1_000_000
MAX_NAME = 200


class _Report(msgspec.Struct, frozen=True):
    """What one daemon reported, or one keeper for its region."""

    arrived_at: float
    demands: dict[str, ServiceDemand]


class DemandTotals:
    """The reports known to one keeper; thread-safe.

    Args:
        clock: measures the age of reports.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reports: dict[str, _Report] = {}
        self._regions: dict[str, dict[str, _Report]] = {}
        self._region_sums: dict[str, tuple[float, ServiceDemand]] = {}
        self._totals: dict[str, tuple[float, ServiceDemand]] = {}

    def note_report(self, daemon: str, demands: Iterable[ServiceDemand]) -> bool:
        """Replace the last report of a daemon of this region; an empty one removes it.

        Returns:
            Whether the daemon had no report here before.
        """
        now = self._clock.monotonic()
        found = {
            each.pool: msgspec.structs.replace(each, daemons=1)
            for each in _bounded(demands, MAX_POOLS)
        }
        with self._lock:
            if not found:
                self._reports.pop(daemon, None)
                return False
            is_new = daemon not in self._reports
            if is_new and len(self._reports) >= MAX_REPORTERS:
                self._reports = _recent(self._reports, now)
            if is_new and len(self._reports) >= MAX_REPORTERS:
                return False
            self._reports[daemon] = _Report(now, found)
            return is_new

    def note_region(self, region: str, keeper: str, sums: Iterable[ServiceDemand]) -> None:
        """Replace the last sums that a keeper of another region sent; they may be empty."""
        now = self._clock.monotonic()
        found = {each.pool: each for each in _bounded(sums, MAX_REGION_POOLS)}
        with self._lock:
            if region not in self._regions and len(self._regions) >= MAX_REGIONS:
                self._forget_silent_regions(now)
            if region not in self._regions and len(self._regions) >= MAX_REGIONS:
                return
            by_keeper = _recent(self._regions.get(region, {}), now)
            if keeper in by_keeper or len(by_keeper) < _MAX_KEEPERS_PER_REGION:
                by_keeper[keeper] = _Report(now, found)
            self._regions[region] = by_keeper

    def has_reports(self) -> bool:
        """Return whether a daemon of this region reported demand recently."""
        return self.reporters() > 0

    def reporters(self) -> int:
        """Return the number of daemons of this region that reported demand recently."""
        with self._lock:
            self._reports = _recent(self._reports, self._clock.monotonic())
            return len(self._reports)

    def region_sums(self, is_new: bool = False) -> tuple[ServiceDemand, ...]:
        """Return the sums of this region.

        Args:
            is_new: whether to calculate them anew, instead of at bounded intervals.
        """
        now = self._clock.monotonic()
        with self._lock:
            if is_new:
                self._region_sums.clear()
            pools = {name for each in _recent(self._reports, now).values() for name in each.demands}
            found = [self._region_sum(pool, now) for pool in pools]
        return _bounded(found, MAX_REGION_POOLS)

    def totals(
        self, pools: Iterable[str], own_region: str, members: Mapping[str, int]
    ) -> tuple[ServiceDemand, ...]:
        """Return the sums of all regions.

        Args:
            pools: the pools to add up, at most :data:`MAX_POOLS`.
            own_region: the region whose daemons report here.
            members: number of daemons of each region.
        """
        now = self._clock.monotonic()
        with self._lock:
            wanted = list(dict.fromkeys(pools))[:MAX_POOLS]
            return tuple(self._total(pool, own_region, members, now) for pool in wanted)

    def _region_sum(self, pool: str, now: float) -> ServiceDemand:
        known = self._region_sums.get(pool)
        if known is not None and now - known[0] < _REGION_SUM_SECONDS:
            return known[1]
        reports = _recent(self._reports, now).values()
        found = clamped(
            add_demands(pool, [each.demands[pool] for each in reports if pool in each.demands])
        )
        _keep(self._region_sums, pool, found, now, _REGION_SUM_SECONDS)
        return found

    def _total(
        self, pool: str, own_region: str, members: Mapping[str, int], now: float
    ) -> ServiceDemand:
        known = self._totals.get(pool)
        if known is not None and now - known[0] < _TOTAL_SECONDS:
            return known[1]
        sums: list[ServiceDemand] = []
        expected = 0
        for region, count in members.items():
            is_heard, found = self._heard_of(region, pool, own_region, now)
            sums += _distinct(found, count)
            if found or not is_heard:
                expected += count
        total = clamped(msgspec.structs.replace(add_demands(pool, sums), members=expected))
        _keep(self._totals, pool, total, now, _TOTAL_SECONDS)
        return total

    def _heard_of(
        self, region: str, pool: str, own_region: str, now: float
    ) -> tuple[bool, list[ServiceDemand]]:
        """Return whether a region was heard from, and the sums of its keepers for a pool."""
        if region == own_region:
            own = self._region_sum(pool, now)
            return True, [own] if own.daemons else []
        reports = _recent(self._regions.get(region, {}), now)
        found = [each.demands[pool] for each in reports.values() if pool in each.demands]
        return bool(reports), [each for each in found if each.daemons]

    def _forget_silent_regions(self, now: float) -> None:
        silent = [name for name, by_keeper in self._regions.items() if not _recent(by_keeper, now)]
        for region in silent:
            del self._regions[region]


class TotalView:
    """The sums that one daemon heard; must be used by a single thread."""

    def __init__(self) -> None:
        self._own: dict[str, ServiceDemand] = {}
        self._heard: dict[str, tuple[float, ServiceDemand]] = {}

    def note_own(self, demands: Iterable[ServiceDemand]) -> None:
        """Replace the figures of this daemon; sums of other pools are discarded."""
        self._own = {each.pool: each for each in demands}
        self._heard = {pool: each for pool, each in self._heard.items() if pool in self._own}

    def note_sum(self, total: ServiceDemand, now: float) -> None:
        """Record a sum that was heard.

        A keeper that has just replaced another one has heard from few daemons yet. Its sum is
        ignored for some time if the last one was complete.
        """
        if total.pool not in self._own or not total.daemons:
            return
        known = self._heard.get(total.pool)
        is_recent = known is not None and now - known[0] <= _PREFERRED_SECONDS
        if known is None or not is_recent or not _is_part(total, known[1]):
            self._heard[total.pool] = (now, total)

    def total(self, pool: str, now: float) -> ServiceDemand | None:
        """Return the figures of all daemons for a pool, or ``None`` without a usable sum.

        A sum that includes at least half of the daemons that it should is returned as it was heard.
        Otherwise the larger one of that sum and this daemon's own figures is used, by the requests
        asked for, multiplied by the number of daemons that should be included and divided by the
        number that are. Numbers of slots and objectives are not multiplied.
        """
        known = self._heard.get(pool)
        if known is None or not _is_usable(known[0], now):
            return None
        heard = known[1]
        if _is_mostly_complete(heard):
            return heard
        own = self._own.get(pool)
        base = own if own is not None and own.asked() > heard.asked() else heard
        return _scaled(base, heard.members)

    def age_seconds(self, now: float) -> float:
        """Return the age of the oldest sum among the pools in use; 0 if there is none."""
        return max((now - heard_at for heard_at, _ in self._heard.values()), default=0.0)


def clamped(demand: ServiceDemand) -> ServiceDemand:
    """Return the figures within the bounds of their types, with a bounded number of keys."""
    return msgspec.structs.replace(
        demand,
        completed=_clamped_rate(demand.completed),
        in_flight=_clamped_count(demand.in_flight),
        slots=_clamped_count(demand.slots),
        objective_seconds=_clamped_rate(demand.objective_seconds),
        keys=bounded_keys(_clamped_key(each) for each in demand.keys),
        daemons=_clamped_count(demand.daemons),
        members=_clamped_count(demand.members),
        rejected=_clamped_rate(demand.rejected),
    )


def _clamped_key(demand: KeyDemand) -> KeyDemand:
    if (
        0.0 <= demand.asked <= _MAX_RATE
        and 0.0 <= demand.admitted <= _MAX_RATE
        and 0.0 <= demand.level <= 1.0
        and 0 <= demand.key.priority <= _MAX_PRIORITY
        and len(demand.key.tenant) <= MAX_NAME
        and 0 <= demand.tenants <= _MAX_COUNT
    ):
        return demand
    return KeyDemand(
        DemandKey(min(max(0, demand.key.priority), _MAX_PRIORITY), demand.key.tenant[:MAX_NAME]),
        _clamped_rate(demand.asked),
        _clamped_rate(demand.admitted),
        min(_clamped_rate(demand.level), 1.0),
        _clamped_count(demand.tenants),
    )


def _clamped_rate(value: float) -> float:
    # Comparisons with a value that is not a number are false.
    return min(value, _MAX_RATE) if value > 0.0 else 0.0


def _clamped_count(value: int) -> int:
    return min(max(0, value), _MAX_COUNT)


def _bounded(demands: Iterable[ServiceDemand], count: int) -> tuple[ServiceDemand, ...]:
    """Return at most ``count`` demands with a bounded number of keys, those with most requests.

    Their figures are within the bounds of the types, which were checked when they were read.
    """
    ranked = sorted(demands, key=lambda each: (-each.asked(), each.pool))[:count]
    return tuple(_with_bounded_keys(each) for each in ranked)


def _with_bounded_keys(demand: ServiceDemand) -> ServiceDemand:
    if len(demand.keys) <= MAX_KEYS:
        return demand
    return msgspec.structs.replace(demand, keys=bounded_keys(demand.keys))


def _recent(reports: Mapping[str, _Report], now: float) -> dict[str, _Report]:
    return {
        name: each for name, each in reports.items() if now - each.arrived_at < REPORT_LIFE_SECONDS
    }


def _distinct(sums: list[ServiceDemand], members: int) -> list[ServiceDemand]:
    """Return the sums of a region's keepers that do not include the same daemon twice.

    Several keepers each have the reports of a part of the daemons. After a keeper was replaced, its
    last sums include daemons that report to the next one already; then the most complete one is
    returned. No sum counts more daemons than the region has.
    """
    if sum(each.daemons for each in sums) <= members:
        return sums
    most = max(sums, key=lambda each: each.daemons)
    return [msgspec.structs.replace(most, daemons=min(most.daemons, members))]


def _keep(
    sums: dict[str, tuple[float, ServiceDemand]],
    pool: str,
    found: ServiceDemand,
    now: float,
    life_seconds: float,
) -> None:
    """Cache a sum, and drop those that have expired."""
    for name in [name for name, (at, _) in sums.items() if now - at >= life_seconds]:
        del sums[name]
    sums[pool] = (now, found)


def _is_usable(heard_at: float, now: float) -> bool:
    return now - heard_at <= SUM_LIFE_SECONDS


def _is_mostly_complete(total: ServiceDemand) -> bool:
    return 2 * total.daemons >= total.members


def _is_part(total: ServiceDemand, last: ServiceDemand) -> bool:
    """Return whether a sum has become incomplete, measured by the last one."""
    expected = max(total.members, last.members)
    return 2 * total.daemons < expected <= 2 * last.daemons


def _scaled(demand: ServiceDemand, daemons: int) -> ServiceDemand:
    factor = max(1.0, daemons / max(1, demand.daemons))
    keys = (
        KeyDemand(each.key, each.asked * factor, each.admitted * factor, each.level, each.tenants)
        for each in demand.keys
    )
    return clamped(
        msgspec.structs.replace(
            demand,
            completed=demand.completed * factor,
            in_flight=round(demand.in_flight * factor),
            keys=tuple(keys),
            daemons=max(daemons, demand.daemons),
            members=max(daemons, demand.daemons),
            rejected=demand.rejected * factor,
        )
    )
