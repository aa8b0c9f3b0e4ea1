"""The checks of a soak's additional load find what they are for, and nothing else."""

from pathlib import Path

import pytest
from soak_back_end import Arrival, Run
from soak_caller import Attempt
from soak_daemon import SoakDaemon
from soak_loop_holds import LoopHolds
from soak_sent_ahead import find_late_deadlines, find_overlaps
from soak_shortage import (
    ClassCounts,
    count_classes,
    find_late_refusals,
    find_unfair_classes,
)
from soak_speeds import find_excess_repeats, find_excess_runs


def attempt(name: str, kind: str = "safe", status: int = 200, sent_at: float = 10.0) -> Attempt:
    return Attempt(name, f"/{kind}/1", 0, sent_at, status, ended_at=sent_at + 0.1)


def arrival(name: str, at: float, deadline_ms: float = 6000.0) -> Arrival:
    return Arrival(name, "b0", 0, "127.0.2.1", at, deadline_ms)


@pytest.mark.parametrize(
    ("kinds", "begun_at", "count"),
    [(("safe", "unsafe"), 10.2, 1), (("unsafe", "safe"), 10.2, 1), (("safe", "unsafe"), 10.4, 0)],
)
def test_an_unsafe_request_beside_another_one_is_found(
    kinds: tuple[str, str], begun_at: float, count: int
) -> None:
    batch = [attempt("first", kinds[0]), attempt("later", kinds[1])]
    runs = [Run("first", "b0", 10.1, 10.3), Run("later", "b1", begun_at, 10.5)]
    assert len(find_overlaps([batch], runs)) == count


def test_safe_requests_may_run_side_by_side() -> None:
    runs = [Run("first", "b0", 10.1, 10.3), Run("later", "b1", 10.1, 10.2)]
    assert not find_overlaps([[attempt("first"), attempt("later")]], runs)


@pytest.mark.parametrize(("at", "count"), [(10.6, 1), (10.4, 0)])
def test_a_deadline_beyond_the_callers_time_is_found(at: float, count: int, tmp_path: Path) -> None:
    daemon = SoakDaemon("g0", "n1", tmp_path)
    daemon.disturbed_at.append(0.0)
    told = (arrival("late", at),)
    found = find_late_deadlines([attempt("late")], told, [daemon], [], LoopHolds(), [])
    assert len(found) == count


def test_a_third_run_and_repeats_beyond_the_budget_are_found() -> None:
    runs = [Run("a", "b0", 1.0)] * 3 + [Run("b", "b0", 1.0)] * 2
    assert len(find_excess_runs(runs)) == 1
    names = [attempt(f"r{number}") for number in range(100)]
    sent = [arrival(each.request_id, 10.0) for each in names]
    again = [arrival(each.request_id, 10.5) for each in names]
    assert not find_excess_repeats(names, sent + again[:84])
    assert find_excess_repeats(names, sent + again[:85])


def test_an_urgent_class_that_is_answered_less_often_is_found() -> None:
    urgent = [attempt("u", "urgent", 503)] * 50 + [attempt("u", "urgent")] * 50
    assert find_unfair_classes(count_classes([*urgent, *[attempt("b", "bulk")] * 100]))
    refused = [attempt("b", "bulk", 503)] * 100
    assert not find_unfair_classes(count_classes([*urgent, *refused]))


@pytest.mark.parametrize(("answered", "count"), [(21, 1), (22, 0)])
def test_a_difference_of_a_tenth_in_one_soak_is_found(answered: int, count: int) -> None:
    assert len(find_unfair_classes(ClassCounts(69, answered, 61, 25))) == count


def test_a_small_difference_over_many_soaks_is_found() -> None:
    one = ClassCounts(70, 20, 70, 25)
    assert not find_unfair_classes(one)
    total = sum([one] * 50, ClassCounts())
    assert total.urgent == 3500
    assert find_unfair_classes(total)


def test_a_refusal_that_comes_late_is_found(tmp_path: Path) -> None:
    refused = attempt("r", "bulk", 503)
    refused.is_refused = True
    daemons = [SoakDaemon("g0", "n1", tmp_path)]
    assert not find_late_refusals([refused], [], daemons, [], LoopHolds())
    refused.ended_at = refused.sent_at + 1.1
    assert find_late_refusals([refused], [], daemons, [], LoopHolds())
