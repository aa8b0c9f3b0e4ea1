"""When a back end is taken for silent whose requests all reach their deadlines."""

from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.unanswered_time import UnansweredTime

# Half of the time without an answer after which a back end is silent that has answered quickly.
DEADLINE_SECONDS = 0.5
SERVICE_SECONDS = 0.01


def load_of_a_fast_back_end() -> BackEndLoad:
    load = BackEndLoad()
    load.note_answer(load.note_sent(0.0, 4), SERVICE_SECONDS, None, was_run=True)
    return load


def expire_in_turn(load: BackEndLoad, start: float, count: int) -> float:
    """Let requests reach their deadlines one after another; return when the last one did."""
    for _ in range(count):
        sent = load.note_sent(start, 4)
        start += DEADLINE_SECONDS
        load.note_given_up(sent, start, has_expired=True)
    return start


def test_a_back_end_is_silent_although_no_request_waits_for_long() -> None:
    load = load_of_a_fast_back_end()
    now = expire_in_turn(load, 1.0, 2)
    assert not load.is_ejected(now)
    now = expire_in_turn(load, now, 1)
    assert load.is_ejected(now)


def test_an_answer_between_expired_requests_shows_that_a_back_end_works() -> None:
    load = load_of_a_fast_back_end()
    now = 1.0
    for _ in range(10):
        now = expire_in_turn(load, now, 1)
        load.note_answer(load.note_sent(now, 4), now + 0.1, None, was_run=True)
        now += 0.2
    assert not load.is_ejected(now)


def test_requests_whose_callers_leave_do_not_make_a_back_end_silent() -> None:
    load = load_of_a_fast_back_end()
    for number in range(20):
        sent = load.note_sent(1.0 + number, 4)
        load.note_given_up(sent, 1.5 + number, has_expired=False)
    assert not load.is_ejected(21.0)


def test_simultaneous_requests_make_a_back_end_silent_no_sooner() -> None:
    load = load_of_a_fast_back_end()
    for each in [load.note_sent(1.0, 4) for _ in range(10)]:
        load.note_given_up(each, 1.0 + DEADLINE_SECONDS, has_expired=True)
    assert not load.is_ejected(1.0 + DEADLINE_SECONDS)


def test_requests_that_expired_long_ago_do_not_make_a_back_end_silent() -> None:
    unanswered = UnansweredTime()
    unanswered.note_expired(0.0, 0.5)
    assert unanswered.seconds(1.0, 1.5) == 1.0
    assert unanswered.seconds(100.0, 100.5) == 0.5
