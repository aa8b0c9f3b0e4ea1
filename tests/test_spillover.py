"""What leaves a busy region is bounded at once, and keys follow where it stays busy."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.spill_pressure import SpillPressure
from kitekeel_steering.spillover import MAX_SPILLED_SHARE, WINDOW_SECONDS, Spillover


@given(
    pauses=st.lists(st.floats(0.0, 0.3), min_size=1, max_size=200),
    wishes=st.lists(st.booleans(), min_size=1, max_size=50),
)
def test_no_window_has_more_than_the_bound_or_one(pauses: list[float], wishes: list[bool]) -> None:
    spillover = Spillover()
    placed: list[tuple[float, bool]] = []
    now = 0.0
    for pause, wants_to_leave in zip(pauses, itertools.cycle(wishes), strict=False):
        now += pause
        is_spilled = wants_to_leave and spillover.has_room(now)
        spillover.note_placed(is_spilled, now)
        placed.append((now, is_spilled))
        window = [spilled for at, spilled in placed if at >= now - WINDOW_SECONDS]
        if is_spilled:
            assert sum(window) <= max(1, MAX_SPILLED_SHARE * len(window))


def test_the_bound_is_used_up_to_the_end() -> None:
    spillover = Spillover()
    spilled = 0
    for number in range(400):
        now = number / 200
        has_room = spillover.has_room(now)
        spillover.note_placed(has_room, now)
        spilled += has_room
    assert spilled == MAX_SPILLED_SHARE * 400


def test_a_daemon_with_few_requests_sends_one_elsewhere() -> None:
    spillover = Spillover()
    assert spillover.has_room(0.0)
    spillover.note_placed(True, 0.0)
    assert not spillover.has_room(1.0)
    assert spillover.has_room(WINDOW_SECONDS + 0.1)


def hold_back(pressure: SpillPressure, begin: float, end: float, pause: float = 0.1) -> None:
    now = begin
    while now <= end:
        pressure.note_held_back(now)
        now += pause


def test_a_short_burst_is_no_pressure() -> None:
    pressure = SpillPressure()
    hold_back(pressure, 10.0, 11.5)
    assert pressure.share_to_keep(0.8, 0.8, 11.5) == 0.8


def test_a_region_that_stays_busy_gives_keys_away_until_it_no_longer_is() -> None:
    pressure = SpillPressure()
    assert pressure.share_to_keep(0.8, 0.8, 0.0) == 0.8
    hold_back(pressure, 10.0, 14.0)
    assert pressure.share_to_keep(0.8, 0.8, 14.1) == 0.0
    assert pressure.share_to_keep(0.7, 0.8, 15.0) == 0.7
    assert pressure.share_to_keep(0.7, 0.8, 16.1) == 0.8


def test_a_region_under_pressure_keeps_no_more_than_it_could_without() -> None:
    pressure = SpillPressure()
    pressure.note_held_back(10.0)
    assert pressure.share_to_keep(0.8, 0.5, 10.1) == 0.5


def test_pauses_between_held_requests_begin_the_pressure_anew() -> None:
    pressure = SpillPressure()
    hold_back(pressure, 10.0, 20.0, pause=1.0)
    assert not pressure.is_sustained(20.0)
