"""Plays requests that end back ends against the ledger, without a network.

All daemons share one ledger, as if news took no time; back ends that have ended start again after a
while as other processes. Everything that runs on a back end when it ends is suspect.
"""

import itertools
import random

import msgspec

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.crash_ledger import CrashLedger, find_try

STEP_SECONDS = 0.01
CRASH_SECONDS = 0.1
DOWN_SECONDS = 3.0


class Caller(msgspec.Struct):
    """Asks for one request at a steady rate.

    Attributes:
        ends_back_ends: whether the process that runs it ends.
        places: back ends that keep its object, in order; where empty, any.
    """

    identity: str
    per_second: float
    run_seconds: float = 0.3
    ends_back_ends: bool = False
    places: tuple[int, ...] = ()
    sent: int = 0
    answered: int = 0
    refused: int = 0


class _Run(msgspec.Struct, eq=False):
    caller: Caller
    until: float


class Simulation:
    """A fleet of back ends under the requests of some callers.

    Args:
        ends_by_themselves: how many back ends in a second end without a cause.
    """

    def __init__(
        self,
        callers: list[Caller],
        back_ends: int = 24,
        ends_by_themselves: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.clock = ManualClock()
        self.ledger = CrashLedger(self.clock)
        self.callers = callers
        self.ended = 0
        self._random = random.Random(seed)
        self._names = [f"b{number}" for number in range(back_ends)]
        self._process = dict.fromkeys(self._names, 0)
        self._up_at = dict.fromkeys(self._names, 0.0)
        self._running: dict[str, list[_Run]] = {name: [] for name in self._names}
        self._ends_by_themselves = ends_by_themselves
        self._numbers = itertools.count(1)

    def play(self, seconds: float) -> None:
        """Play so many seconds."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            self._end_some_by_themselves()
            self._end_runs()
            for caller in self.callers:
                if self._random.random() < caller.per_second * STEP_SECONDS:
                    self._send(caller)

    def end_all(self, names: list[str]) -> None:
        """End several back ends at the same moment, as where a zone is lost."""
        for name in names:
            self._end(name)

    def names(self) -> list[str]:
        return self._names

    def _send(self, caller: Caller) -> None:
        caller.sent += 1
        if self.ledger.is_quarantined(caller.identity) and not self._may_try(caller):
            caller.refused += 1
            return
        up = [name for name in self._names if self._up_at[name] <= self.clock.monotonic()]
        kept = [self._names[place] for place in caller.places if self._names[place] in up]
        if not up:
            return
        name = kept[0] if kept else self._random.choice(up)
        seconds = CRASH_SECONDS if caller.ends_back_ends else caller.run_seconds
        self._running[name].append(_Run(caller, self.clock.monotonic() + seconds))

    def _may_try(self, caller: Caller) -> bool:
        record = self.ledger.find(caller.identity)
        found = find_try(record, ["v1"], self.clock.wall()) if record is not None else None
        if record is None or found is None:
            return False
        self.ledger.merge([record.with_try(found.reason)], "store")
        return True

    def _end_runs(self) -> None:
        now = self.clock.monotonic()
        for name in self._names:
            over = [each for each in self._running[name] if each.until <= now]
            if any(each.caller.ends_back_ends for each in over):
                self._end(name)
                continue
            for each in over:
                self._running[name].remove(each)
                each.caller.answered += 1
                self.ledger.note_answered(each.caller.identity)

    def _end_some_by_themselves(self) -> None:
        if self._random.random() < self._ends_by_themselves * STEP_SECONDS:
            self._end(self._random.choice(self._names))

    def _end(self, name: str) -> None:
        self.ended += 1
        process = f"{name}/{self._process[name]}"
        runs, self._running[name] = self._running[name], []
        for each in runs:
            self.ledger.note_end(each.caller.identity, "search", process, "v1")
        self._process[name] = next(self._numbers)
        self._up_at[name] = self.clock.monotonic() + DOWN_SECONDS
