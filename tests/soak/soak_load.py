"""Load beside a soak's usual callers: requests sent ahead, uneven back ends and a shortage."""

import asyncio
import contextlib
from collections.abc import Coroutine

from soak_caller import Attempt
from soak_fleet import SoakFleet
from soak_loop_holds import LoopHolds
from soak_sent_ahead import SentAheadCaller, find_late_deadlines, find_overlaps
from soak_shortage import (
    ClassCounts,
    SoakShortage,
    count_classes,
    find_late_refusals,
    find_unfair_classes,
    shortage_refusals,
)
from soak_speeds import SoakSpeeds, find_excess_repeats, find_excess_runs

_CALLERS = 2


class SoakLoad:
    """The load of one soak; each part draws from a random stream of its own.

    Args:
        attempts: every request is added to it.
        has_requests_ahead: whether some callers send requests ahead.
        has_shortage: whether back ends report speeds that change, and are short of room for a time.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        attempts: list[Attempt],
        seed: int,
        has_requests_ahead: bool,
        has_shortage: bool,
    ) -> None:
        self._fleet = fleet
        self._attempts = attempts
        self._has_shortage = has_shortage
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._holds = LoopHolds()
        self._refusals: dict[str, float] = {}
        addresses = [each.callers for each in fleet.daemons]
        self._callers = [
            SentAheadCaller(f"s{seed}a{number}", addresses, attempts)
            for number in range(_CALLERS if has_requests_ahead else 0)
        ]
        self._speeds = SoakSpeeds(fleet.back_ends, seed)
        self._shortage = SoakShortage(fleet.back_ends, self._speeds, addresses, attempts, seed)

    @property
    def short_daemons(self) -> int:
        """How many daemons have told of a shortage."""
        return sum(each.has_logged("shortage-began") for each in self._fleet.daemons)

    @property
    def longest_hold_seconds(self) -> float:
        """For how long the soak's own event loop was held at most."""
        return self._holds.longest()

    def start(self, seconds: float) -> None:
        """Start all parts; the shortage lies within so many seconds."""
        parts: list[Coroutine[None, None, None]] = [each.run(self._stop) for each in self._callers]
        if self._has_shortage:
            parts += [self._speeds.run(self._stop), self._shortage.run(seconds)]
        self._tasks = [asyncio.create_task(each) for each in parts]
        self._watch = asyncio.create_task(self._holds.run())

    async def end(self) -> None:
        """End all parts; back ends are as usual afterwards."""
        self._stop.set()
        await asyncio.gather(*self._tasks)

    async def begin_calm(self) -> None:
        """Note what has been refused before the calm time."""
        self._refusals = await self._read_refusals()

    async def find_calm_breaches(self) -> list[str]:
        """Return each daemon that refused for a shortage since the calm time began."""
        breaches: list[str] = []
        refusals = await self._read_refusals()
        for each in self._fleet.daemons:
            if each.name not in refusals or each.name not in self._refusals:
                breaches.append(f"metrics: {each.name} gave no answer in the calm")
            elif refused := refusals[each.name] - self._refusals[each.name]:
                breaches.append(f"still short: {each.name} refused {refused:.0f} in the calm")
        return breaches

    async def _read_refusals(self) -> dict[str, float]:
        """Return the refusals by daemon; those that do not answer are left out."""
        refusals: dict[str, float] = {}
        for each in self._fleet.daemons:
            with contextlib.suppress(OSError, TimeoutError):
                refusals[each.name] = await shortage_refusals(each)
        return refusals

    def class_counts(self) -> ClassCounts:
        """Return how the classes of the shortage were served."""
        return count_classes(self._shortage.asked)

    def breaches(self) -> list[str]:
        """Return every promise that was broken to these callers, each in a line."""
        self._watch.cancel()
        fleet, attempts, asked = self._fleet, self._attempts, self._shortage.asked
        arrivals = [each for back_end in fleet.back_ends for each in back_end.arrivals]
        batches = [each for caller in self._callers for each in caller.batches]
        return [
            *find_overlaps(batches, fleet.runs),
            *find_late_deadlines(
                attempts, arrivals, fleet.daemons, fleet.disturbed, self._holds, fleet.lookups
            ),
            *find_excess_runs(fleet.runs),
            *find_excess_repeats(attempts, arrivals),
            *find_unfair_classes(self.class_counts()),
            *find_late_refusals(asked, arrivals, fleet.daemons, fleet.disturbed, self._holds),
        ]
