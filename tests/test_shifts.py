"""A shift never moves more than its share, and its ramp stops while its target answers badly."""

from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.model import Shift
from kitekeel_steering.shift_counter import ShiftCounter
from kitekeel_steering.shift_health import ShiftHealth


def shift(share: float, ramp: float) -> Shift:
    return Shift("s", "search", "north", "south", share, 0, ramp)


@given(
    st.floats(0.01, 1.0),
    st.floats(0.0, 5.0),
    st.lists(st.tuples(st.floats(0.0, 0.5), st.booleans()), min_size=1, max_size=300),
)
def test_moved_requests_never_exceed_the_sum_of_the_shares(
    share: float, ramp: float, arrivals: list[tuple[float, bool]]
) -> None:
    clock = ManualClock()
    counter = ShiftCounter(shift(share, ramp), clock)
    allowed = 0.0
    for pause, has_room in arrivals:
        clock.advance(pause)
        allowed += counter.share()
        if counter.note_eligible() and has_room:
            counter.note_moved()
        assert counter.moved <= allowed + 1e-9
        assert counter.share() <= share


def test_a_cancelled_shift_returns_on_its_ramp_and_a_held_one_stays() -> None:
    clock = ManualClock()
    counter = ShiftCounter(shift(0.4, 10.0), clock)
    clock.advance(5.0)
    assert abs(counter.share() - 0.2) < 1e-9
    counter.hold(True)
    clock.advance(5.0)
    assert abs(counter.share() - 0.2) < 1e-9
    counter.hold(False)
    clock.advance(2.5)
    assert abs(counter.share() - 0.3) < 1e-9
    cancelled = Shift("s", "search", "north", "south", 0.4, 0, 10.0, cancelled=True)
    counter.update(cancelled)
    clock.advance(5.0)
    assert abs(counter.share() - 0.1) < 1e-9


def test_the_ramp_is_held_while_moved_requests_fail_or_are_slow() -> None:
    for succeeded, seconds, held in ((False, 0.1, True), (True, 0.5, True), (True, 0.1, False)):
        health = ShiftHealth()
        now = 100.0
        for _ in range(60):
            now += 0.1
            health.note(False, True, 0.1, now)
            result = health.note(True, succeeded, seconds, now)
        assert result is held, (succeeded, seconds)
