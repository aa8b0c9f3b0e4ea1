"""How a region's part of a service's keys follows what is observed, and how weights rise."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.gradual_share import MAX_CHANGE_PER_SECOND, GradualShare
from kitekeel_steering.key_division import KeyDivision, LocalShareTarget, RegionObservations
from kitekeel_steering.placement_policy import Candidate, Candidates
from kitekeel_steering.slow_start import RAMP_SECONDS, SlowStart

EVEN = {"north": 1.0, "south": 1.0}


def members(north: int, south: int, cold: str = "") -> tuple[Candidate, ...]:
    counts = {"north": north, "south": south}
    return tuple(
        Candidate(
            BackEndRecord(f"{region}-{number}", "search", "127.0.0.1:1", f"{region}-1", 4),
            region,
            BackEndLoad(),
            is_cold=f"{region}-{number}" == cold,
        )
        for region, count in counts.items()
        for number in range(count)
    )


@given(
    targets=st.lists(st.floats(0.0, 1.0), min_size=1, max_size=6),
    waits=st.lists(st.floats(0.0, 4.0), min_size=6, max_size=60),
)
def test_a_share_never_moves_faster_than_its_rate(targets: list[float], waits: list[float]) -> None:
    share = GradualShare(targets[0], 0.0)
    now = 0.0
    history = [(now, share.value())]
    for number, wait in enumerate(waits):
        now += wait
        share.follow(targets[number % len(targets)], now)
        for before, value in history:
            # The time before the first of them may have been saved up, for one second at most.
            allowed = MAX_CHANGE_PER_SECOND * (now - before + 1.0)
            assert abs(share.value() - value) <= allowed + 1e-9
        history.append((now, share.value()))


def test_a_share_arrives_at_its_target() -> None:
    share = GradualShare(1.0, 0.0)
    for tenth in range(300):
        share.follow(0.123, tenth / 10)
    assert share.value() == 0.123


def test_a_region_that_loses_slots_gives_its_keys_away_at_once_and_takes_them_back_slowly() -> None:
    regions = RegionObservations(lambda: EVEN)
    whole = Candidates(members(4, 4))
    division = KeyDivision("search", "north", regions, whole, 0.0)
    assert division.plan.local_share == 1.0
    division.follow(Candidates(members(1, 4)), 10.0)
    lowered = division.plan.local_share
    assert lowered == pytest.approx(0.25)
    back = Candidates(members(4, 4))
    division.follow(back, 20.0)
    division.follow(back, 21.0)
    assert division.plan.local_share <= lowered + 2 * MAX_CHANGE_PER_SECOND
    for second in range(22, 60):
        division.follow(back, float(second))
    assert division.plan.local_share == 1.0


def test_what_begins_to_move_is_told_once() -> None:
    told: list[LocalShareTarget] = []
    shared = [False]
    regions = RegionObservations(lambda: EVEN, lambda _service: shared[0], told.append)
    candidates = Candidates(members(4, 4))
    division = KeyDivision("search", "north", regions, candidates, 0.0)
    shared[0] = True
    for second in range(1, 40):
        division.follow(candidates, float(second))
    assert [(each.target, each.is_shared) for each in told] == [(0.0, True)]
    assert division.plan.local_share == 0.0


def test_where_there_was_no_back_end_the_first_ones_are_used_at_once() -> None:
    division = KeyDivision("search", "north", RegionObservations(lambda: EVEN), Candidates(()), 0.0)
    division.follow(Candidates(members(4, 4)), 1.0)
    assert division.plan.local_share == 1.0


def test_back_ends_that_were_there_at_first_count_whole() -> None:
    slow_start = SlowStart()
    slow_start.observe(members(2, 2), 5.0)
    assert slow_start.factors() == {}


def test_a_back_end_that_comes_later_or_was_cold_rises_to_its_whole_weight() -> None:
    slow_start = SlowStart()
    slow_start.observe(members(2, 2), 0.0)
    slow_start.observe(members(3, 2, cold="south-0"), 10.0)
    assert set(slow_start.factors()) == {"north-2", "south-0"}
    slow_start.observe(members(3, 2), 13.0)
    seen = [slow_start.factors().get("south-0", 1.0)]
    now = 13.0
    while slow_start.factors():
        now += 0.1
        if slow_start.is_due(now):
            slow_start.step(now)
        seen.append(slow_start.factors().get("south-0", 1.0))
    assert seen == sorted(seen) and seen[0] < 1.0 and seen[-1] == 1.0
    assert now == pytest.approx(13.0 + RAMP_SECONDS, abs=RAMP_SECONDS / 3)
