"""Admits requests while a service is short of room, by levels that all daemons share.

While there is no sign of a shortage, requests are only counted, and nothing is sent. Otherwise the
daemon reports its counts each half second, and derives the levels from the sum of all daemons, or
from its own counts and its part of the slots while it knows no sum.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus

import msgspec

from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.kept_appointments import KeptAppointments
from kitekeel_daemon.request_outcomes import Reason
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.send_result import SendResult
from kitekeel_steering.admission_lottery import (
    SLOT_SECONDS,
    Appointment,
    draw,
    find_appointment,
    slot_at,
)
from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_counter import SendEnd
from kitekeel_steering.gateway_settings import ShortageAdmission
from kitekeel_steering.load_log_messages import ShortageBegan, ShortageEnded, ShortageMostRefused
from kitekeel_steering.placement_policy import Candidates, QueueBound, RefusalReason
from kitekeel_steering.proxied_messages import HeaderNames
from kitekeel_steering.request_identity import identify_caller
from kitekeel_steering.request_log_messages import RequestShortage
from kitekeel_steering.service_demand import DemandKey, ServiceDemand, SharedDemand
from kitekeel_steering.shared_limits import DaemonCount
from kitekeel_steering.shortage_pool import ShortagePool

_PERIOD_SECONDS = 0.5
# Time for the other daemons' figures to arrive after the first report; without them the own figures
# would be taken for a shortage more often.
_AWAITS_SUM_SECONDS = 1.0
# Assumed until answers arrive during the shortage.
_DEFAULT_SERVICE_SECONDS = 0.3
# Part of the remaining time within which callers follow a Retry-After.
_RETRY_TIME_SHARE = 1.0 / 3.0
_REJECTED = f"status-{HTTPStatus.SERVICE_UNAVAILABLE.value}"
_FULL_REASONS = frozenset({RefusalReason.ALL_FULL.value, RefusalReason.REGION_FULL.value})


class UnsharedDemand:
    """Knows no other daemon's demand, so that each daemon acts on its own figures."""

    def publish(self, own: tuple[ServiceDemand, ...]) -> None:
        """Report to nobody."""

    def total(self, pool: str, now: float) -> ServiceDemand | None:
        """Return ``None``: no sum is known."""


class ShortageControl:
    """Admits requests; used on the event loop of the router.

    Args:
        gate: the services whose room is divided.
        states: provides the back ends of each pool.
        daemons: number of daemons among which the slots are divided without shared figures.
        names: names of the headers that identify a request.
        shared: adds up the demand of all daemons.
    """

    def __init__(
        self,
        gate: ShortageAdmission,
        states: BackEndStates,
        daemons: DaemonCount,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        shared: SharedDemand,
    ) -> None:
        self._gate = gate
        self._states = states
        self._daemons = daemons
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._shared = shared
        self._pools: dict[tuple[str, tuple[str, ...]], ShortagePool] = {}
        self._slots: dict[str, tuple[Candidates, int]] = {}
        self._began_at: dict[str, float] = {}
        self._most_refused: dict[str, DemandKey] = {}
        self._assumed: dict[BackEndLoad, float] = {}
        self._appointments = KeptAppointments()
        self._reporting_since: dict[str, float] = {}
        self._is_reporting = False

    def share(self, shared: SharedDemand) -> None:
        """Use the demand of other daemons from now on."""
        self._shared = shared

    def pools_short(self) -> int:
        """Return the number of pools that are short of room."""
        return sum(each.is_short for each in self._pools.values())

    def lowest_level(self) -> float:
        """Return the lowest admission level in force; 1 if all requests are admitted."""
        return min((each.lowest_level() for each in self._pools.values()), default=1.0)

    def admit(self, routed: RoutedRequest) -> Reason | None:
        """Count a request that arrived; return why it is refused, or ``None`` if it is admitted.

        A refusal sets :attr:`RoutedRequest.retry_after_seconds`.
        """
        if not self._applies_to(routed.service):
            return None
        pool = routed.shortage_pool = self._pool(routed)
        now = self._clock.monotonic()
        key = _demand_key(routed)
        objective_seconds = routed.route.objective_seconds
        if not pool.is_short:
            pool.counter.note_asked(key, objective_seconds, 1.0, True, now)
            return None
        refusal = self._decide(routed, pool, pool.present_level(key), now)
        pool.counter.note_asked(key, objective_seconds, pool.level(key), refusal is None, now)
        return refusal

    def queue_bound(self, routed: RoutedRequest) -> QueueBound | None:
        """Return where a request may queue if its pool is short of room; else ``None``."""
        pool = routed.shortage_pool
        if pool is None or not pool.is_short:
            return None
        objective_left = _objective_left(routed, self._clock.monotonic())
        return QueueBound(objective_left, pool.service_seconds(_DEFAULT_SERVICE_SECONDS))

    def retry_after_seconds(self, routed: RoutedRequest) -> float | None:
        """Return after what time a refused caller should return.

        Returns ``None`` if its pool is not short of room.
        """
        if routed.retry_after_seconds is not None:
            return routed.retry_after_seconds
        pool = routed.shortage_pool
        if pool is None or not pool.is_short:
            return None
        now = self._clock.monotonic()
        identity = identify_caller(routed.request, self._names)
        level = pool.level(_demand_key(routed))
        appointment = self._find_appointment(routed, pool, identity, level, now)
        return self._retry_after(routed, appointment, now)

    def note_sent(self, routed: RoutedRequest) -> None:
        """Count a send that is about to begin."""
        if routed.shortage_pool is not None:
            routed.shortage_pool.counter.note_sent()

    def note_ended(self, routed: RoutedRequest, result: SendResult) -> None:
        """Count the end of a send, also if it was lost or cancelled."""
        pool = routed.shortage_pool
        if pool is None:
            return
        now = self._clock.monotonic()
        end = _send_end(result)
        pool.counter.note_ended(end, now)
        if result.answer is not None:
            report = result.report
            pool.signs.note_answer(report is not None and report.waiting > 0)
        if end is SendEnd.REJECTED:
            pool.signs.note_full(now)

    def note_refused(self, routed: RoutedRequest, reason: str) -> None:
        """Record why a request was refused; full back ends are a sign of a shortage."""
        if routed.shortage_pool is not None and reason in _FULL_REASONS:
            routed.shortage_pool.signs.note_full(self._clock.monotonic())

    async def run(self) -> None:
        """Decide the levels of all pools at regular intervals, until cancelled."""
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            self.update()

    def update(self) -> None:
        """Report the own demand on pools that may be short, and decide their levels."""
        now = self._clock.monotonic()
        reports: list[ServiceDemand] = []
        for (service, regions), pool in self._pools.items():
            slots = self._pool_slots(pool.name, service, regions)
            own_slots = slots / self._daemons.value()
            has_signs = pool.signs.are_seen(pool.counter.in_flight, own_slots, now)
            if has_signs or pool.is_short:
                own = pool.counter.demand(slots, now)
                reports.append(own)
                self._decide_levels(pool, own, max(1, round(own_slots)), now)
            else:
                self._reporting_since.pop(pool.name, None)
        self._assume_typical_loads()
        if reports or self._is_reporting:
            self._shared.publish(tuple(reports))
        self._is_reporting = bool(reports)

    def _assume_typical_loads(self) -> None:
        """Assume the mean load of the short pools at back ends without a recent report.

        A back end may belong to several pools, whose requests are counted apart.
        """
        assumed: dict[BackEndLoad, float] = {}
        for (service, regions), pool in self._pools.items():
            if not pool.is_short:
                continue
            for each in self._states.candidates(service, regions).members:
                requests = pool.load_share() * each.record.slots
                assumed[each.load] = assumed.get(each.load, 0.0) + requests
        for load in self._assumed.keys() - assumed.keys():
            load.typical_requests = 0.0
        for load, requests in assumed.items():
            load.typical_requests = requests
        self._assumed = assumed

    def _decide_levels(
        self, pool: ShortagePool, own: ServiceDemand, own_slots: int, now: float
    ) -> None:
        total = self._shared.total(pool.name, now)
        reporting_since = self._reporting_since.setdefault(pool.name, now)
        if total is None and now - reporting_since < _AWAITS_SUM_SECONDS:
            return
        figures = total or msgspec.structs.replace(own, slots=own_slots)
        if pool.decide(figures, own, total is not None, now):
            self._log_period(pool, figures, now)
        self._log_most_refused(pool)

    def _decide(
        self, routed: RoutedRequest, pool: ShortagePool, level: float, now: float
    ) -> Reason | None:
        identity = identify_caller(routed.request, self._names)
        slot = slot_at(self._clock.wall())
        drawn = draw(identity, slot)
        if routed.deadline - now < pool.answer_seconds():
            self._metrics.increment("shortage.too-late")
            self._note_shortage(routed, pool, level, drawn, None, now)
            routed.retry_after_seconds = self._retry_after(routed, None, now)
            return Reason.TOO_LATE
        if drawn < level:
            if self._appointments.is_kept(identity, slot):
                self._metrics.increment("shortage.appointments-kept")
            return None
        self._metrics.increment("shortage.refused")
        # The caller may return to a daemon that has more in flight, so that is ignored.
        shared_level = pool.level(_demand_key(routed))
        appointment = self._find_appointment(routed, pool, identity, shared_level, now)
        self._note_shortage(routed, pool, level, drawn, appointment, now)
        routed.retry_after_seconds = self._retry_after(routed, appointment, now)
        return Reason.SHORTAGE

    def _find_appointment(
        self, routed: RoutedRequest, pool: ShortagePool, identity: bytes, level: float, now: float
    ) -> Appointment | None:
        """Return the first appointment that the caller keeps and that leaves time for an answer.

        The answer has to be within the objective: while room is short, later ones would displace
        those of other callers.
        """
        remaining = routed.deadline - now
        seconds_in_time = min(remaining, _objective_left(routed, now)) - pool.answer_seconds()
        seconds = min(seconds_in_time, _RETRY_TIME_SHARE * remaining)
        wall = self._clock.wall()
        appointment = find_appointment(identity, level, wall, wall + seconds)
        if appointment is not None:
            self._metrics.increment("shortage.appointments")
            self._appointments.note(identity, appointment.slot, slot_at(wall))
        return appointment

    def _retry_after(
        self, routed: RoutedRequest, appointment: Appointment | None, now: float
    ) -> float:
        """Return the time until an appointment, or else until the caller's deadline.

        It is at least that of one slot without an appointment: an earlier retry draws the same
        number again.
        """
        if appointment is None:
            return max(SLOT_SECONDS, routed.deadline - now)
        return max(0.0, appointment.at - self._clock.wall())

    def _note_shortage(
        self,
        routed: RoutedRequest,
        pool: ShortagePool,
        level: float,
        drawn: float,
        appointment: Appointment | None,
        now: float,
    ) -> None:
        figures = pool.figures
        assert figures is not None
        wall = self._clock.wall()
        routed.messages.append(
            RequestShortage(
                request=routed.request_id,
                at=wall,
                pool=pool.name,
                level=round(level, 3),
                draw=round(drawn, 3),
                room=round(pool.room, 1),
                asked=round(figures.asked(), 1),
                in_flight=figures.in_flight,
                age=round(now - pool.decided_at, 2),
                is_shared=pool.is_shared,
                answer_seconds=round(pool.answer_seconds(), 3),
                appointment_seconds=round(appointment.at - wall, 2) if appointment else None,
            )
        )

    def _log_period(self, pool: ShortagePool, figures: ServiceDemand, now: float) -> None:
        if not pool.is_short:
            self._most_refused.pop(pool.name, None)
            seconds = now - self._began_at.pop(pool.name, now)
            self._log.state(ShortageEnded(pool.name, round(seconds, 1)))
            return
        self._began_at[pool.name] = now
        self._log.state(
            ShortageBegan(
                pool=pool.name,
                room=round(pool.room, 1),
                asked=round(figures.asked(), 1),
                in_flight=figures.in_flight,
                slots=figures.slots,
                daemons=figures.daemons,
                is_shared=pool.is_shared,
            )
        )

    def _log_most_refused(self, pool: ShortagePool) -> None:
        key = pool.most_refused()
        if key is None or key == self._most_refused.get(pool.name):
            return
        self._most_refused[pool.name] = key
        level = round(pool.level(key), 3)
        self._log.state(ShortageMostRefused(pool.name, key.priority, key.tenant, level))

    def _applies_to(self, service: str) -> bool:
        if self._gate is ShortageAdmission.REPORTED_SPEED:
            return self._states.reports_speed(service)
        return self._gate is ShortageAdmission.ALWAYS

    def _pool(self, routed: RoutedRequest) -> ShortagePool:
        regions = routed.regions or ()
        pool = self._pools.get((routed.service, regions))
        if pool is None:
            pool = ShortagePool(_pool_name(routed.service, regions))
            self._pools[(routed.service, regions)] = pool
        return pool

    def _pool_slots(self, pool: str, service: str, regions: tuple[str, ...]) -> int:
        """Return the slots of a pool's back ends, which are added up again only after a change."""
        candidates = self._states.candidates(service, regions)
        known = self._slots.get(pool)
        if known is None or known[0] is not candidates:
            slots = sum(each.record.slots for each in candidates.members)
            known = self._slots[pool] = (candidates, slots)
        return known[1]


def _pool_name(service: str, regions: tuple[str, ...]) -> str:
    return f"{service}@{','.join(regions)}" if regions else service


def _demand_key(routed: RoutedRequest) -> DemandKey:
    tenant = routed.caller.tenant
    return DemandKey(routed.priority, tenant.name if tenant is not None else "")


def _objective_left(routed: RoutedRequest, now: float) -> float:
    return routed.request.received_at + routed.route.objective_seconds - now


def _send_end(result: SendResult) -> SendEnd:
    if result.answer is not None and result.may_have_run:
        return SendEnd.COMPLETED
    has_free_slots = result.rejected_with_free_slot or result.requests_pause
    if result.error == _REJECTED and not result.may_have_run and not has_free_slots:
        return SendEnd.REJECTED
    return SendEnd.OTHER
