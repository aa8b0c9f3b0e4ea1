"""Limits over all daemons hold for the sum of daemons that never speak to each other."""

import random

from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.routing import Route, WeightedService
from kitekeel_steering.shared_limits import DaemonCount, WarmUpPacer, WindowedRetryBudget
from kitekeel_steering.weighted_choice import TrafficSplit


@given(st.integers(0, 10_000), st.integers(1, 20))
def test_all_daemons_together_keep_a_cold_back_ends_rate(seed: int, daemons: int) -> None:
    generator = random.Random(seed)
    rate = 11.0
    pacers = [WarmUpPacer(0.0, rate, daemons, generator.random()) for _ in range(daemons)]
    sent_at = [
        step / 100
        for step in range(400)
        for pacer in pacers
        if pacer.try_take(step / 100 + generator.random() / 1000)
    ]
    for start in (step / 20 for step in range(60)):
        in_second = sum(start <= each < start + 1.0 for each in sent_at)
        assert in_second <= rate * 1.5 + 5


@given(st.lists(st.booleans(), max_size=400))
def test_repeats_never_exceed_their_share_of_a_window(events: list[bool]) -> None:
    clock = ManualClock()
    budget = WindowedRetryBudget(clock, ratio=0.2, window_seconds=10.0)
    requests: list[float] = []
    repeats: list[float] = []
    for is_repeat in events:
        clock.advance(0.05)
        now = clock.monotonic()
        if not is_repeat:
            budget.note_request()
            requests.append(now)
        elif budget.try_spend():
            repeats.append(now)
        in_window = [each for each in repeats if each > now - 10.0]
        offered = [each for each in requests if each > now - 10.6]
        assert len(in_window) <= 0.2 * len(offered)


def test_a_budget_forgets_old_requests() -> None:
    clock = ManualClock()
    budget = WindowedRetryBudget(clock, ratio=0.5, window_seconds=10.0)
    for _ in range(4):
        budget.note_request()
    clock.advance(11.0)
    assert not budget.try_spend()


def test_a_daemon_that_is_cut_off_keeps_its_small_share() -> None:
    clock = ManualClock()
    count = DaemonCount(clock)
    assert count.value() == 1
    count.observe(12)
    clock.advance(30.0)
    count.observe(1)
    assert count.value() == 12
    clock.advance(31.0)
    count.observe(1)
    assert count.value() == 1


def test_a_split_keeps_its_weights_over_short_runs() -> None:
    split = TrafficSplit(random.Random(4))
    parts = (WeightedService("a", 90), WeightedService("b", 10))
    route = Route("r", "h", "/", True, 1.0, 0.5, 1, parts)
    chosen = [split.choose(route) for _ in range(300)]
    for start in range(0, 300, 50):
        assert 3 <= chosen[start : start + 50].count("b") <= 7
