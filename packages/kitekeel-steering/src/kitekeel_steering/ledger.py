"""The keeper's ledger of one pool: how many slots of each back end each holder may use.

Invariant: the ledger never makes a grant that raises the total of reserved slots of a back end
above its room. A reservation outlives its grant by the service's longest run time, because a holder
that stopped responding may still have work running on the slot.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kitekeel_steering.class_allocation import allocate_classes, max_slots
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import (
    Allowance,
    Demand,
    DemandKey,
    ExchangeReply,
    ExchangeRequest,
    KeeperState,
    PoolName,
    Quota,
)
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.keeper_votes import KeeperVotes
from kitekeel_steering.model import Configuration, Service
from kitekeel_steering.pool_room import PoolRoom

_NETWORK_DELAY_SECONDS = 0.25


class _Holder(msgspec.Struct):
    """The ledger's record of one holder."""

    origin_region: str
    place: int
    sequence: int
    expires_at: float
    reserved: dict[str, int]
    in_use: dict[str, int]
    demands: dict[DemandKey, Demand]
    quotas: dict[DemandKey, int]


class Ledger:
    """Grants the slots of one pool.

    Not thread-safe: the keeper calls it under its own lock.

    Args:
        pool: the pool's name.
        clock: the keeper's clock; the ledger uses no other machine's time.
        timing: grant lifetimes and exchange intervals.
        room: computes how many slots of each back end may be in use.
    """

    def __init__(self, pool: PoolName, clock: Clock, timing: GrantTiming, room: PoolRoom) -> None:
        self.pool = pool
        self.room = room
        self.votes = KeeperVotes(clock, timing.vote_freshness_seconds)
        self._clock = clock
        self._timing = timing
        self._holders: dict[str, _Holder] = {}
        self._service: Service | None = None
        self._configuration = Configuration()
        self._places = 1
        self._term_started_at = 0.0
        self._term_authority = 0.0
        self._resigned = False

    def configure(self, configuration: Configuration, leaving: frozenset[str]) -> None:
        """Apply a configuration and the addresses of the machines that are leaving."""
        self._configuration = configuration
        self._service = configuration.find_service(self.pool.service)
        region = configuration.find_region(self.pool.region)
        self._places = region.entry_machines if region else 1
        self.room.configure(configuration, leaving)

    def resign(self) -> None:
        """Stop granting, and direct holders to the next keeper."""
        self._resigned = True

    def exchange(self, request: ExchangeRequest) -> ExchangeReply:
        """Renew a holder's grants and adjust them to its demand."""
        if self._resigned:
            return self._reply(request, KeeperState.RESIGNED, (), ())
        self.votes.note(request.place, request.echo, request.after_silence)
        self._remove_expired_holders()
        authority = self._update_term()
        holder = self._update_holder(request)
        if holder.sequence != request.sequence:
            return self._reply(request, KeeperState.GRANTING, (), ())
        if authority <= 0.0:
            # Renewing a grant of another keeper would extend it past that keeper's reservation.
            return self._reply(request, KeeperState.NO_AUTHORITY, (), ())
        self._grant(holder, request, authority)
        allowances = self._allowances(holder, authority)
        quotas = tuple(Quota(key, slots) for key, slots in holder.quotas.items())
        return self._reply(request, KeeperState.GRANTING, allowances, quotas)

    def authority(self) -> float:
        """Return the share of the pool that this keeper may grant."""
        return self.votes.authority(self._places)

    def reserved(self, back_end: str) -> int:
        """Return how many slots of a back end are reserved for holders."""
        return sum(each.reserved.get(back_end, 0) for each in self._holders.values())

    def in_use(self, back_end: str) -> int:
        """Return how many slots of a back end are in use, as last reported by the holders."""
        return sum(each.in_use.get(back_end, 0) for each in self._holders.values())

    def total_room(self) -> int:
        """Return the room of all back ends of the pool together."""
        return sum(self._room_of(each.name) for each in self.room.back_ends())

    def withheld_slots(self) -> int:
        """Return how many slots are withheld for holders that a new keeper does not know yet."""
        names = [each.name for each in self.room.back_ends()]
        return sum(self._withheld_slots(name, self.reserved(name)) for name in names)

    def _reply(
        self,
        request: ExchangeRequest,
        state: KeeperState,
        allowances: tuple[Allowance, ...],
        quotas: tuple[Quota, ...],
    ) -> ExchangeReply:
        return ExchangeReply(
            request.sequence,
            state,
            allowances,
            quotas,
            self.authority(),
            self._clock.monotonic(),
        )

    def _remove_expired_holders(self) -> None:
        now = self._clock.monotonic()
        expired = [
            name
            for name, holder in self._holders.items()
            if now > holder.expires_at + self._longest_run_seconds()
        ]
        for name in expired:
            del self._holders[name]

    def _longest_run_seconds(self) -> float:
        """Return how long work sent at the end of a grant may run, including its network delay."""
        longest = self._service.longest_run_seconds if self._service else 0.0
        return longest + _NETWORK_DELAY_SECONDS

    def _update_term(self) -> float:
        """Return the current authority, starting a new term whenever it increases.

        Slots that another keeper may have granted are withheld at the start of a term, so a new
        term must also start when the authority increases from half to the whole pool.
        """
        authority = self.authority()
        if authority > self._term_authority:
            self._term_started_at = self._clock.monotonic()
        self._term_authority = authority
        return authority

    def _update_holder(self, request: ExchangeRequest) -> _Holder:
        expires_at = self._clock.monotonic() + self._timing.grant_life_seconds
        holder = self._holders.get(request.holder)
        if holder is None:
            holder = _Holder(request.origin_region, request.place, 0, 0.0, {}, {}, {}, {})
            self._holders[request.holder] = holder
        if request.sequence <= holder.sequence:
            return holder
        # A claim exceeds the reservation only if this keeper is new to the holder or the
        # reservation expired. The holder already has those slots, so the claim is always accepted.
        holder.reserved = {each.back_end: each.kept for each in request.claims if each.kept}
        holder.in_use = {each.back_end: each.in_use for each in request.claims if each.in_use}
        holder.demands = {each.key: each for each in request.demands}
        holder.sequence = request.sequence
        holder.expires_at = expires_at
        return holder

    def _grant(self, holder: _Holder, request: ExchangeRequest, authority: float) -> None:
        free = self._free_by_back_end(authority)
        used = {quota.key: quota.slots for quota in request.key_use}
        holder.quotas = self._compute_quotas(holder, used, authority, sum(free.values()))
        wanted = sum(holder.quotas.values()) - sum(holder.reserved.values())
        for name in _pick_back_ends(free, wanted):
            holder.reserved[name] = holder.reserved.get(name, 0) + 1

    def _allowances(self, holder: _Holder, authority: float) -> tuple[Allowance, ...]:
        """Return the slots that the holder may use: its reservation without any excess over room.

        The reservation itself is kept until the holder's next claim shows that it gave slots back.
        """
        allowances: list[Allowance] = []
        for name, slots in holder.reserved.items():
            room = int(self._room_of(name) * authority)
            excess = max(0, self.reserved(name) - room)
            if slots > excess:
                allowances.append(Allowance(name, slots - excess))
        return tuple(allowances)

    def _free_by_back_end(self, authority: float) -> dict[str, int]:
        free: dict[str, int] = {}
        if authority <= 0.0:
            return free
        for back_end in self.room.back_ends():
            reserved = self.reserved(back_end.name)
            room = int(self._room_of(back_end.name) * authority)
            slots = room - reserved - self._withheld_slots(back_end.name, reserved)
            if slots > 0:
                free[back_end.name] = slots
        return free

    def _room_of(self, back_end: str) -> int:
        return self.room.room(back_end, self.in_use(back_end))

    def _withheld_slots(self, back_end: str, reserved: int) -> int:
        """Return how many slots holders unknown to a new keeper may still be using.

        They are withheld for the longest run time. A load report that was measured after the last
        grant of the previous keeper ended, allowing for the report's lag, shows earlier how many
        are actually in use.
        """
        age = self._clock.monotonic() - self._term_started_at
        unknown = max(0, self.room.slots(back_end) - reserved)
        previous_grant_seconds = self._previous_grant_seconds()
        if age < previous_grant_seconds:
            return unknown
        if age >= previous_grant_seconds + self._longest_run_seconds():
            return 0
        trusted_from = (
            self._term_started_at + previous_grant_seconds + self._timing.report_lag_seconds
        )
        running = self.room.reports.running_since(back_end, trusted_from)
        if running is None:
            return unknown
        return min(unknown, max(0, running - self.in_use(back_end)))

    def _previous_grant_seconds(self) -> float:
        """Return how long grants of another keeper may remain valid after the start of the term.

        They have already expired if every voter switched only after its previous keeper timed out.
        """
        if self.votes.all_after_silence():
            return 0.0
        return self._timing.grant_life_seconds

    def _compute_quotas(
        self, holder: _Holder, used: dict[DemandKey, int], authority: float, free: int
    ) -> dict[DemandKey, int]:
        if self._service is None:
            return {}
        classes = self._service.classes
        room = int(self.total_room() * authority)
        needed = self._needed_by_class()
        allocation = allocate_classes(room, classes, needed)
        quotas: dict[DemandKey, int] = {}
        for priority_class in classes:
            for key, demand in holder.demands.items():
                if key.priority_class != priority_class.name:
                    continue
                total = max(1, needed[key.priority_class])
                fair = -(-allocation[key.priority_class] * demand.needed // total)
                limit = self._limit(holder, key, allocation[key.priority_class])
                quotas[key] = max(used.get(key, 0), min(demand.needed, fair, limit))
        self._add_spare_slots(holder, quotas, room, free)
        return quotas

    def _needed_by_class(self) -> dict[str, int]:
        needed: dict[str, int] = {}
        for holder in self._holders.values():
            for key, demand in holder.demands.items():
                needed[key.priority_class] = needed.get(key.priority_class, 0) + demand.needed
        return needed

    def _limit(self, holder: _Holder, key: DemandKey, class_slots: int) -> int:
        """Return the most slots for a key within the limits of its class, shift and link."""
        limits = [class_slots - self._quota_of_others(holder, _class_filter(key))]
        shift = next((each for each in self._configuration.shifts if each.name == key.shift), None)
        if shift is not None and shift.slot_cap:
            limits.append(shift.slot_cap - self._quota_of_others(holder, _shift_filter(key)))
        link_limit = self._link_limit(holder.origin_region)
        if link_limit is not None:
            limits.append(link_limit - self._origin_quota(holder))
        return max(0, min(limits))

    def _link_limit(self, origin_region: str) -> int | None:
        """Return this pool's part of a link's limit, which is divided evenly between services."""
        link = self._configuration.find_link(origin_region, self.pool.region)
        if origin_region == self.pool.region or link is None or not link.request_limit:
            return None
        return link.request_limit // max(1, len(self._configuration.services))

    def _quota_of_others(self, holder: _Holder, matches: _KeyFilter) -> int:
        return sum(
            slots
            for other in self._holders.values()
            if other is not holder
            for key, slots in other.quotas.items()
            if matches(key)
        )

    def _origin_quota(self, holder: _Holder) -> int:
        return sum(
            sum(other.quotas.values())
            for other in self._holders.values()
            if other is not holder and other.origin_region == holder.origin_region
        )

    def _add_spare_slots(
        self, holder: _Holder, quotas: dict[DemandKey, int], room: int, free: int
    ) -> None:
        """Add slots that no holder needs; they are given back when another holder needs them."""
        if self._service is None:
            return
        missing = sum(quotas.values()) - sum(holder.reserved.values())
        spare = (free - max(0, missing)) // max(1, len(self._holders))
        for key, demand in holder.demands.items():
            priority_class = self._service.find_class(key.priority_class)
            if spare <= 0 or priority_class is None or key.shift:
                continue
            limit = self._limit(holder, key, max_slots(room, priority_class)) - quotas[key]
            added = max(0, min(demand.spare, spare, limit))
            quotas[key] += added
            spare -= added


class _KeyFilter(msgspec.Struct, frozen=True):
    """Predicate that matches the demand keys of one class or one shift."""

    priority_class: str = ""
    shift: str = ""

    def __call__(self, key: DemandKey) -> bool:
        if self.shift:
            return key.shift == self.shift
        return key.priority_class == self.priority_class


def _class_filter(key: DemandKey) -> _KeyFilter:
    return _KeyFilter(priority_class=key.priority_class)


def _shift_filter(key: DemandKey) -> _KeyFilter:
    return _KeyFilter(shift=key.shift)


def _pick_back_ends(free: dict[str, int], wanted: int) -> Iterable[str]:
    """Yield a back end for each wanted slot, always the one with the most free slots left."""
    left = dict(free)
    for _ in range(wanted):
        if not left:
            return
        name = max(left, key=lambda each: (left[each], each))
        left[name] -= 1
        if not left[name]:
            del left[name]
        yield name
