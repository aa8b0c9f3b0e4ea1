"""Asks overdue back ends how fast they work at the moment.

The health path answers at once, with the same load header as other answers. Its report only updates
the load and the speed. A pause or the end of the process that the answer announces is heeded, as in
any answer; apart from that, it never makes a back end usable or unusable.
"""

from __future__ import annotations

import asyncio
from weakref import WeakKeyDictionary

from kitekeel_backends.back_end_dialer import DialTarget
from kitekeel_backends.connection_pool import ConnectionPool
from kitekeel_backends.exchange_messages import OutgoingRequest
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_daemon.announcement_reader import AnnouncementReader
from kitekeel_daemon.answer_head import AnswerHead
from kitekeel_daemon.answer_headers import read_load
from kitekeel_daemon.back_end_limiter import BackEndLimiter
from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.placement_policy import Candidate
from kitekeel_steering.proxied_messages import HeaderNames, MessageBody, ProxiedAnswer, find_header

_INTERVAL_SECONDS = 0.25
# A later report would describe the past.
_TIMEOUT_SECONDS = 0.2


class SpeedProbes:
    """Probes back ends; used on one event loop.

    Args:
        view: provides the health path of each service.
        states: decides whether anything may be sent to a back end; cold ones are not probed.
        limiter: back ends with a rate limit are not probed.
        announcements: reads the heads of the answers.
        names: names the load header.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: FleetView,
        states: BackEndStates,
        limiter: BackEndLimiter,
        announcements: AnnouncementReader,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
    ) -> None:
        self._announcements = announcements
        self._pool = pool
        self._view = view
        self._states = states
        self._limiter = limiter
        self._names = names
        self._clock = clock
        self._metrics = metrics
        # The load belongs to one process of a back end, and is dropped with it.
        self._asked_at: WeakKeyDictionary[BackEndLoad, float] = WeakKeyDictionary()
        self._running: WeakKeyDictionary[BackEndLoad, asyncio.Task[None]] = WeakKeyDictionary()

    async def ask(self, candidate: Candidate, regions: tuple[str, ...]) -> None:
        """Ask one back end, unless it was asked a moment ago; wait for a question that runs.

        Args:
            candidate: the back end.
            regions: the only regions that the question may pass through; empty for all.
        """
        running = self._running.get(candidate.load)
        if running is None or running.done():
            running = asyncio.create_task(self._ask_once(candidate, regions))
            self._running[candidate.load] = running
        await asyncio.shield(running)

    async def _ask_once(self, candidate: Candidate, regions: tuple[str, ...]) -> None:
        now = self._clock.monotonic()
        is_recent = now - self._asked_at.get(candidate.load, float("-inf")) < _INTERVAL_SECONDS
        if is_recent or not self._may_ask(candidate):
            return
        self._asked_at[candidate.load] = now
        self._metrics.increment("back-ends.speed-probes")
        try:
            async with asyncio.timeout(_TIMEOUT_SECONDS):
                answer = await self._exchange(candidate, regions)
        except (KitekeelError, TimeoutError):
            return
        report = read_load(find_header(answer.headers, self._names.load))
        instance = find_header(answer.headers, self._names.answering_instance)
        is_other = instance is not None and instance != candidate.record.instance.encode()
        if report is not None and not is_other:
            candidate.load.note_health_report(report, self._clock.monotonic())

    def _may_ask(self, candidate: Candidate) -> bool:
        record = candidate.record
        if self._states.is_cold(record):
            # Its answers take long anyway, and it bears few requests, of all daemons together.
            return False
        return self._states.may_receive(record) and not self._limiter.is_limited(record)

    async def _exchange(self, candidate: Candidate, regions: tuple[str, ...]) -> ProxiedAnswer:
        record = candidate.record
        share = self._states.connection_share(record.service)
        target = DialTarget(
            record.address, record.instance, record.service, candidate.region, regions
        )
        connection = await self._pool.acquire(record.address, share, True, target)
        asked_at = self._clock.monotonic()
        try:
            answer = await connection.exchange(
                self._question(candidate),
                lambda: self._may_ask(candidate),
                lambda status, headers: self._announcements.read(
                    AnswerHead(
                        record,
                        status,
                        headers,
                        sent_at=asked_at,
                        relay=connection.relay,
                        is_connection_open=connection.is_open,
                    ),
                    is_health=True,
                ),
            )
        except BaseException:
            self._pool.discard(record.address, connection)
            raise
        self._give_back(candidate, connection, answer)
        return answer

    def _question(self, candidate: Candidate) -> OutgoingRequest:
        routes = self._view.routes
        service = routes.services.get(candidate.record.service) if routes is not None else None
        path = service.health_path if service is not None else "/health"
        headers = ((b"Host", candidate.record.address.encode()),)
        target = path.encode("ascii", "ignore")
        id_header = self._names.request_id
        return OutgoingRequest(b"GET", target, headers, MessageBody(), id_header, is_probe=True)

    def _give_back(
        self, candidate: Candidate, connection: BackEndConnection, answer: ProxiedAnswer
    ) -> None:
        address = candidate.record.address
        if answer.body.rest is None and self._states.is_in_service(candidate.record):
            self._pool.release(address, connection)
        else:
            self._pool.discard(address, connection)
