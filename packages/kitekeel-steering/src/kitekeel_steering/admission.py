"""Admission of one service in one daemon: grants slots, queues requests and refuses them.

Waiting requests share one queue, ordered by the urgency of their class and then by arrival. A
request is notified as soon as it is served, refused or displaced.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Iterable
from typing import ClassVar

import msgspec

from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import (
    DisplacedError,
    NoRoomError,
    NotRunError,
    QueueFullError,
    UnknownServiceError,
)
from kitekeel_steering.grant_messages import DemandKey, ExchangeReply, ExchangeRequest, PoolName
from kitekeel_steering.grant_table import GrantTable, HolderIdentity, SlotHold
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.model import Configuration, PriorityClass, Shift
from kitekeel_steering.placement import PoolOption, pool_options
from kitekeel_steering.recent_times import RecentTimes
from kitekeel_steering.shift_counter import ShiftCounter
from kitekeel_steering.shift_health import ShiftHealth
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds
from kitekeel_steering.waiter import ServedRate, Waiter

_MIN_RETRY_AFTER_SECONDS = 1.0


class PoolUse(msgspec.Struct, frozen=True):
    """Slots of one pool in this daemon, for status responses."""

    pool: PoolName
    held: int
    in_use: int


class ServiceAdmission:
    """Slots, queue and shifts of one service in one daemon; safe to call from many threads.

    Attributes:
        table_type: the class that manages the slots of one pool; a subclass may select slots by
            another rule.

    Args:
        service: the service's name.
        identity: identifies this daemon as the holder of the slots.
        clock: measures waits and grant lifetimes.
        timing: grant lifetimes and exchange intervals.
        on_demand: called with the lock held when slots of a pool should be requested soon; it must
            not block.
        unavailable: the back ends that must get no requests because of their own announcements.
    """

    table_type: ClassVar[type[GrantTable]] = GrantTable

    def __init__(
        self,
        service: str,
        identity: HolderIdentity,
        clock: Clock,
        timing: GrantTiming,
        on_demand: Callable[[PoolName], None],
        unavailable: UnavailableBackEnds | None = None,
    ) -> None:
        self._unavailable = unavailable or UnavailableBackEnds(clock)
        self.service = service
        self._identity = identity
        self._clock = clock
        self._timing = timing
        self._on_demand = on_demand
        self._lock = threading.RLock()
        self._configuration = Configuration()
        self._queue_share = 1.0
        self._drained: frozenset[str] = frozenset()
        self._tables: dict[PoolName, GrantTable] = {}
        self._shifts: dict[str, ShiftCounter] = {}
        self._shift_health: dict[str, ShiftHealth] = {}
        self._waiters: list[Waiter] = []
        self._rates: dict[str, ServedRate] = {}
        self._recent_times: dict[str, RecentTimes] = {}
        self._order = itertools.count()

    def configure(self, configuration: Configuration, queue_share: float = 1.0) -> None:
        """Apply a configuration; drained back ends get no more requests.

        Args:
            configuration: the current configuration.
            queue_share: part of each class's queue places for which this daemon has threads.
        """
        with self._lock:
            self._queue_share = queue_share
            self._configuration = configuration
            self._drained = frozenset(
                each.name for each in configuration.back_ends if configuration.is_drained(each)
            )
            self._update_shifts(configuration.shifts)

    def acquire(
        self,
        class_name: str,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
        previous_hold: SlotHold | None = None,
        least_seconds: float = 0.0,
    ) -> SlotHold:
        """Return a slot for a request, waiting for one while it can still be answered in time.

        A request that gets a slot immediately may use all of its remaining time. A request that
        waits does so until its remaining time falls to the 96th percentile of the recent answer
        times of its class.

        Args:
            class_name: the request's priority class.
            deadline: monotonic time.
            excluded: back ends that must not be chosen, such as those that already failed it.
            previous_hold: the slot of the previous attempt, if this is a retry. A retry keeps its
                order of arrival and is not refused because of a full queue.
            least_seconds: minimum remaining time for which a slot is still useful.

        Raises:
            NotRunError: a subclass that states the reason and when to retry.
        """
        with self._lock:
            if self._clock.monotonic() > deadline - least_seconds:
                raise NoRoomError("too little time is left", _MIN_RETRY_AFTER_SECONDS)
            waiter = self._enqueue(class_name, excluded, previous_hold)
            self._serve()
            latest_start = deadline - max(least_seconds, self._times_of(class_name).slow_seconds())
            if waiter.hold is None and waiter.refusal is None:
                waiter.latest_start = latest_start
                self._refuse_if_too_late(waiter, latest_start)
        if waiter.hold is None and waiter.refusal is None:
            self._wait(waiter, latest_start)
        with self._lock:
            self._remove_from_queue(waiter)
            self._release_if_late(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        if waiter.hold is None:
            raise self._no_room(waiter.priority_class)
        return waiter.hold

    def _release_if_late(self, waiter: Waiter) -> None:
        """Release a slot if the request's thread woke up too late to use it.

        With too little processor time, a thread may wake up seconds after the slot was assigned.
        """
        hold = waiter.hold
        if hold is not None and self._clock.monotonic() > waiter.latest_start:
            waiter.hold = None
            self.release(hold)

    def release(self, hold: SlotHold) -> None:
        """Release a slot and assign it to the next request in the queue."""
        with self._lock:
            self._tables[hold.pool].release(hold)
            self._serve()

    def try_start(self, hold: SlotHold) -> bool:
        """Return whether a request may be sent with a taken slot now.

        The grant may have ended since, or the back end may have been drained or be unavailable.
        :meth:`note_result` must follow if it may be sent.
        """
        with self._lock:
            is_usable = self._tables[hold.pool].may_start() and hold.back_end not in self._drained
            return is_usable and self._unavailable.try_start(hold.back_end)

    def note_result(self, hold: SlotHold, succeeded: bool, seconds: float) -> None:
        """Record a back end's answer; pause the ramps of shifts whose target is unhealthy."""
        with self._lock:
            self._unavailable.note_ended(hold.back_end)
            self._tables[hold.pool].note_result(hold.back_end, succeeded, seconds)
            if succeeded and seconds > 0:
                self._times_of(hold.key.priority_class).note(seconds)
            now = self._clock.monotonic()
            for name, counter in self._shifts.items():
                moved = hold.key.shift == name
                if moved or hold.pool.region == counter.shift.source:
                    health = self._shift_health[name]
                    counter.hold(health.note(moved, succeeded, seconds, now))

    def prepare_exchange(
        self, pool: PoolName, after_silence: bool, voting: bool, echo: float
    ) -> ExchangeRequest:
        """Build the next request to a pool's keeper."""
        with self._lock:
            return self._table(pool).prepare_exchange(after_silence, voting, echo)

    def apply_reply(self, pool: PoolName, reply: ExchangeReply) -> None:
        """Apply a keeper's grants and assign the granted slots to waiting requests."""
        with self._lock:
            if self._table(pool).apply_reply(reply):
                self._serve()

    def pools(self) -> list[PoolUse]:
        """Return the slot use of each pool that this daemon has used."""
        with self._lock:
            return [
                PoolUse(pool, table.held(), table.in_use()) for pool, table in self._tables.items()
            ]

    def is_idle(self, pool: PoolName, seconds: float) -> bool:
        """Return whether a pool has been unused for longer than the given time."""
        with self._lock:
            table = self._table(pool)
            unused = self._clock.monotonic() - table.last_used_at
            return unused > seconds and table.in_use() == 0

    def has_unmet_demand(self, pool: PoolName) -> bool:
        """Return whether requests are waiting for slots of a pool."""
        with self._lock:
            return self._table(pool).has_unmet_demand()

    def waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each class."""
        with self._lock:
            counts: dict[str, int] = {}
            for waiter in self._waiters:
                name = waiter.priority_class.name
                counts[name] = counts.get(name, 0) + 1
            return counts

    def shift_counts(self) -> dict[str, tuple[int, int, float]]:
        """Return the eligible requests, moved requests and current share of each shift."""
        with self._lock:
            return {
                name: (each.eligible, each.moved, each.share())
                for name, each in self._shifts.items()
            }

    def _update_shifts(self, shifts: Iterable[Shift]) -> None:
        mine = {each.name: each for each in shifts if each.service == self.service}
        for name in list(self._shifts):
            if name not in mine:
                del self._shifts[name]
                del self._shift_health[name]
        for name, shift in mine.items():
            if name in self._shifts:
                self._shifts[name].update(shift)
            else:
                self._shifts[name] = ShiftCounter(shift, self._clock)
                self._shift_health[name] = ShiftHealth()

    def _enqueue(
        self, class_name: str, excluded: frozenset[str], previous_hold: SlotHold | None
    ) -> Waiter:
        service = self._configuration.find_service(self.service)
        priority_class = service.find_class(class_name) if service else None
        if priority_class is None:
            raise UnknownServiceError(f"no service '{self.service}' with class '{class_name}'")
        options = pool_options(self._configuration, self.service, self._identity.region, class_name)
        if not options:
            raise NoRoomError(f"every back end of '{self.service}' is drained", 5.0)
        self._refuse_if_unavailable()
        if previous_hold is None:
            self._ensure_queue_place(priority_class)
        order = next(self._order) if previous_hold is None else previous_hold.queue_order
        options = self._with_shift(options, previous_hold)
        waiter = Waiter(priority_class, order, options, excluded, self._clock.monotonic())
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda each: each.position)
        return waiter

    def _refuse_if_unavailable(self) -> None:
        """Refuse a request immediately if no back end may be sent requests for a while."""
        names = {
            each.name
            for each in self._configuration.back_ends
            if each.service == self.service and each.name not in self._drained
        }
        seconds = self._unavailable.seconds_until_usable(names)
        if names and seconds != 0.0:
            retry_after = _MIN_RETRY_AFTER_SECONDS if seconds is None else seconds
            text = f"every back end of '{self.service}' is about to stop or has requested a pause"
            raise NoRoomError(text, retry_after)

    def _ensure_queue_place(self, priority_class: PriorityClass) -> None:
        """Ensure a queue place, displacing a request of a less urgent class if that is allowed."""
        names = {priority_class.name, *priority_class.pushes_aside}
        waiting = [each for each in self._waiters if each.priority_class.name in names]
        own = sum(each.priority_class.name == priority_class.name for each in waiting)
        if own < self._queue_places(priority_class):
            return
        last = waiting[-1] if waiting else None
        if last is None or last.priority_class.name == priority_class.name:
            wait = self._estimated_wait(priority_class)
            raise QueueFullError("the queue of the class is full", max(1.0, wait))
        self._refuse(last, DisplacedError("displaced by a more urgent request", 2.0))

    def _queue_places(self, priority_class: PriorityClass) -> int:
        if not priority_class.queue_places:
            return 0
        return max(1, int(priority_class.queue_places * self._queue_share))

    def _with_shift(
        self, options: tuple[PoolOption, ...], previous_hold: SlotHold | None
    ) -> tuple[PoolOption, ...]:
        """Put a shift's target first if the shift moves this request."""
        source = options[0].pool.region
        for counter in self._shifts.values():
            shift = counter.shift
            if shift.source != source:
                continue
            moves = counter.note_eligible() if previous_hold is None else counter.has_turn()
            if not moves:
                continue
            key = DemandKey(options[0].key.priority_class, shift.name)
            target = PoolOption(PoolName(self.service, shift.target), key, 0.0)
            return (target, *options)
        return options

    def _serve(self) -> None:
        """Assign free slots to waiting requests, the most urgent first."""
        now = self._clock.monotonic()
        asked: set[PoolName] = set()
        excluded = self._drained | self._unavailable.excluded()
        for waiter in list(self._waiters):
            if waiter.hold is not None or waiter.refusal is not None:
                continue
            if now > waiter.latest_start:
                # The request's thread has not timed out yet, but could no longer use the slot.
                self._refuse(waiter, self._no_room(waiter.priority_class))
                continue
            self._try_options(waiter, now, asked, excluded)
        self._waiters = [each for each in self._waiters if not each.decided.is_set()]
        for pool in asked:
            self._on_demand(pool)

    def _try_options(
        self, waiter: Waiter, now: float, asked: set[PoolName], excluded: frozenset[str]
    ) -> None:
        waited = now - waiter.arrived_at
        for index, option in enumerate(waiter.options):
            if waited < option.after_seconds:
                continue
            if option.key.shift and not self._may_move(option.key.shift):
                continue
            table = self._table(option.pool)
            hold = table.try_take(option.key, waiter.excluded, excluded)
            if hold is not None:
                self._assign(waiter, hold, now)
                return
            if index not in waiter.noted:
                waiter.noted.add(index)
                table.note_waiting(option.key, 1)
                asked.add(option.pool)

    def _may_move(self, shift: str) -> bool:
        """Check the counter again, as several waiting requests may have got the same turn."""
        counter = self._shifts.get(shift)
        return counter is not None and counter.has_turn()

    def _assign(self, waiter: Waiter, hold: SlotHold, now: float) -> None:
        waiter.hold = msgspec.structs.replace(hold, queue_order=waiter.order)
        counter = self._shifts.get(hold.key.shift)
        if counter is not None:
            counter.note_moved()
        self._rates.setdefault(waiter.priority_class.name, ServedRate()).note(now)
        self._stop_counting_as_waiting(waiter)
        waiter.decided.set()

    def _refuse(self, waiter: Waiter, refusal: NotRunError) -> None:
        waiter.refusal = refusal
        self._stop_counting_as_waiting(waiter)
        waiter.decided.set()
        self._waiters.remove(waiter)

    def _times_of(self, class_name: str) -> RecentTimes:
        return self._recent_times.setdefault(class_name, RecentTimes())

    def _refuse_if_too_late(self, waiter: Waiter, latest_start: float) -> None:
        """Refuse a request immediately if its estimated wait exceeds the time it has left."""
        wait = self._estimated_wait(waiter.priority_class, waiter)
        remaining = latest_start - self._clock.monotonic()
        if wait > remaining:
            retry_after = max(_MIN_RETRY_AFTER_SECONDS, wait - remaining)
            self._refuse(
                waiter, NoRoomError("the estimated wait exceeds the deadline", retry_after)
            )

    def _estimated_wait(self, priority_class: PriorityClass, waiter: Waiter | None = None) -> float:
        """Estimate the seconds until a waiter, by default the last of its class, is served."""
        rate = self._rates.get(priority_class.name)
        if rate is None or rate.per_second <= 0:
            return 0.0
        orders = [
            each.order for each in self._waiters if each.priority_class.name == priority_class.name
        ]
        ahead = len(orders) - 1 if waiter is None else sum(each < waiter.order for each in orders)
        return max(0, ahead) / rate.per_second

    def _wait(self, waiter: Waiter, latest_start: float) -> None:
        """Wait for a decision, retrying whenever another region becomes eligible."""
        for option in waiter.options:
            if option.after_seconds <= 0:
                continue
            eligible_at = waiter.arrived_at + option.after_seconds
            if eligible_at >= latest_start:
                break
            if waiter.decided.wait(max(0.0, eligible_at - self._clock.monotonic())):
                return
            with self._lock:
                self._serve()
        waiter.decided.wait(max(0.0, latest_start - self._clock.monotonic()))

    def _remove_from_queue(self, waiter: Waiter) -> None:
        """Remove the request from the queue; the caller holds the lock, so that no slot is lost."""
        self._stop_counting_as_waiting(waiter)
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def _stop_counting_as_waiting(self, waiter: Waiter) -> None:
        for index in waiter.noted:
            option = waiter.options[index]
            self._table(option.pool).note_waiting(option.key, -1)
        waiter.noted.clear()

    def _no_room(self, priority_class: PriorityClass) -> NoRoomError:
        retry_after = max(_MIN_RETRY_AFTER_SECONDS, self._estimated_wait(priority_class))
        return NoRoomError("no region had a free slot before the deadline", retry_after)

    def _table(self, pool: PoolName) -> GrantTable:
        table = self._tables.get(pool)
        if table is None:
            table = self.table_type(pool, self._identity, self._clock, self._timing)
            self._tables[pool] = table
        return table
