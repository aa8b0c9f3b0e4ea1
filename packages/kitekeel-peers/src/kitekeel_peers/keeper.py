"""The keeper's side of slot grants: one ledger for each pool that holders ask this daemon for."""

from __future__ import annotations

import threading
from collections.abc import Callable

import msgspec

from kitekeel_peers.rpc import PeerServer
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import PeerError
from kitekeel_steering.grant_messages import ExchangeReply, ExchangeRequest, PoolName
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.ledger import Ledger
from kitekeel_steering.load_reports import LoadReport
from kitekeel_steering.model import BackEnd, Configuration
from kitekeel_steering.pool_room import PoolRoom

EXCHANGE = "Exchange"

_UNUSED_SECONDS = 10.0
_RESIGNED_SECONDS = 3.0


class PoolStatus(msgspec.Struct, frozen=True):
    """A pool as its keeper sees it, in slots.

    Attributes:
        held_back: slots that holders unknown to a new keeper may still be using.
    """

    pool: PoolName
    authority: float
    room: int
    held_back: int
    in_use: int
    reserved: int


class Keeper:
    """Ledgers of the pools kept here; safe to call from many threads.

    A ledger begins with the first exchange that asks for its pool. It has no power before enough of
    the region's entry machines turn to it, so beginning one by mistake does no harm.

    Args:
        instance: this process start.
        clock: times grants.
        timing: lives and intervals of grants.
        on_event: called with a kind and a text for each change of state.
    """

    def __init__(
        self,
        instance: str,
        clock: Clock,
        timing: GrantTiming,
        on_event: Callable[[str, str], None],
    ) -> None:
        self._instance = instance
        self._clock = clock
        self._timing = timing
        self._on_event = on_event
        self._lock = threading.Lock()
        self._ledgers: dict[PoolName, Ledger] = {}
        self._last_asked: dict[PoolName, float] = {}
        self._resigned_at: dict[PoolName, float] = {}
        self._authority: dict[PoolName, float] = {}
        self._configuration = Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._stopping = False

    def register(self, server: PeerServer) -> None:
        """Serve exchanges."""
        server.register(EXCHANGE, ExchangeRequest, self.exchange)

    def configure(self, configuration: Configuration) -> None:
        """Take a configuration."""
        with self._lock:
            self._configuration = configuration
            self._configure_ledgers()

    def set_leaving(self, addresses: frozenset[str]) -> None:
        """Take the addresses that the machine list says are leaving."""
        with self._lock:
            if addresses != self._leaving:
                self._leaving = addresses
                self._configure_ledgers()

    def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Answer a holder.

        Raises:
            PeerError: the request is for a former process at this address. What that one granted is
                not known here, so its holders must wait it out like any silent keeper's.
        """
        if request.keeper != self._instance:
            raise PeerError(f"{request.keeper} is gone; this is {self._instance}")
        with self._lock:
            ledger = self._ledger(request.pool)
            self._last_asked[request.pool] = self._clock.monotonic()
            for name in ledger.room.note_results(request.results):
                self._on_event("back-end-ejected", f"{name}: its answers fail or are slow")
            reply = ledger.exchange(request)
            self._note_authority(request.pool, reply.authority)
            return reply

    def note_report(self, back_end: str, report: LoadReport) -> None:
        """Take in a back end's load report."""
        with self._lock:
            for ledger in self._ledgers_of(back_end):
                ledger.room.reports.note(back_end, report)

    def note_refused(self, back_end: str) -> None:
        """Take in that a back end refused the probe's connection."""
        with self._lock:
            for ledger in self._ledgers_of(back_end):
                if ledger.room.reports.note_refused(back_end):
                    self._on_event("back-end-down", f"{back_end}: refuses connections")

    def kept_back_ends(self) -> list[BackEnd]:
        """Return the back ends of all pools kept here."""
        with self._lock:
            return [
                back_end
                for ledger in self._ledgers.values()
                for back_end in ledger.room.back_ends()
            ]

    def pools(self) -> list[PoolStatus]:
        """Return the pools that this daemon has authority for."""
        with self._lock:
            return [
                _status(pool, ledger)
                for pool, ledger in self._ledgers.items()
                if ledger.authority() > 0
            ]

    def review(self, best_keeper: Callable[[PoolName], str | None], own: str) -> None:
        """Resign pools that another daemon should keep, and drop ledgers nobody asks for."""
        with self._lock:
            now = self._clock.monotonic()
            for pool in list(self._ledgers):
                resigned_at = self._resigned_at.get(pool)
                resigned = resigned_at is not None and now - resigned_at > _RESIGNED_SECONDS
                if resigned or now - self._last_asked[pool] > _UNUSED_SECONDS:
                    self._drop(pool)
                elif resigned_at is None and best_keeper(pool) not in (own, None):
                    self._resign(pool, now)

    def resign_all(self) -> None:
        """Resign every pool, because the daemon stops."""
        with self._lock:
            self._stopping = True
            for pool in self._ledgers:
                self._resign(pool, self._clock.monotonic())

    def _ledger(self, pool: PoolName) -> Ledger:
        ledger = self._ledgers.get(pool)
        if ledger is None:
            room = PoolRoom(pool, self._clock)
            ledger = Ledger(pool, self._clock, self._timing, room)
            ledger.configure(self._configuration, self._leaving)
            self._ledgers[pool] = ledger
            if self._stopping:
                ledger.resign()
        return ledger

    def _ledgers_of(self, back_end: str) -> list[Ledger]:
        return [each for each in self._ledgers.values() if each.room.slots(back_end)]

    def _configure_ledgers(self) -> None:
        for ledger in self._ledgers.values():
            ledger.configure(self._configuration, self._leaving)

    def _resign(self, pool: PoolName, now: float) -> None:
        self._ledgers[pool].resign()
        self._resigned_at[pool] = now
        self._on_event("keeper-resigned", str(pool))

    def _drop(self, pool: PoolName) -> None:
        del self._ledgers[pool]
        self._resigned_at.pop(pool, None)
        self._authority.pop(pool, None)

    def _note_authority(self, pool: PoolName, authority: float) -> None:
        if self._authority.get(pool, 0.0) != authority:
            self._authority[pool] = authority
            self._on_event("keeper-authority", f"{pool}: may grant {authority:g} of the pool")


def _status(pool: PoolName, ledger: Ledger) -> PoolStatus:
    names = [each.name for each in ledger.room.back_ends()]
    return PoolStatus(
        pool=pool,
        authority=ledger.authority(),
        room=ledger.total_room(),
        held_back=ledger.held_back(),
        in_use=sum(ledger.in_use(name) for name in names),
        reserved=sum(ledger.reserved(name) for name in names),
    )
