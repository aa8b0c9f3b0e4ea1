"""Builds the components of one daemon, connects them, and starts their threads."""

from __future__ import annotations

import queue
import secrets
import threading
from pathlib import Path

from kitekeel_backends.forwarding import Forwarder
from kitekeel_backends.load_probes import LoadProbes, ProbeTarget
from kitekeel_callers.caller_request import RequestLimits, RequestReader
from kitekeel_callers.entries import EntryLookups, EntryMachine, EntryTiming
from kitekeel_callers.front import CallerFront, HttpServer, ServerLimits
from kitekeel_callers.idempotency import IdempotentRequests
from kitekeel_callers.in_flight import InFlight
from kitekeel_callers.intake import Intake
from kitekeel_daemon.admissions import Admissions
from kitekeel_daemon.back_end_announcements import BackEndAnnouncements
from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_daemon.homes import HttpRelay, MemberHomes
from kitekeel_daemon.leaving_watch import LeavingWatch
from kitekeel_daemon.metrics import StatsdSender
from kitekeel_daemon.operations import DaemonOperations
from kitekeel_daemon.phase_report import PhaseReport
from kitekeel_daemon.platform_follower import Loop, PlatformFollower
from kitekeel_daemon.pool_exchanges import PoolExchanges
from kitekeel_daemon.queries import Queries
from kitekeel_daemon.request_guard import RequestGuard
from kitekeel_daemon.request_runner import RequestRunner
from kitekeel_operators.endpoints import create_operator_application
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.grant_exchanges import GrantExchanges
from kitekeel_peers.keeper import Keeper
from kitekeel_peers.keeper_choice import KeeperChoice, best_keeper
from kitekeel_peers.key_handover import KeyHandover
from kitekeel_peers.membership import Membership
from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState, describe_state
from kitekeel_peers.rpc import PeerClient, PeerServer, TlsFiles
from kitekeel_platform.client import PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_platform.key_claims import KeyClaims
from kitekeel_platform.rate_budget import RateBudget
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.events import EventLog, HybridClock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_table import HolderIdentity
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.home_tokens import HomeTokenSigner
from kitekeel_steering.key_table import KeyTable
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration
from kitekeel_steering.rendezvous import rank_nodes
from kitekeel_steering.settings import PeerSettings, Settings
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds

_WATCHERS_PER_ZONE = 2
_KEEPER_REVIEW_SECONDS = 0.5
_BUDGET_BURST_SECONDS = 5.0
_OPERATOR_THREADS = 6
# Fraction of the caller threads that may be occupied by waiting requests. The remaining threads
# serve running requests and look-ups.
_MAX_WAITING_SHARE = 0.8
_OPERATOR_LIMITS = ServerLimits(threads=_OPERATOR_THREADS, queued_connections=32)


class Daemon:
    """One kitekeel daemon: its components, servers and background threads.

    Args:
        settings: validated settings.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.instance = f"{settings.daemon.name}-{secrets.token_hex(4)}"
        self.stop_requested = threading.Event()
        self.metrics = MemoryMetrics()
        self._clock = SystemClock()
        self._timing = GrantTiming()
        self._stop_loops = threading.Event()
        hybrid_clock = HybridClock(self._clock)
        self.recorder = EventRecorder(EventLog(self.instance, hybrid_clock), self.instance)
        self._pulls: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._member_states: dict[str, str] = {}
        self._make_platform()
        self._make_peers(hybrid_clock)
        self._make_steering()
        self._make_callers()
        self._make_operators()

    def start(self) -> None:
        """Join the cluster, load the configuration, and start the servers and background loops."""
        self.peer_server.start()
        self._platform_follower.load_machines()
        self.membership.join()
        self._load_configuration()
        for loop in self._loops():
            self._start_loop(loop)
        self.operator_server.start()
        self.caller_server.start()
        # Look-ups may list this daemon only from here on: its caller port is now listening.
        self.membership.announce_phase(MemberPhase.SERVING)
        self.recorder.add("daemon-started", f"{self.settings.daemon.region} {self.instance}")

    def stop_loops(self) -> None:
        """Stop all servers and background loops."""
        # The caller server stops first: its last requests still need the loops, for example to get
        # slots.
        self.caller_server.stop()
        self._stop_loops.set()
        self.operator_server.stop()
        self.peer_server.stop()
        self.peer_client.close()

    def _make_platform(self) -> None:
        settings = self.settings.platform
        burst = settings.calls_per_second * _BUDGET_BURST_SECONDS
        budget = RateBudget(self._clock, settings.calls_per_second, burst)
        self._platform = PlatformClient(settings.address, budget, self.metrics)
        self._store = ConfigurationStore(self._platform)
        self._claims = KeyClaims(self._platform, self.instance, settings.claim_life_seconds)

    def _make_peers(self, hybrid_clock: HybridClock) -> None:
        settings = self.settings
        tls = _read_tls(settings.peers)
        self.peer_server = PeerServer(
            settings.peers.address, settings.peers.secret, self.metrics, tls
        )
        self.peer_client = PeerClient(settings.peers.secret, self.metrics, tls)
        self.spread = ConfigurationSpread(
            self.peer_client,
            settings.peers.advertised,
            self.instance,
            self._on_configuration,
            lambda cause: self.recorder.add("peer-document-unreadable", cause),
        )
        self.membership = Membership(
            self._own_record(),
            self.peer_client,
            self._clock,
            hybrid_clock,
            self.spread.progress,
            lambda progress: self._pulls.put(progress.address),
            self._on_member,
            self._seeds,
        )
        self.keeper = Keeper(self.instance, self._clock, self._timing, self.recorder.add)
        self.key_table = KeyTable(self._clock)
        self.handover = KeyHandover(self.key_table, self.peer_client, self.instance)
        self._platform_follower = PlatformFollower(
            self._platform,
            self._store,
            self.spread,
            self.keeper,
            self.recorder,
            self._is_zone_watcher,
            self._polls_machines,
        )
        self.guard = RequestGuard(self._clock, self.metrics, self.recorder)
        self.guard.share(self.peer_client, self.membership.table, self.peer_server)
        self.spread.register(self.peer_server)
        self.membership.register(self.peer_server)
        self.keeper.register(self.peer_server)
        self.handover.register(self.peer_server)

    def _make_steering(self) -> None:
        region = self.settings.daemon.region
        self._identity = HolderIdentity(self.instance, region, self.settings.daemon.place)
        self._unavailable = UnavailableBackEnds(self._clock)
        self.exchanges = PoolExchanges(region, self._make_exchanges, self._is_pool_idle)
        max_waiting = int(self.settings.callers.threads * _MAX_WAITING_SHARE)
        self.admissions = Admissions(
            self._identity,
            self._clock,
            self._timing,
            max_waiting,
            self.exchanges.ask,
            self._unavailable,
        )

    def _make_callers(self) -> None:
        settings = self.settings.callers
        forwarder = Forwarder()
        signer = HomeTokenSigner(self.settings.peers.secret.encode())
        runner = RequestRunner(
            self.spread.current,
            self.admissions.find,
            forwarder,
            self.metrics,
            self.guard,
            BackEndAnnouncements(self._unavailable, self.metrics, self.recorder),
        )
        idempotent = IdempotentRequests(
            signer,
            self.key_table,
            MemberHomes(self.membership, self.instance),
            self._claims,
            HttpRelay(forwarder),
            self._clock,
            self.settings.platform.claim_life_seconds,
        )
        limits = RequestLimits(largest_body=settings.largest_body)
        reader = RequestReader(limits, self.settings.daemon.region)
        report = PhaseReport(self.metrics, self.instance)
        intake = Intake(reader, runner, idempotent, self.metrics, report, self._is_leaving)
        lookups = EntryLookups(
            self._entry_machines,
            self.membership.table.digest,
            self.spread.current,
            self.settings.daemon.zone,
            signer,
            self._clock,
            EntryTiming(settings.max_age_seconds, settings.token_life_seconds),
            self.metrics,
        )
        self.in_flight = InFlight(CallerFront(lookups, intake))
        server_limits = ServerLimits(
            threads=settings.threads,
            largest_header=settings.largest_header,
            largest_body=settings.largest_body,
        )
        self.caller_server = HttpServer(settings.address, self.in_flight, server_limits)

    def _make_operators(self) -> None:
        queries = Queries(
            self.spread.current, self.membership, self.admissions, self.keeper, self.metrics
        )
        operations = DaemonOperations(
            self._store,
            self.spread,
            self.membership,
            queries,
            self.recorder,
            self.stop_requested,
        )
        application = create_operator_application(operations, self.settings.operators.key)
        self.operator_server = HttpServer(
            self.settings.operators.address, application, _OPERATOR_LIMITS
        )

    def _own_record(self) -> MemberRecord:
        settings = self.settings
        return MemberRecord(
            instance=self.instance,
            region=settings.daemon.region,
            zone=settings.daemon.zone,
            place=settings.daemon.place,
            peer_address=settings.peers.advertised,
            caller_address=settings.callers.advertised,
            operator_address=settings.operators.address,
        )

    def _loops(self) -> list[Loop]:
        probes = LoadProbes(self._probe_targets, self.keeper.note_report, self.keeper.note_refused)
        leaving = LeavingWatch(self.spread.current, self._unavailable, self._on_back_end_gone)
        sender = StatsdSender(self.metrics, self.settings.metrics, self.settings.daemon.name)
        return [
            self.membership.run,
            self.exchanges.run,
            *self._platform_follower.loops(),
            probes.run,
            sender.run,
            self.guard.run,
            leaving.run,
            self._run_pulls,
            self._run_keeper_review,
        ]

    def _start_loop(self, loop: Loop) -> None:
        name = getattr(loop, "__qualname__", "loop")
        threading.Thread(target=loop, args=(self._stop_loops,), name=name, daemon=True).start()

    def _load_configuration(self) -> None:
        """Adopt the newest configuration known to the peers or the platform."""
        while not self._pulls.empty():
            self.spread.pull(self._pulls.get())
        self._platform_follower.load_configuration()

    def _on_configuration(self, configuration: Configuration) -> None:
        self.recorder.add("configuration-adopted", f"revision {configuration.revision}")
        self.admissions.configure(configuration)
        self.keeper.configure(configuration)
        self.exchanges.configure(configuration)

    def _on_back_end_gone(self, name: str) -> None:
        self.recorder.add("back-end-gone", f"{name}, after it had announced its end")

    def _on_member(self, record: MemberRecord) -> None:
        state = describe_state(record)
        if self._member_states.get(record.instance) != state:
            self._member_states[record.instance] = state
            self.recorder.add("member-changed", f"{record.instance} is {state}")
        if record.state >= MemberState.DEAD:
            self.key_table.abandon(record.instance)

    def _seeds(self) -> list[str]:
        return [*self.settings.peers.seeds, *self._platform_follower.daemon_addresses()]

    def _is_zone_watcher(self) -> bool:
        """Return whether this daemon is one of its zone's few that watch the platform."""
        zone = self.settings.daemon.zone
        members = self.membership.live_in_region(self.settings.daemon.region)
        instances = [each.instance for each in members if each.zone == zone]
        return self.instance in rank_nodes(f"watch/{zone}", instances)[:_WATCHERS_PER_ZONE]

    def _polls_machines(self) -> bool:
        return bool(self.keeper.pools()) or self._is_zone_watcher()

    def _is_leaving(self) -> bool:
        return self.membership.table.own().phase is MemberPhase.LEAVING

    def _entry_machines(self) -> list[EntryMachine]:
        return [
            EntryMachine(each.instance, each.caller_address, each.region, each.zone)
            for each in self.membership.table.live()
            if each.is_serving
        ]

    def _make_exchanges(self, pool: PoolName) -> GrantExchanges:
        choice = KeeperChoice(
            pool, self._clock, self._timing, lambda: self.membership.live_in_region(pool.region)
        )
        return GrantExchanges(
            pool,
            self.admissions.find(pool.service),
            choice,
            self.keeper,
            self.instance,
            self.peer_client,
            self._timing,
            may_vote=pool.region == self.settings.daemon.region,
        )

    def _is_pool_idle(self, pool: PoolName, seconds: float) -> bool:
        return self.admissions.find(pool.service).is_idle(pool, seconds)

    def _probe_targets(self) -> list[ProbeTarget]:
        return [ProbeTarget(each.name, each.address) for each in self.keeper.kept_back_ends()]

    def _run_pulls(self, stop: threading.Event) -> None:
        """Fetch newer configurations announced by heartbeats, one at a time."""
        while not stop.is_set():
            try:
                self.spread.pull(self._pulls.get(timeout=_KEEPER_REVIEW_SECONDS))
            except queue.Empty:
                continue

    def _run_keeper_review(self, stop: threading.Event) -> None:
        while not stop.wait(_KEEPER_REVIEW_SECONDS):
            self.keeper.review(self._best_keeper, self.instance)

    def _best_keeper(self, pool: PoolName) -> str | None:
        """Return the instance that should be a pool's keeper.

        Other members that changed state only recently are not considered.
        """
        members = self.membership.live_in_region(pool.region)
        settled = [
            each
            for each in members
            if each.instance == self.instance
            or self.membership.table.seconds_in_state(each.instance) > self._timing.switch_seconds
        ]
        best = best_keeper(pool, settled)
        return best.instance if best is not None else None


def _read_tls(settings: PeerSettings) -> TlsFiles | None:
    if not settings.tls_certificate:
        return None
    return TlsFiles(
        Path(settings.tls_certificate_authority).read_bytes(),
        Path(settings.tls_certificate).read_bytes(),
        Path(settings.tls_key).read_bytes(),
    )
