"""Gossip-based membership with failure detection, after SWIM (Das et al., 2002).

Probes carry recent membership updates. This is not consensus: the views of daemons may differ
temporarily, so nothing that requires agreement may depend on it.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Iterable

import msgspec

from kitekeel_peers.member_table import ChangeListener, MemberTable
from kitekeel_peers.messages import (
    JoinReply,
    JoinRequest,
    MemberPhase,
    MemberRecord,
    MemberState,
    PeerProgress,
    ProbeReply,
    ProbeRequest,
)
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import PeerError
from kitekeel_steering.events import HybridClock
from kitekeel_steering.load_level import LoadLevel
from kitekeel_steering.progress import PartProgress

PROBE = "Probe"
JOIN = "Join"


class MembershipTiming(msgspec.Struct, frozen=True):
    """Intervals, timeouts and the number of indirect probes.

    Attributes:
        probe_interval_seconds: time between two probes by one daemon.
        suspicion_seconds: time that a suspected member has to refute the suspicion.
        seed_retry_interval_seconds: time between two attempts to join through a seed whose address
            no live member has.
        indirect_probes: how many other members are asked to probe an unresponsive one.
    """

    probe_interval_seconds: float = 0.5
    probe_timeout_seconds: float = 0.5
    suspicion_seconds: float = 3.0
    full_sync_interval_seconds: float = 10.0
    dead_probe_interval_seconds: float = 2.0
    join_timeout_seconds: float = 2.0
    seed_retry_interval_seconds: float = 10.0
    indirect_probes: int = 2


class Membership:
    """Maintains one daemon's view of the other daemons.

    Args:
        own: this daemon's record.
        client: calls other daemons.
        clock: measures the time since a suspicion began.
        hybrid_clock: timestamps messages.
        progress: returns how far this daemon knows each part of its state.
        on_peer_progress: called with the progress of each daemon that is ahead of this one or has
            conflicting state.
        on_change: called with each changed member record.
        seeds: returns the addresses to join through, from the settings and the machine list.
    """

    def __init__(
        self,
        own: MemberRecord,
        client: PeerClient,
        clock: Clock,
        hybrid_clock: HybridClock,
        progress: Callable[[], tuple[PartProgress, ...]],
        on_peer_progress: Callable[[PeerProgress], None],
        on_change: ChangeListener,
        seeds: Callable[[], Iterable[str]],
        timing: MembershipTiming | None = None,
    ) -> None:
        self.table = MemberTable(own, clock, on_change)
        self._client = client
        self._hybrid_clock = hybrid_clock
        self._progress = progress
        self._on_peer_progress = on_peer_progress
        self._seeds = seeds
        self._timing = timing or MembershipTiming()
        self._clock = clock
        self._probe_queue: list[str] = []
        self._random = random.Random(own.instance)
        self._last_full_sync = clock.monotonic()
        self._last_dead_probe = clock.monotonic()
        self._last_seed_retry = clock.monotonic()

    def register(self, server: PeerServer) -> None:
        """Register the RPC handlers."""
        server.register(PROBE, ProbeRequest, self._handle_probe)
        server.register(JOIN, JoinRequest, self._handle_join)

    def live_in_region(self, region: str) -> list[MemberRecord]:
        """Return the members of a region that are serving."""
        return [each for each in self.table.live() if each.region == region and each.is_serving]

    def resolve_home(self, instance: str) -> MemberRecord | None:
        """Return the live member responsible for an instance's keys: itself or its successor."""
        record = self.table.find(instance)
        seen: set[str] = set()
        while record is not None and record.successor and record.instance not in seen:
            seen.add(record.instance)
            record = self.table.find(record.successor)
        if record is None or record.state >= MemberState.DEAD:
            return None
        return record

    def announce_phase(self, phase: MemberPhase) -> None:
        """Announce this daemon's phase, which decides whether it receives new work."""
        self.table.change_own(phase=phase)
        self.probe_neighbours()

    def announce_load_level(self, level: LoadLevel) -> None:
        """Announce how loaded this daemon is, which decides how many callers are sent to it."""
        self.table.change_own(load_level=int(level))
        self.probe_neighbours()

    def announce_successor(self, successor: str) -> None:
        """Announce the instance that is responsible for this daemon's keys from now on."""
        self.table.change_own(successor=successor)
        self.probe_neighbours()

    def announce_left(self) -> None:
        """Announce that this daemon has stopped."""
        self.table.change_own(state=MemberState.LEFT)
        self.probe_neighbours()

    def probe_neighbours(self) -> None:
        """Probe every neighbour immediately, to send them the latest updates."""
        for record in self._neighbour_records():
            try:
                self._probe(record)
            except PeerError:
                continue

    def join(self) -> int:
        """Join through every seed that answers; return the number of these seeds."""
        answered = 0
        own = self.table.own()
        for address in sorted(set(self._seeds())):
            if address == own.peer_address:
                continue
            if self._join_through(address):
                answered += 1
        return answered

    def run(self, stop: threading.Event) -> None:
        """Probe neighbours in turn until stopped; rejoin while no other member is known."""
        while not stop.wait(self._timing.probe_interval_seconds):
            if len(self.table.live()) <= 1:
                self.join()
                continue
            self._probe_next()
            self._probe_dead_member()
            self._join_through_vacant_seed()
            self._expire_suspicions()
            self.table.forget_ended()

    def _probe_next(self) -> None:
        if not self._probe_queue:
            self._probe_queue = [each.instance for each in self._neighbour_records()]
            self._random.shuffle(self._probe_queue)
        if not self._probe_queue:
            return
        record = self.table.find(self._probe_queue.pop())
        if record is None or record.state >= MemberState.DEAD:
            return
        try:
            self._probe(record)
        except PeerError:
            if not self._probe_indirectly(record):
                self.table.set_state(record.instance, MemberState.SUSPECT)

    def _probe_dead_member(self) -> None:
        """Probe a random dead member, if the interval has passed.

        After a partition each side considers the other dead, and would otherwise never probe it
        again. The probe carries the record that declares the member dead, so that it can refute it.
        """
        now = self._clock.monotonic()
        if now - self._last_dead_probe < self._timing.dead_probe_interval_seconds:
            return
        dead = [each for each in self.table.all() if each.state is MemberState.DEAD]
        if not dead:
            return
        self._last_dead_probe = now
        record = self._random.choice(dead)
        try:
            self._probe(record, extra_updates=(record,))
        except PeerError:
            return

    def _join_through_vacant_seed(self) -> None:
        """Join through a random seed whose address no live member has, if the interval has passed.

        If all seeds are replaced at once, the new processes know only each other. The address of a
        member that has left is not probed, so that nobody else would meet them.
        """
        now = self._clock.monotonic()
        if now - self._last_seed_retry < self._timing.seed_retry_interval_seconds:
            return
        self._last_seed_retry = now
        live = {each.peer_address for each in self.table.live()}
        vacant = sorted(set(self._seeds()) - live)
        if vacant:
            self._join_through(self._random.choice(vacant), self._timing.probe_timeout_seconds)

    def _neighbour_records(self) -> list[MemberRecord]:
        live = {each.instance: each for each in self.table.live()}
        return [live[name] for name in neighbours(self.table.own().instance, live)]

    def _probe(
        self, record: MemberRecord, target: str = "", extra_updates: tuple[MemberRecord, ...] = ()
    ) -> ProbeReply:
        request = ProbeRequest(
            sender=self.table.own().instance,
            stamp=self._hybrid_clock.tick(),
            updates=(*extra_updates, *self.table.take_updates()),
            progress=self._progress(),
            digest=self.table.digest(),
            target=target,
        )
        # For an indirect probe, the helper probes the target before it answers.
        timeout = self._timing.probe_timeout_seconds * (2 if target else 1)
        reply = self._client.call(record.peer_address, PROBE, request, ProbeReply, timeout)
        self._hybrid_clock.observe(reply.stamp)
        self.table.merge(reply.updates)
        if reply.instance != record.instance:
            # Another process now uses this address, so the probed one has ended.
            self.table.set_state(record.instance, MemberState.DEAD)
            if self.table.find(reply.instance) is None:
                self._join_through(record.peer_address)
            return reply
        if record.state is MemberState.SUSPECT and not target:
            self._clear_suspicion(record)
        self._compare_state(record.peer_address, reply.progress, reply.digest)
        return reply

    def _clear_suspicion(self, record: MemberRecord) -> None:
        """Gossip the suspicion again, so that the member learns of it and refutes it."""
        self.table.merge([record])

    def _probe_indirectly(self, record: MemberRecord) -> bool:
        others = [
            each
            for each in self.table.live()
            if each.state is MemberState.ALIVE
            and each.instance not in (record.instance, self.table.own().instance)
        ]
        count = min(len(others), self._timing.indirect_probes)
        for helper in self._random.sample(others, count):
            try:
                if self._probe(helper, record.instance).reached:
                    return True
            except PeerError:
                continue
        return False

    def _expire_suspicions(self) -> None:
        for record in self.table.live():
            if record.state is not MemberState.SUSPECT:
                continue
            suspected_for = self.table.seconds_in_state(record.instance)
            if suspected_for <= self._timing.suspicion_seconds:
                continue
            if self.table.set_state(record.instance, MemberState.DEAD):
                self._client.forget(record.peer_address)

    def _note_progress(self, address: str, progress: tuple[PartProgress, ...]) -> None:
        theirs = PeerProgress(address, progress)
        own = self._progress()
        if theirs.parts_ahead_of(own) or theirs.conflicting_parts(own):
            self._on_peer_progress(theirs)

    def _compare_state(self, address: str, progress: tuple[PartProgress, ...], digest: int) -> None:
        self._note_progress(address, progress)
        since = self._clock.monotonic() - self._last_full_sync
        differs = digest != self.table.digest()
        if differs and since > self._timing.full_sync_interval_seconds:
            self._last_full_sync = self._clock.monotonic()
            self._join_through(address)

    def _join_through(self, address: str, timeout: float | None = None) -> bool:
        """Exchange all records with the daemon at an address; return whether it answered."""
        request = JoinRequest(self.table.own(), self._hybrid_clock.tick())
        timeout = timeout or self._timing.join_timeout_seconds
        try:
            reply = self._client.call(address, JOIN, request, JoinReply, timeout)
        except PeerError:
            return False
        self._last_full_sync = self._clock.monotonic()
        self._hybrid_clock.observe(reply.stamp)
        self.table.merge(reply.records, gossip=False)
        self._note_progress(address, reply.progress)
        return True

    def _handle_probe(self, request: ProbeRequest) -> ProbeReply:
        self._hybrid_clock.observe(request.stamp)
        self.table.merge(request.updates)
        sender = self.table.find(request.sender)
        if sender is not None:
            self._note_progress(sender.peer_address, request.progress)
        reached = not request.target or self._is_reachable(request.target)
        return ProbeReply(
            instance=self.table.own().instance,
            stamp=self._hybrid_clock.tick(),
            updates=(*self.table.take_updates(), *self._refutable_record(sender)),
            progress=self._progress(),
            digest=self.table.digest(),
            reached=reached,
        )

    def _refutable_record(self, sender: MemberRecord | None) -> tuple[MemberRecord, ...]:
        """Return the sender's record if it is not alive here, so that the sender can refute it."""
        if sender is None or sender.state is MemberState.ALIVE:
            return ()
        return (sender,)

    def _is_reachable(self, instance: str) -> bool:
        record = self.table.find(instance)
        if record is None:
            return False
        try:
            return self._probe(record).instance == instance
        except PeerError:
            return False

    def _handle_join(self, request: JoinRequest) -> JoinReply:
        self._hybrid_clock.observe(request.stamp)
        self.table.merge([request.record])
        # Includes ended members: a daemon that missed the update learns of their end only here.
        records = tuple(self.table.all())
        return JoinReply(records, self._progress(), self._hybrid_clock.tick())
