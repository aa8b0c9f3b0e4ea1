"""A simulated region: keepers, holders, partitions, freezes and deaths, in a seeded random order.

Whatever happens, the work that decisions of the ledgers put on a back end never exceeds its slots.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.grant_messages import DemandKey, KeeperState, PoolName
from kitekeel_steering.grant_table import GrantTable, HolderIdentity, SlotHold
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.ledger import Ledger
from kitekeel_steering.load_reports import LoadReport
from kitekeel_steering.model import BackEnd, Configuration, PriorityClass, Region, Service
from kitekeel_steering.pool_room import PoolRoom

POOL = PoolName("search", "north")
KEY = DemandKey("urgent")
LONGEST_RUN = 1.0
SLOTS = 5
STEP = 0.05


def configuration(places: int, back_ends: int = 3) -> Configuration:
    classes = (PriorityClass("urgent", 1, 0.5, 1.0), PriorityClass("bulk", 5, 0.1, 0.7))
    return Configuration(
        revision=1,
        regions=(Region("north", ("n1", "n2"), places),),
        services=(Service("search", classes, LONGEST_RUN, 0.0),),
        back_ends=tuple(
            BackEnd(f"b{number}", "search", "north", "n1", f"127.0.0.1:{9000 + number}", SLOTS, 50)
            for number in range(back_ends)
        ),
    )


class Work(msgspec.Struct):
    """Work on a back end, which goes on though its holder dies."""

    back_end: str
    ends_at: float
    holder: int
    hold: SlotHold


class Region4:
    """Holders and keepers of one region, with the network between them."""

    def __init__(self, seed: int, places: int, timing: GrantTiming) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.clock.advance(1000.0)
        self.timing = timing
        self.places = places
        self.configuration = configuration(places)
        self.ledgers = [self.new_ledger() for _ in range(places)]
        self.tables = [self.new_table(place) for place in range(places)]
        self.keeper_of = [0] * places
        self.voted_for = [(-1, 0)] * places
        self.generations = [0] * places
        self.asked_generation = [0] * places
        self.voted_at = [self.clock.monotonic()] * places
        self.echo = [0.0] * places
        self.silence = [True] * places
        self.frozen = [0.0] * places
        self.cut: set[frozenset[int]] = set()
        self.work: list[Work] = []
        self.dispatched = 0

    def new_ledger(self) -> Ledger:
        ledger = Ledger(POOL, self.clock, self.timing, PoolRoom(POOL, self.clock))
        ledger.configure(self.configuration, frozenset())
        return ledger

    def new_table(self, place: int) -> GrantTable:
        identity = HolderIdentity(f"d{place}-{self.clock.monotonic()}", "north", place + 1)
        return GrantTable(POOL, identity, self.clock, self.timing)

    def reachable(self, first: int, second: int) -> bool:
        if first == second:
            return True
        return self.frozen[second] <= 0 and frozenset({first, second}) not in self.cut

    def report(self) -> None:
        """Every ledger probes every back end: reports tell the truth of now."""
        for ledger in self.ledgers:
            for back_end in self.configuration.back_ends:
                running = sum(each.back_end == back_end.name for each in self.work)
                ledger.room.reports.note(back_end.name, LoadReport(running, SLOTS, False))

    def exchange(self, place: int) -> None:
        keeper = self.keeper_of[place]
        now = self.clock.monotonic()
        asked = (keeper, self.asked_generation[place])
        may_vote = self.voted_for[place] == asked
        may_vote = may_vote or now - self.voted_at[place] >= self.timing.switch_seconds
        table = self.tables[place]
        request = table.prepare_exchange(self.silence[place], may_vote, self.echo[place])
        if may_vote:
            self.voted_for[place], self.voted_at[place] = asked, now
        is_gone = self.generations[keeper] != self.asked_generation[place]
        if is_gone or not self.reachable(place, keeper):
            if self.random.random() < 0.5:
                self.turn_to(place, self.random.randrange(self.places), silent=True)
            return
        reply = self.ledgers[keeper].exchange(request)
        if self.random.random() < 0.1:
            return  # The answer is lost.
        if reply.state is KeeperState.RESIGNED:
            self.voted_at[place] = now - self.timing.switch_seconds
            self.turn_to(place, self.random.randrange(self.places), silent=False)
            return
        self.echo[place] = reply.keeper_time
        if reply.state is KeeperState.GRANTING:
            table.apply_reply(reply)

    def turn_to(self, place: int, keeper: int, silent: bool) -> None:
        asked = (keeper, self.generations[keeper])
        if asked != (self.keeper_of[place], self.asked_generation[place]):
            self.keeper_of[place], self.asked_generation[place] = asked
            self.echo[place], self.silence[place] = 0.0, silent

    def dispatch(self, place: int) -> None:
        hold = self.tables[place].try_take(KEY, frozenset(), frozenset())
        if hold is not None:
            self.dispatched += 1
            ends_at = self.clock.monotonic() + self.random.uniform(0.05, LONGEST_RUN)
            self.work.append(Work(hold.back_end, ends_at, place, hold))

    def finish_work(self) -> None:
        now = self.clock.monotonic()
        for work in [each for each in self.work if each.ends_at <= now]:
            self.work.remove(work)
            if work.holder >= 0:
                self.tables[work.holder].release(work.hold)

    def fail_something(self) -> None:
        place = self.random.randrange(self.places)
        kind = self.random.choice(["cut", "heal", "freeze", "kill", "resign", "split"])
        if kind == "cut":
            self.cut.add(frozenset({place, self.random.randrange(self.places)}))
        elif kind == "heal":
            self.cut.clear()
        elif kind == "freeze":
            self.frozen[place] = self.random.uniform(0.5, 6.0)
        elif kind == "kill":
            self.kill(place)
        elif kind == "resign":
            self.ledgers[place].resign()
        else:
            side = {each for each in range(self.places) if self.random.random() < 0.5}
            self.cut |= {
                frozenset({one, other})
                for one in side
                for other in range(self.places)
                if other not in side
            }

    def kill(self, place: int) -> None:
        """Kill a daemon; a new process takes its place at once, and its work runs on."""
        for work in self.work:
            if work.holder == place:
                work.holder = -1
        self.ledgers[place] = self.new_ledger()
        self.tables[place] = self.new_table(place)
        self.generations[place] += 1
        self.voted_for[place], self.voted_at[place] = (-1, 0), self.clock.monotonic()
        self.silence[place], self.echo[place], self.frozen[place] = True, 0.0, 0.0

    def step(self) -> None:
        self.clock.advance(STEP)
        self.finish_work()
        self.report()
        for place in range(self.places):
            if self.frozen[place] > 0:
                self.frozen[place] -= STEP
                continue
            self.tables[place].note_waiting(KEY, 1)
            if self.random.random() < 0.3:
                self.exchange(place)
            self.tables[place].note_waiting(KEY, -1)
            for _ in range(self.random.randrange(4)):
                self.dispatch(place)

    def most_on_one_back_end(self) -> int:
        counts = [
            sum(work.back_end == back_end.name for work in self.work)
            for back_end in self.configuration.back_ends
        ]
        return max(counts)


@pytest.mark.parametrize("places", [3, 4])
@pytest.mark.parametrize("seed", range(12))
def test_no_fault_puts_more_work_on_a_back_end_than_it_has_slots(seed: int, places: int) -> None:
    region = Region4(seed, places, GrantTiming())
    for step in range(1600):
        region.step()
        if region.random.random() < 0.01:
            region.fail_something()
        if step % 400 == 399:
            region.cut.clear()
        assert region.most_on_one_back_end() <= SLOTS, f"seed {seed}, step {step}"
    assert region.dispatched > 100


def test_without_faults_a_loaded_pool_is_used_whole() -> None:
    region = Region4(1, 4, GrantTiming())
    used = []
    for _ in range(600):
        region.step()
        used.append(len(region.work))
    assert sum(used[-200:]) / 200 >= 0.9 * 3 * SLOTS


def test_half_of_the_places_may_use_half_of_the_pool_and_fewer_none() -> None:
    clock = ManualClock()
    clock.advance(1000.0)
    timing = GrantTiming()
    for voters, share in ((4, 1.0), (3, 1.0), (2, 0.5), (1, 0.0)):
        ledger = Ledger(POOL, clock, timing, PoolRoom(POOL, clock))
        ledger.configure(configuration(4), frozenset())
        for place in range(1, voters + 1):
            ledger.votes.note(place, clock.monotonic(), True)
        assert ledger.authority() == share
