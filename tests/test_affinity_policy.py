"""The affinity policy: one warm place for each key, bounds, cold back ends, failures."""

import pytest

from kitekeel_steering.affinity_policy import AffinityPolicy
from kitekeel_steering.back_end_load import AnsweredLoad, BackEndLoad
from kitekeel_steering.fleet_view import BackEndRecord
from kitekeel_steering.placement_policy import Candidate, PlacementRequest, RefusalReason

NOW = 100.0


def candidate(name: str, slots: int = 4, is_cold: bool = False) -> Candidate:
    return Candidate(
        BackEndRecord(name, "search", "127.0.0.1:1", "n1", slots), "north", BackEndLoad(), is_cold
    )


def request(key: str = "book-7", rank: int = 0) -> PlacementRequest:
    return PlacementRequest("search", key, rank, 0.5, 0)


def fill(each: Candidate, count: int) -> None:
    for _ in range(count):
        each.load.note_sent(NOW, each.record.slots)


def choose(policy: AffinityPolicy, candidates: list[Candidate], key: str = "book-7") -> str:
    placement = policy.choose(request(key), candidates, NOW, lambda _: True)
    assert placement.candidate is not None
    return placement.candidate.record.instance


def test_daemons_of_all_regions_choose_the_same_back_end_for_a_key() -> None:
    names = [f"b{number}" for number in range(20)]
    chosen = {
        choose(AffinityPolicy(region), [candidate(name) for name in names])
        for region in ("north", "south")
    }
    assert len(chosen) == 1


def test_a_key_never_leaves_its_few_back_ends_while_they_work() -> None:
    policy = AffinityPolicy("north")
    candidates = [candidate(f"b{number}") for number in range(20)]
    used: set[str] = set()
    while True:
        placement = policy.choose(request(), candidates, NOW, lambda _: True)
        if placement.candidate is None:
            break
        used.add(placement.candidate.record.instance)
        fill(placement.candidate, 1)
    assert placement.reason is RefusalReason.ALL_FULL
    assert len(used) == 3


@pytest.mark.parametrize("rank", [0, 1, 3])
def test_no_back_end_is_taken_beyond_its_bound_but_a_free_slot_always_is(rank: int) -> None:
    policy = AffinityPolicy("north")
    only = candidate("b", slots=2)
    sent = 0
    while policy.choose(request(rank=rank), [only], NOW, lambda _: True).candidate is not None:
        fill(only, 1)
        sent += 1
    assert 2 <= sent <= 5


def test_less_urgent_requests_are_refused_first() -> None:
    policy = AffinityPolicy("north")
    only = candidate("b", slots=10)
    fill(only, 15)
    assert policy.choose(request(rank=0), [only], NOW, lambda _: True).candidate is not None
    assert policy.choose(request(rank=2), [only], NOW, lambda _: True).candidate is None


def test_the_load_that_others_put_on_a_back_end_counts() -> None:
    policy = AffinityPolicy("north")
    only = candidate("b", slots=2)
    sent = only.load.note_sent(NOW, 2)
    only.load.note_answer(sent, NOW, AnsweredLoad(2, 9, 2), was_run=True)
    assert policy.choose(request(), [only], NOW + 0.1, lambda _: True).candidate is None
    assert policy.choose(request(), [only], NOW + 4.0, lambda _: True).candidate is not None


def test_ejected_and_silent_back_ends_are_left_out_while_others_work() -> None:
    policy = AffinityPolicy("north")
    first, second = candidate("a"), candidate("b")
    first.load.note_unreachable(NOW)
    assert choose(policy, [first, second]) == "b"
    second.load.note_unreachable(NOW)
    assert choose(policy, [first, second]) in {"a", "b"}
    silent, other = candidate("c"), candidate("d")
    silent.load.note_sent(NOW - 5.0, 4)
    assert choose(policy, [silent, other]) == "d"


def test_a_cold_back_end_is_used_only_when_its_turn_has_come() -> None:
    policy = AffinityPolicy("north")
    cold = candidate("a", is_cold=True)
    warm = candidate("b")
    assert choose(policy, [cold, warm]) == "b"
    refused = policy.choose(request(), [cold], NOW, lambda _: False)
    assert refused.reason is RefusalReason.ALL_COLD
    assert policy.choose(request(), [], NOW, lambda _: True).reason is RefusalReason.NO_BACK_ENDS


def test_one_spoilt_answer_does_not_eject_but_several_in_a_row_do() -> None:
    load = BackEndLoad()
    for _ in range(2):
        load.note_broken(load.note_sent(NOW, 4), NOW)
    assert not load.is_ejected(NOW)
    load.note_broken(load.note_sent(NOW, 4), NOW)
    assert load.is_ejected(NOW)
    load.note_answer(load.note_sent(NOW, 4), NOW, None, was_run=True)
    assert not load.is_ejected(NOW + 0.6)


def test_service_time_is_told_apart_from_queueing() -> None:
    load = BackEndLoad()
    requests = [load.note_sent(NOW, 1) for _ in range(4)]
    for number, sent in enumerate(requests, 1):
        load.note_answer(sent, NOW + 0.2 * number, None, was_run=True)
    assert load.service_seconds(9.9) == pytest.approx(0.2)
