"""Adds up the demand on services short of room over all daemons, through a keeper in each region.

While a daemon has demand to report, it calls the keeper of its region at regular intervals; the
reply contains the sums of all regions. Keepers exchange their region's sums with the keepers of the
other regions while they receive reports. Without reports nothing is sent.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from functools import partial

from kitekeel_peers.demand_messages import DemandReply, DemandReport
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.quota_keepers import QuotaKeepers, group_of
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_totals import (
    MAX_NAME,
    MAX_POOLS,
    DemandTotals,
    TotalView,
    clamped,
)
from kitekeel_steering.errors import PeerError
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.service_demand import ServiceDemand

DEMAND = "Demand"
# Number of daemons in each region that the pools are distributed over.
GROUPS = 2
_INTERVAL_SECONDS = 0.5
_MIN_INTERVAL_FACTOR = 0.9
_MAX_INTERVAL_FACTOR = 1.1
# A keeper that gets a report of another daemon tells the other regions after this time. It covers
# the reports of daemons that observe a shortage, or the failure of a keeper, at the same time.
_BATCH_SECONDS = 0.1
# Several keepers may be tried before the last sum expires.
_TIMEOUT_SECONDS = 0.3
_MAX_KEEPERS_TRIED = 2
# Opening a connection to a distant region takes several round trips of up to 0.17 s.
_REGION_TIMEOUT_SECONDS = 1.0
_REPORT_THREADS = 4
# A call to a daemon that does not answer occupies a thread, so reports have threads of their own.
_REGION_THREADS = 32


class _GroupState:
    """State of one daemon's exchange with the keepers of one group of pools."""

    def __init__(self, clock: Clock) -> None:
        self.totals = DemandTotals(clock)
        self.demands: tuple[ServiceDemand, ...] = ()
        self.is_reporting = asyncio.Event()
        self.is_keeper_lost = False
        self.has_new_reports = asyncio.Event()
        self.region_calls: dict[str, asyncio.Task[None]] = {}


class DemandExchange:
    """One daemon's side of the exchange; implements ``SharedDemand``, used on one event loop.

    Args:
        keepers: selects the keeper of each group.
        members: returns the live members, this daemon included.
        metrics: counts reports and answers.
        on_keeper: called with the group, whether its keeper was found or lost, and the reason.
        groups: number of groups that pools are divided into, each with its own keepers.
    """

    def __init__(
        self,
        keepers: QuotaKeepers,
        members: Callable[[], list[MemberRecord]],
        client: PeerClient,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
        on_keeper: Callable[[int, bool, str], None],
        groups: int = GROUPS,
    ) -> None:
        self._keepers = keepers
        self._members = members
        self._client = client
        self._clock = clock
        self._random = generator
        self._metrics = metrics
        self._on_keeper = on_keeper
        self._groups = [_GroupState(clock) for _ in range(groups)]
        self._view = TotalView()
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_closed = False
        self._threads = ThreadPoolExecutor(_REPORT_THREADS, thread_name_prefix="demand")
        self._region_threads = ThreadPoolExecutor(
            _REGION_THREADS, thread_name_prefix="demand-regions"
        )

    def publish(self, own: tuple[ServiceDemand, ...]) -> None:
        """Report this daemon's demand from now on; empty ends it after one last report.

        Figures out of range are clamped. Pools with names longer than :data:`MAX_NAME` are left
        out, and of each group all but the :data:`MAX_POOLS` with the most requests.
        """
        found = [clamped(each) for each in own if len(each.pool) <= MAX_NAME]
        found.sort(key=lambda each: -each.asked())
        self._view.note_own(found)
        for number, group in enumerate(self._groups):
            demands = [each for each in found if group_of(each.pool, len(self._groups)) == number]
            if demands or group.demands:
                group.demands = tuple(demands[:MAX_POOLS])
                group.is_reporting.set()

    def total(self, pool: str, now: float) -> ServiceDemand | None:
        """Return the demand of all daemons on a pool; see :meth:`TotalView.total`.

        Args:
            pool: name of the pool, which this daemon must have published.
            now: monotonic time.
        """
        return self._view.total(pool, now)

    def sum_age_seconds(self) -> float:
        """Return the age of the oldest sum in use; 0 if there is none."""
        return self._view.age_seconds(self._clock.monotonic())

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        server.register(DEMAND, DemandReport, self.serve)

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        self._loop = asyncio.get_running_loop()
        numbers = range(len(self._groups))
        reports = [self._report_regularly(number) for number in numbers]
        return [*reports, *(self._exchange_regularly(number) for number in numbers)]

    def close(self) -> None:
        """Make no further calls."""
        self._is_closed = True
        for each in (self._threads, self._region_threads):
            each.shutdown(wait=False, cancel_futures=True)

    def serve(self, report: DemandReport) -> DemandReply:
        """Record a report and return the sums; runs on the threads of the peer server."""
        if report.group >= len(self._groups):
            return DemandReply((), is_keeper=False)
        totals = self._groups[report.group].totals
        own_region, members = self._keepers.own_region(), self._members_by_region()
        if report.is_region:
            if report.region in members and report.region != own_region:
                totals.note_region(report.region, report.sender, report.demands)
            sums = totals.region_sums()
            return DemandReply(sums, bool(sums) or self._is_keeper(report.group))
        self._metrics.increment("demand.answers")
        if totals.note_report(report.sender, report.demands):
            self._announce_new_reports(report.group)
        pools = [each.pool for each in report.demands]
        return DemandReply(totals.totals(pools, own_region, members))

    async def _report_regularly(self, number: int) -> None:
        group = self._groups[number]
        while True:
            await group.is_reporting.wait()
            demands = group.demands
            await self._report(number, demands)
            if not demands and not group.demands:
                # The last report was empty, which removes this daemon's figures from the sums.
                group.is_reporting.clear()
            await asyncio.sleep(self._interval_seconds())

    async def _report(self, number: int, demands: tuple[ServiceDemand, ...]) -> None:
        own, region = self._keepers.own_address(), self._keepers.own_region()
        report = DemandReport(number, own, region, demands)
        reason = ""
        for _ in range(_MAX_KEEPERS_TRIED):
            if self._is_closed:
                return
            address = self._keepers.of_own_region(number)
            serve = self.serve if address == own else partial(self._call, address)
            try:
                reply = await self._run(self._threads, partial(serve, report))
            except PeerError as error:
                self._keepers.note_failure(address)
                reason = error.message
                continue
            self._metrics.increment("demand.reports")
            self._note_sums(reply)
            self._note_keeper(number, True, "")
            return
        if not self._is_closed:
            self._note_keeper(number, False, reason)

    def _note_sums(self, reply: DemandReply) -> None:
        now = self._clock.monotonic()
        for each in reply.sums:
            self._view.note_sum(each, now)

    def _note_keeper(self, number: int, is_found: bool, reason: str) -> None:
        group = self._groups[number]
        if group.is_keeper_lost is is_found:
            group.is_keeper_lost = not is_found
            self._on_keeper(number, is_found, reason)

    def _announce_new_reports(self, number: int) -> None:
        if self._loop is None:
            return
        try:
            self._loop.call_soon_threadsafe(self._groups[number].has_new_reports.set)
        except RuntimeError:
            # The peer server still serves calls after the event loop is closed.
            self._metrics.increment("demand.answers-after-stop")

    async def _exchange_regularly(self, number: int) -> None:
        """Exchange sums with the keepers of the other regions while this daemon gets reports."""
        group = self._groups[number]
        while True:
            await group.has_new_reports.wait()
            while group.totals.has_reports():
                await asyncio.sleep(_BATCH_SECONDS)
                group.has_new_reports.clear()
                self._exchange(number, group)
                wait_seconds = self._interval_seconds() - _BATCH_SECONDS
                with suppress(TimeoutError):
                    await asyncio.wait_for(group.has_new_reports.wait(), wait_seconds)
            group.has_new_reports.clear()

    def _exchange(self, number: int, group: _GroupState) -> None:
        own, region = self._keepers.own_address(), self._keepers.own_region()
        sums = group.totals.region_sums(is_new=True)
        report = DemandReport(number, own, region, sums, is_region=True)
        for other in self._members_by_region():
            for address in self._region_addresses(number, other) if other != region else ():
                if address not in group.region_calls:
                    exchange = self._exchange_with(other, address, group, report)
                    group.region_calls[address] = asyncio.get_running_loop().create_task(exchange)

    def _region_addresses(self, number: int, region: str) -> set[str]:
        """Return the keeper of another region, and the next one while it does not answer.

        If only its answers are lost, the keeper still needs the sums of this region.
        """
        found = {
            self._keepers.first_of_region(number, region),
            self._keepers.of_region(number, region),
        }
        return {each for each in found if each is not None}

    async def _exchange_with(
        self, region: str, address: str, group: _GroupState, report: DemandReport
    ) -> None:
        call = partial(self._call, address, report, _REGION_TIMEOUT_SECONDS)
        try:
            reply = await self._run(self._region_threads, call)
        except PeerError:
            # The peer client counts the failure. The next keeper of that region is asked as well.
            self._keepers.note_failure(address)
            return
        finally:
            del group.region_calls[address]
        if reply.is_keeper or reply.sums:
            group.totals.note_region(region, address, reply.sums)

    def _interval_seconds(self) -> float:
        factor = self._random.uniform(_MIN_INTERVAL_FACTOR, _MAX_INTERVAL_FACTOR)
        return _INTERVAL_SECONDS * factor

    async def _run(
        self, threads: ThreadPoolExecutor, call: Callable[[], DemandReply]
    ) -> DemandReply:
        try:
            return await asyncio.get_running_loop().run_in_executor(threads, call)
        except RuntimeError as error:
            raise PeerError(f"{DEMAND}: this daemon is stopping") from error

    def _call(
        self, address: str, report: DemandReport, timeout_seconds: float = _TIMEOUT_SECONDS
    ) -> DemandReply:
        return self._client.call(address, DEMAND, report, DemandReply, timeout_seconds)

    def _is_keeper(self, number: int) -> bool:
        return self._keepers.of_own_region(number) == self._keepers.own_address()

    def _members_by_region(self) -> Counter[str]:
        return Counter(each.region for each in self._members())
