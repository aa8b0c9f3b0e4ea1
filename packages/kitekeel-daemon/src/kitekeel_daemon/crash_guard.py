"""Quarantines requests that crash back ends, based on the observations of all daemons.

Retries of a request are recognized by its identity. A quarantined request is refused at once, with
the exception of a few careful tries, each granted once in the whole fleet: one after a delay, and
one for each software version that it is not known to crash.
"""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable, Coroutine

import msgspec

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.process_ends import ProcessEndDetector, ProcessProbe
from kitekeel_peers.crash_exchange import CrashExchange
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_platform.crash_record_sync import CrashRecordSync
from kitekeel_platform.fleet_store import DocumentFinding, FleetStore
from kitekeel_steering.back_end_log_messages import (
    CrashRecordChanged,
    CrashTryClaimed,
    CrashTryClaimFailed,
)
from kitekeel_steering.clock import Clock
from kitekeel_steering.crash_ledger import (
    OPERATOR,
    OWN,
    CarefulTry,
    CrashLedger,
    LedgerChange,
    find_try,
)
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.proxied_messages import HeaderNames, ProxiedRequest
from kitekeel_steering.request_identity import identify, identify_target


class Admission(enum.Enum):
    """Whether a request may be sent freely, may be sent once as a careful try, or is refused."""

    FREE = "free"
    ONE_TRY = "one-try"
    REFUSED = "refused"


class Verdict(msgspec.Struct, frozen=True):
    """The guard's decision about a request.

    Attributes:
        identity: empty if no crash record can match the request.
        careful_try: the careful try granted to a quarantined request; ``None`` if there is none.
    """

    admission: Admission
    identity: str = ""
    careful_try: CarefulTry | None = None


_FREE = Verdict(Admission.FREE)
# A careful try may crash a back end. With fewer back ends, that would take away at least half of
# the service.
_MIN_BACK_ENDS_FOR_TRY = 3
_CLAIM_PAUSE_SECONDS = 2.0


class CrashGuard:
    """Admits or refuses requests by this daemon's crash ledger; used on one event loop.

    Args:
        probe: returns the state of a back end's process.
        may_receive: returns whether requests may be sent to a back end now.
        is_end_expected: returns whether a back end announced the end of its process beforehand.
    """

    def __init__(
        self,
        view: FleetView,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
        probe: ProcessProbe,
        may_receive: Callable[[BackEndRecord], bool],
        is_end_expected: Callable[[BackEndRecord], bool],
    ) -> None:
        self._may_receive = may_receive
        self._is_end_expected = is_end_expected
        self._view = view
        self._names = names
        self._metrics = metrics
        self._log = log
        self.ledger = CrashLedger(clock, self._on_change)
        self.process_ends = ProcessEndDetector(names, clock, metrics, log, probe, self._on_end)
        self._exchange: CrashExchange | None = None
        self._store_sync: CrashRecordSync | None = None
        self._clock = clock
        self._claims: dict[str, asyncio.Task[None]] = {}
        self._granted_tries: dict[str, CarefulTry] = {}

    def share(
        self,
        client: PeerClient,
        table: MemberTable,
        server: PeerServer,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        """Start sharing crash records with the other daemons; see :class:`CrashExchange`."""
        loop = asyncio.get_running_loop()
        self._exchange = CrashExchange(self.ledger, client, table, loop, generator, on_failure)
        self._exchange.register(server)

    def keep_in_store(
        self,
        store: FleetStore,
        writes_for_others: Callable[[], bool],
        generator: random.Random,
        on_dependency: Callable[[str, bool, str], None],
        on_finding: Callable[[DocumentFinding], None],
    ) -> None:
        """Start storing records that must outlive the daemons; see :class:`CrashRecordSync`."""
        self._store_sync = CrashRecordSync(
            store,
            self.ledger,
            writes_for_others,
            generator,
            on_dependency,
            on_finding,
            lambda reason: self._log.state(CrashTryClaimFailed(reason)),
        )

    def close(self) -> None:
        """Stop sending records to the other daemons."""
        if self._exchange is not None:
            self._exchange.close()

    def count(self) -> int:
        """Return how many requests are quarantined."""
        return len(self.ledger.quarantined())

    def loops(self) -> list[Coroutine[None, None, None]]:
        """Return the loops to run until the daemon stops."""
        found = [each.run() for each in (self._exchange, self._store_sync) if each is not None]
        return list(found)

    def admit(self, request: ProxiedRequest, service: str) -> Verdict:
        """Decide whether a request may be sent; called before each send.

        A granted careful try is returned only once; :meth:`give_back` returns it unused.
        """
        if not self.ledger.may_have_record(identify_target(request)):
            return _FREE
        identity = identify(request, self._names)
        if not self.ledger.is_quarantined(identity):
            return Verdict(Admission.FREE, identity)
        permit = self._granted_tries.pop(identity, None)
        if permit is not None:
            return Verdict(Admission.ONE_TRY, identity, permit)
        self._claim_try(identity, service)
        return Verdict(Admission.REFUSED, identity)

    def is_quarantined(self, request: ProxiedRequest) -> bool:
        """Return whether a request is quarantined, without granting or claiming a careful try."""
        if not self.ledger.may_have_record(identify_target(request)):
            return False
        return self.ledger.is_quarantined(identify(request, self._names))

    def give_back(self, identity: str, careful_try: CarefulTry) -> None:
        """Take back a careful try that was not used because no back end was available."""
        self._granted_tries[identity] = careful_try

    def note_answered(self, request: ProxiedRequest) -> None:
        """Note that a back end answered a request completely and without a server error."""
        self.ledger.note_answered(identify(request, self._names))

    def _on_end(self, identity: str, record: BackEndRecord) -> None:
        if self._is_end_expected(record):
            self._metrics.increment("crashes.ends-announced")
            return
        process = f"{record.instance}/{record.started_at_ms}"
        self.ledger.note_end(identity, record.service, process, record.version)

    def _on_change(self, change: LedgerChange) -> None:
        record = change.record
        self._metrics.increment(f"crashes.records-{change.source.partition(' ')[0]}")
        self._log_change(change)
        if self._exchange is not None:
            self._exchange.publish(record)
        if self._store_sync is None:
            return
        if change.source in (OWN, OPERATOR):
            self._store_sync.on_local_change(change)
        elif change.source.startswith("peer"):
            self._store_sync.on_remote_change(change)

    def _log_change(self, change: LedgerChange) -> None:
        """Log a change of a crash record.

        A change from another daemon is logged only if the request is or was quarantined, since the
        daemon that made the observation logs it too.
        """
        record = change.record
        is_verdict = change.is_quarantined or change.was_quarantined
        if change.source not in (OWN, OPERATOR) and not is_verdict:
            return
        self._log.state(
            CrashRecordChanged(
                identity=record.identity,
                service=record.service,
                ends=len(record.ends),
                last_end=record.ends[-1] if record.ends else "",
                times_cleared=record.epoch,
                is_quarantined=change.is_quarantined,
                source=change.source,
            )
        )

    def _claim_try(self, identity: str, service: str) -> None:
        """Start to claim the next careful try, to be used when the caller retries."""
        record = self.ledger.find(identity)
        if record is None or identity in self._claims or self._store_sync is None:
            return
        usable = [
            each for each in self._view.back_ends(service).values() if self._may_receive(each)
        ]
        if len(usable) < _MIN_BACK_ENDS_FOR_TRY:
            return
        versions = {each.version for each in usable}
        found = find_try(record, versions, self._clock.wall())
        if found is None:
            return
        task = asyncio.get_running_loop().create_task(
            self._claim(identity, found, self._store_sync)
        )
        self._claims[identity] = task
        task.add_done_callback(lambda _: self._claims.pop(identity, None))

    async def _claim(self, identity: str, wanted: CarefulTry, store_sync: CrashRecordSync) -> None:
        is_granted = await store_sync.claim_try(identity, wanted.reason)
        self._log.state(CrashTryClaimed(identity, wanted.reason, is_granted))
        if is_granted:
            self._granted_tries[identity] = wanted
            return
        # While this task runs, retries of the request start no further claim.
        await asyncio.sleep(_CLAIM_PAUSE_SECONDS)
