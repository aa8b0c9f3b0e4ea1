"""Who is blamed for the ends of back ends: those that cause them, soon, and in the end nobody else.

Late blame costs processes, false blame costs a good caller its requests. Bounds come from the aim:
a request that ends back ends costs three processes and those that are beside it in its last tries;
a harmless one is served again once a careful try has shown that it is.
"""

import pytest
from crash_simulation import Caller, Simulation

# Three ends of its own, and two of a try each at most; several at one back end count for one alone.
MAX_ENDS_FOR_ONE = 6
# A request that was answered before needs twice the ends; its tries are bounded in the same way.
MAX_ENDS_FOR_ONE_ANSWERED_BEFORE = 9
SEEDS = range(8)


def identity(kind: str, number: int) -> str:
    return f"{number:016x}-{kind}"


def harmless(count: int, per_second: float) -> list[Caller]:
    return [Caller(identity("h", number), per_second) for number in range(count)]


def crashing(count: int, places: tuple[int, ...] = ()) -> list[Caller]:
    return [
        Caller(identity("c", number), 5.0, ends_back_ends=True, places=places)
        for number in range(count)
    ]


def quarantined(played: Simulation) -> set[str]:
    return {each.identity for each in played.ledger.quarantined()}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("count", [1, 3, 10])
def test_each_of_many_crashing_requests_is_found_and_harmless_ones_are_served(
    count: int, seed: int
) -> None:
    good = harmless(40, 5.0)
    bad = crashing(count)
    played = Simulation(good + bad, seed=seed)
    played.play(30.0)
    assert quarantined(played) == {each.identity for each in bad}
    assert played.ended <= MAX_ENDS_FOR_ONE * count
    before = [(each.sent, each.refused) for each in good]
    played.play(5.0)
    assert [(each.refused) for each in good] == [refused for _, refused in before]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_hot_request_that_is_always_beside_the_crashing_one_is_served_again(seed: int) -> None:
    """Both are about one object, so they go to the same back end, and on to the same next one."""
    places = tuple(range(24))
    hot = Caller(identity("h", 1), 40.0, places=places)
    bad = crashing(1, places)
    played = Simulation([hot, *bad], seed=seed)
    played.play(25.0)
    assert quarantined(played) == {bad[0].identity}
    refused = hot.refused
    played.play(5.0)
    assert hot.refused == refused


@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_that_was_answered_before_is_served_beside_many_crashing_ones(seed: int) -> None:
    """A harmless request must not be quarantined before the crashing ones have enough ends."""
    places = tuple(range(24))
    hot = Caller(identity("h", 1), 12.0, places=places)
    bad = crashing(20)
    played = Simulation([hot], seed=seed)
    played.play(5.0)
    played.callers.extend(bad)
    played.play(16.0)
    assert hot.refused == 0
    assert quarantined(played) == {each.identity for each in bad}
    assert played.ended <= MAX_ENDS_FOR_ONE * len(bad)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_request_that_begins_to_end_back_ends_after_answers_is_found(seed: int) -> None:
    """Earlier answers must not exempt a request from quarantine."""
    late_crasher = Caller(identity("t", 1), 5.0)
    played = Simulation([*harmless(40, 5.0), late_crasher], seed=seed)
    played.play(10.0)
    late_crasher.ends_back_ends = True
    played.play(30.0)
    assert quarantined(played) == {late_crasher.identity}
    assert played.ended <= MAX_ENDS_FOR_ONE_ANSWERED_BEFORE


@pytest.mark.parametrize("seed", SEEDS)
def test_back_ends_that_end_by_themselves_cost_nobody_much(seed: int) -> None:
    """One of 24 ends every two seconds for a minute."""
    good = harmless(40, 5.0)
    played = Simulation(good, ends_by_themselves=0.5, seed=seed)
    played.play(60.0)
    assert quarantined(played) == set()
    assert sum(each.refused for each in good) <= 0.002 * sum(each.sent for each in good)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_lost_zone_and_a_rolling_replacement_quarantine_nobody(seed: int) -> None:
    good = harmless(200, 1.0)
    played = Simulation(good, seed=seed)
    names = played.names()
    played.play(5.0)
    played.end_all(names[:8])
    played.play(5.0)
    for name in names[8:]:
        played.end_all([name])
        played.play(0.5)
    played.play(5.0)
    assert quarantined(played) == set()
    assert sum(each.refused for each in good) == 0


def test_a_flood_of_crashing_requests_stops_no_other() -> None:
    """Each comes only once, so that none is ever known again: their service is lost, not more."""
    good = harmless(5, 2.0)
    played = Simulation(good + crashing(0))
    for number in range(5_000):
        played.ledger.note_end(identity("f", number), "other", f"o{number % 7}/{number}", "v1")
    played.play(5.0)
    assert sum(each.refused for each in good) == 0
