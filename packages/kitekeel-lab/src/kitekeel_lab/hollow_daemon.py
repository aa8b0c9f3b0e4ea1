"""A hollow daemon: the real peer, membership, configuration and grant code over real sockets.

It has no callers' and back ends' sides, so that many fit into one process.
"""

from __future__ import annotations

import queue
import secrets
import threading
from concurrent import futures

import msgspec

from kitekeel_lab.deployment import PEER_SECRET, DaemonSpec
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.grant_exchanges import GrantExchanges
from kitekeel_peers.keeper import Keeper
from kitekeel_peers.keeper_choice import KeeperChoice
from kitekeel_peers.membership import Membership
from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.events import HybridClock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_table import HolderIdentity
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration

_PULL_POLL_SECONDS = 1.0


class HollowStatus(msgspec.Struct, frozen=True):
    """What a hollow daemon sees.

    Attributes:
        live: members it counts as alive.
        suspicions: members it suspected in all its life.
        pending_news: member records that it still passes on.
    """

    instance: str
    live: int
    revision: int
    suspicions: int
    pending_news: int
    counters: dict[str, int]


class HollowDaemon:
    """One hollow daemon.

    Args:
        spec: who it is.
        seeds: peer addresses to join through.
        workers: threads that answer calls, shared with the others of the process.
    """

    def __init__(
        self, spec: DaemonSpec, seeds: list[str], workers: futures.ThreadPoolExecutor
    ) -> None:
        self.spec = spec
        self.instance = f"{spec.name}-{secrets.token_hex(4)}"
        self._metrics = MemoryMetrics()
        self._clock = SystemClock()
        self._timing = GrantTiming()
        self._stop = threading.Event()
        self._suspicions = 0
        self._pulls: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._admissions: dict[str, ServiceAdmission] = {}
        self._server = PeerServer(spec.peer_address, PEER_SECRET, self._metrics, None, workers)
        self._client = PeerClient(PEER_SECRET, self._metrics)
        self._spread = ConfigurationSpread(
            self._client,
            spec.peer_address,
            self.instance,
            self._on_configuration,
            lambda _cause: self._metrics.increment("peers.unreadable_documents"),
        )
        self._membership = Membership(
            self._record(),
            self._client,
            self._clock,
            HybridClock(self._clock),
            self._spread.progress,
            lambda progress: self._pulls.put(progress.address),
            self._on_member,
            lambda: seeds,
        )
        self._keeper = Keeper(self.instance, self._clock, self._timing, lambda *_: None)
        self._spread.register(self._server)
        self._membership.register(self._server)
        self._keeper.register(self._server)

    def start(self) -> None:
        """Listen, join, and start the loops."""
        self._server.start()
        self._membership.join()
        self._membership.announce_phase(MemberPhase.SERVING)
        for loop in (self._membership.run, self._run_pulls):
            threading.Thread(target=loop, args=(self._stop,), daemon=True).start()

    def kill(self) -> None:
        """End without a word to the others."""
        self._stop.set()
        self._server.stop(0.0)
        self._client.close()

    def status(self) -> HollowStatus:
        """Return what it sees."""
        return HollowStatus(
            self.instance,
            len(self._membership.table.live()),
            self._spread.revision(),
            self._suspicions,
            self._membership.table.pending_update_count(),
            self._metrics.snapshot(),
        )

    def _record(self) -> MemberRecord:
        spec = self.spec
        return MemberRecord(
            self.instance,
            spec.region,
            spec.zone,
            spec.place,
            spec.peer_address,
            spec.caller_address,
            spec.operator_address,
        )

    def _on_member(self, record: MemberRecord) -> None:
        if record.state is MemberState.SUSPECT:
            self._suspicions += 1

    def _on_configuration(self, configuration: Configuration) -> None:
        self._keeper.configure(configuration)
        for service in configuration.services:
            pool = PoolName(service.name, self.spec.region)
            if service.name not in self._admissions and configuration.pool_back_ends(*_pair(pool)):
                self._start_exchanges(pool)
        for admission in self._admissions.values():
            admission.configure(configuration)

    def _start_exchanges(self, pool: PoolName) -> None:
        identity = HolderIdentity(self.instance, self.spec.region, self.spec.place)
        admission = ServiceAdmission(
            pool.service, identity, self._clock, self._timing, lambda _: None
        )
        self._admissions[pool.service] = admission
        choice = KeeperChoice(
            pool,
            self._clock,
            self._timing,
            lambda: self._membership.live_in_region(pool.region),
        )
        exchanges = GrantExchanges(
            pool,
            admission,
            choice,
            self._keeper,
            self.instance,
            self._client,
            self._timing,
            may_vote=True,
        )
        threading.Thread(target=exchanges.run, args=(self._stop,), daemon=True).start()

    def _run_pulls(self, stop: threading.Event) -> None:
        while not stop.is_set():
            try:
                self._spread.pull(self._pulls.get(timeout=_PULL_POLL_SECONDS))
            except queue.Empty:
                continue


def _pair(pool: PoolName) -> tuple[str, str]:
    return pool.service, pool.region
