"""The holder's side of one pool: the slots that this daemon may use, and until when."""

from __future__ import annotations

import msgspec

from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import (
    Claim,
    Demand,
    DemandKey,
    ExchangeReply,
    ExchangeRequest,
    PoolName,
    Quota,
    ResultCount,
)
from kitekeel_steering.grant_timing import GrantTiming

_PEAK_WINDOW_SECONDS = 1.0
_SPARE_SLOTS = 2


class SlotHold(msgspec.Struct, frozen=True):
    """A slot taken for a request.

    Attributes:
        taken_at: monotonic time in seconds.
        queue_order: the request's order of arrival, which a retry keeps.
    """

    pool: PoolName
    key: DemandKey
    back_end: str
    taken_at: float
    queue_order: int = 0


class HolderIdentity(msgspec.Struct, frozen=True):
    """Identifies the holder.

    Attributes:
        instance: name that is unique to this run of the process.
        region: the region in which it runs.
        place: number of its entry machine in the region, from 1.
    """

    instance: str
    region: str
    place: int


class _Peak:
    """The maximum of a value over the last one to two windows."""

    def __init__(self) -> None:
        self._previous = 0
        self._current = 0
        self._started_at = 0.0

    def note(self, value: int, now: float) -> int:
        if now - self._started_at > _PEAK_WINDOW_SECONDS:
            self._previous = self._current
            self._current = 0
            self._started_at = now
        self._current = max(self._current, value)
        return max(self._previous, self._current)


class GrantTable:
    """Slots of one pool held by this daemon.

    Not thread-safe: the service's admission calls it under its own lock.
    """

    def __init__(
        self, pool: PoolName, identity: HolderIdentity, clock: Clock, timing: GrantTiming
    ) -> None:
        self.pool = pool
        self._identity = identity
        self._clock = clock
        self._timing = timing
        self._allowed: dict[str, int] = {}
        self._in_use: dict[str, int] = {}
        self._quotas: dict[DemandKey, int] = {}
        self._key_use: dict[DemandKey, int] = {}
        self._waiting: dict[DemandKey, int] = {}
        self._peaks: dict[DemandKey, _Peak] = {}
        self._results: dict[str, ResultCount] = {}
        self._sequence = 0
        self._sent_at = 0.0
        self._expires_at = 0.0
        self.last_used_at = clock.monotonic()

    def try_take(
        self, key: DemandKey, excluded: frozenset[str], drained: frozenset[str]
    ) -> SlotHold | None:
        """Take a free slot of the least loaded back end, if the current grants allow one."""
        now = self._clock.monotonic()
        if now >= self._expires_at:
            return None
        if self._key_use.get(key, 0) >= self._quotas.get(key, 0):
            return None
        best = self._least_used(excluded | drained)
        if best is None:
            return None
        self._in_use[best] = self._in_use.get(best, 0) + 1
        self._key_use[key] = self._key_use.get(key, 0) + 1
        self.last_used_at = now
        return SlotHold(self.pool, key, best, now)

    def may_start(self) -> bool:
        """Return whether work may be sent on a taken slot now; checked before every send."""
        return self._clock.monotonic() < self._expires_at

    def release(self, hold: SlotHold) -> None:
        """Release a slot after its request has ended."""
        self._in_use[hold.back_end] -= 1
        self._key_use[hold.key] -= 1

    def note_result(self, back_end: str, succeeded: bool, seconds: float) -> None:
        """Count an answer as success or failure, for the keeper's outlier detection."""
        last = self._results.get(back_end, ResultCount(back_end, 0, 0, 0.0))
        self._results[back_end] = ResultCount(
            back_end,
            last.successes + int(succeeded),
            last.failures + int(not succeeded),
            last.total_seconds + (seconds if succeeded else 0.0),
        )

    def note_waiting(self, key: DemandKey, change: int) -> None:
        """Count a request that starts (1) or stops (-1) waiting for a slot of this pool."""
        self._waiting[key] = self._waiting.get(key, 0) + change
        if change > 0:
            self.last_used_at = self._clock.monotonic()

    def in_use(self) -> int:
        """Return the number of slots in use."""
        return sum(self._in_use.values())

    def held(self) -> int:
        """Return how many slots this daemon may use; 0 after the grants have expired."""
        return sum(self._allowed.values()) if self.may_start() else 0

    def has_unmet_demand(self) -> bool:
        """Return whether requests are waiting for slots of this pool."""
        return any(count > 0 for count in self._waiting.values())

    def prepare_exchange(self, after_silence: bool, voting: bool, echo: float) -> ExchangeRequest:
        """Give back unneeded idle slots and build the next request to the keeper.

        This daemon stops using the slots before the keeper is informed, so the keeper may grant
        them to another holder as soon as it reads the request.
        """
        now = self._clock.monotonic()
        demands = self._demands(now)
        wanted = sum(each.needed + each.spare for each in demands)
        self._give_back_above(min(wanted, sum(self._quotas.values())))
        if now >= self._expires_at:
            self._give_back_above(0)
        self._sequence += 1
        self._sent_at = now
        results = tuple(self._results.values())
        self._results = {}
        return ExchangeRequest(
            pool=self.pool,
            holder=self._identity.instance,
            origin_region=self._identity.region,
            place=self._identity.place if voting else 0,
            sequence=self._sequence,
            claims=self._claims(),
            demands=demands,
            key_use=tuple(Quota(key, count) for key, count in self._key_use.items() if count),
            results=results,
            echo=echo,
            after_silence=after_silence,
        )

    def apply_reply(self, reply: ExchangeReply) -> bool:
        """Apply the keeper's grants; only a reply to the latest request is accepted."""
        if reply.sequence != self._sequence:
            return False
        life = self._timing.grant_life_seconds - self._timing.clock_margin_seconds
        expires_at = self._sent_at + life
        if self._clock.monotonic() >= expires_at:
            return False
        self._allowed = {each.back_end: each.slots for each in reply.allowances}
        self._quotas = {each.key: each.slots for each in reply.quotas}
        self._expires_at = expires_at
        return True

    def _least_used(self, excluded: frozenset[str]) -> str | None:
        best: str | None = None
        least = 0.0
        for name, allowed in self._allowed.items():
            used = self._in_use.get(name, 0)
            if used >= allowed or name in excluded:
                continue
            load = used / allowed
            if best is None or load < least:
                best, least = name, load
        return best

    def _demands(self, now: float) -> tuple[Demand, ...]:
        demands: list[Demand] = []
        for key in self._waiting.keys() | self._key_use.keys():
            needed = self._key_use.get(key, 0) + max(0, self._waiting.get(key, 0))
            peak = self._peaks.setdefault(key, _Peak()).note(needed, now)
            if peak:
                demands.append(Demand(key, needed, peak - needed + _SPARE_SLOTS))
        return tuple(demands)

    def _give_back_above(self, total: int) -> None:
        """Give back idle slots down to a total, always from the back end with the most of them."""
        while sum(self._allowed.values()) > max(total, self.in_use()):
            idle = {
                name: allowed - self._in_use.get(name, 0) for name, allowed in self._allowed.items()
            }
            name = max(idle, key=lambda each: idle[each])
            if idle[name] <= 0:
                return
            self._allowed[name] -= 1

    def _claims(self) -> tuple[Claim, ...]:
        names = self._allowed.keys() | self._in_use.keys()
        claims = (
            Claim(
                name,
                max(self._allowed.get(name, 0), self._in_use.get(name, 0)),
                self._in_use.get(name, 0),
            )
            for name in sorted(names)
        )
        return tuple(claim for claim in claims if claim.kept)
