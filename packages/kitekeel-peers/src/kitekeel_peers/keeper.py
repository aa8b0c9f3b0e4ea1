"""The keeper's side of slot grants: one ledger for each pool that holders request slots of."""

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

_UNUSED_LEDGER_SECONDS = 10.0
_RESIGNED_LEDGER_SECONDS = 3.0


class PoolStatus(msgspec.Struct, frozen=True):
    """A pool from its keeper's point of view, in slots.

    Attributes:
        held_back: slots that may still be used by holders that a new keeper does not know.
    """

    pool: PoolName
    authority: float
    room: int
    held_back: int
    in_use: int
    reserved: int


class Keeper:
    """Manages the ledgers of the pools kept by this daemon; thread-safe.

    A ledger is created by the first exchange for its pool. It has no authority to grant slots until
    enough of the region's entry machines vote for it, so creating one by mistake is harmless.

    Args:
        instance: unique for this process start.
        clock: measures the lifetime of grants.
        timing: lifetimes and intervals of grants.
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
        self._last_request_at: dict[PoolName, float] = {}
        self._resigned_at: dict[PoolName, float] = {}
        self._authority: dict[PoolName, float] = {}
        self._configuration = Configuration()
        self._leaving: frozenset[str] = frozenset()
        self._stopping = False

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        server.register(EXCHANGE, ExchangeRequest, self.exchange)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration to all ledgers."""
        with self._lock:
            self._configuration = configuration
            self._configure_ledgers()

    def set_leaving(self, addresses: frozenset[str]) -> None:
        """Set the addresses that are leaving according to the machine list."""
        with self._lock:
            if addresses != self._leaving:
                self._leaving = addresses
                self._configure_ledgers()

    def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Handle a holder's request.

        Raises:
            PeerError: the request is for a former process at this address. The grants of that
                process are unknown here, so its holders must wait until they expire, as they do for
                any keeper that does not answer.
        """
        if request.keeper != self._instance:
            raise PeerError(f"{request.keeper} is gone; this is {self._instance}")
        with self._lock:
            ledger = self._ledger(request.pool)
            self._last_request_at[request.pool] = self._clock.monotonic()
            for name in ledger.room.note_results(request.results):
                self._on_event("back-end-ejected", f"{name}: its answers fail or are slow")
            reply = ledger.exchange(request)
            self._note_authority(request.pool, reply.authority)
            return reply

    def note_report(self, back_end: str, report: LoadReport) -> None:
        """Record a back end's load report."""
        with self._lock:
            for ledger in self._ledgers_of(back_end):
                ledger.room.reports.note(back_end, report)

    def note_refused(self, back_end: str) -> None:
        """Record that a back end refused the connection of a probe."""
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
        """Return the status of the pools that this daemon has authority for."""
        with self._lock:
            return [
                _status(pool, ledger)
                for pool, ledger in self._ledgers.items()
                if ledger.authority() > 0
            ]

    def review(self, best_keeper: Callable[[PoolName], str | None], own: str) -> None:
        """Resign pools that another daemon should keep, and remove unused ledgers."""
        with self._lock:
            now = self._clock.monotonic()
            for pool in list(self._ledgers):
                resigned_at = self._resigned_at.get(pool)
                resigned = resigned_at is not None and now - resigned_at > _RESIGNED_LEDGER_SECONDS
                if resigned or now - self._last_request_at[pool] > _UNUSED_LEDGER_SECONDS:
                    self._remove(pool)
                elif resigned_at is None and best_keeper(pool) not in (own, None):
                    self._resign(pool, now)

    def resign_all(self) -> None:
        """Resign every pool, because the daemon is stopping."""
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

    def _remove(self, pool: PoolName) -> None:
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
        held_back=ledger.withheld_slots(),
        in_use=sum(ledger.in_use(name) for name in names),
        reserved=sum(ledger.reserved(name) for name in names),
    )
