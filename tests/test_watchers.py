"""Who watches the store for the others, and when a daemon that hears of changes turns to it."""

import random
from collections.abc import Callable

import msgspec
import pytest

from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_peers.watcher_choice import WATCHERS_PER_ZONE, WatcherChoice, watchers_of_zone
from kitekeel_platform.watch_duty import FRESH_SECONDS, WatchDuty
from kitekeel_steering.clock import ManualClock

ZONES = {"n1": "north", "n2": "north", "s1": "south"}
MIN_DEPARTURE_SECONDS = 2.5


def member(name: str, zone: str = "n1", **changes: object) -> MemberRecord:
    record = MemberRecord(
        instance=name,
        region=ZONES[zone],
        zone=zone,
        place=1,
        peer_address=f"{name}:1",
        caller_address="",
        operator_address="",
        phase=MemberPhase.SERVING,
    )
    return msgspec.structs.replace(record, **changes)


def zone_of(count: int, zone: str = "n1") -> list[MemberRecord]:
    return [member(f"{zone}-{number}", zone) for number in range(count)]


def names(members: list[MemberRecord]) -> list[str]:
    return [each.instance for each in members]


def test_few_daemons_of_each_zone_watch_whatever_their_number() -> None:
    fleet = [*zone_of(22, "n1"), *zone_of(22, "n2"), *zone_of(1, "s1")]
    counts = [len(watchers_of_zone(fleet, zone)) for zone in ZONES]
    assert counts == [WATCHERS_PER_ZONE, WATCHERS_PER_ZONE, 1]


def test_all_daemons_agree_whatever_the_order_of_their_tables() -> None:
    fleet = zone_of(22)
    expected = names(watchers_of_zone(fleet, "n1"))
    for seed in range(5):
        random.Random(seed).shuffle(fleet)
        assert names(watchers_of_zone(fleet, "n1")) == expected


def test_a_daemon_that_goes_changes_only_its_own_place() -> None:
    fleet = zone_of(22)
    first, second = names(watchers_of_zone(fleet, "n1"))
    remaining = [each for each in fleet if each.instance != first]
    assert names(watchers_of_zone(remaining, "n1"))[0] == second
    others = [each for each in fleet if each.instance not in (first, second)]
    assert names(watchers_of_zone(fleet[:1] + others, "n1")) != [first, second]


@pytest.mark.parametrize(
    "change",
    [
        {"state": MemberState.SUSPECT},
        {"state": MemberState.DEAD},
        {"phase": MemberPhase.LEAVING},
    ],
)
def test_a_daemon_that_is_leaving_or_doubted_does_not_watch(change: dict[str, object]) -> None:
    fleet = zone_of(4)
    first = watchers_of_zone(fleet, "n1")[0]
    changed = [msgspec.structs.replace(each, **change) if each is first else each for each in fleet]
    assert first.instance not in names(watchers_of_zone(changed, "n1"))


def choice_of(own: MemberRecord, fleet: list[MemberRecord], clock: ManualClock) -> WatcherChoice:
    return WatcherChoice(lambda: own, lambda: fleet, clock)


def subscriber_of(fleet: list[MemberRecord]) -> MemberRecord:
    """Return a daemon of n1 that does not watch."""
    watchers = names(watchers_of_zone(fleet, "n1"))
    return next(each for each in fleet if each.zone == "n1" and each.instance not in watchers)


def test_both_watchers_of_the_own_zone_are_heard_in_turn() -> None:
    fleet = [*zone_of(6), *zone_of(3, "n2")]
    choice = choice_of(subscriber_of(fleet), fleet, ManualClock())
    asked = [choice.next_source() for _ in range(4)]
    assert set(asked) == {each.peer_address for each in watchers_of_zone(fleet, "n1")}
    assert asked[0] != asked[1] and asked[:2] == asked[2:]


def test_watchers_that_do_not_answer_are_passed_over_and_tried_again_later() -> None:
    clock = ManualClock()
    fleet = [*zone_of(6), *zone_of(3, "n2"), *zone_of(3, "s1")]
    choice = choice_of(subscriber_of(fleet), fleet, clock)
    first, second = (each.peer_address for each in watchers_of_zone(fleet, "n1"))
    choice.note_failure(first)
    assert {choice.next_source() for _ in range(3)} == {second}
    choice.note_failure(second)
    neighbours = {each.peer_address for each in watchers_of_zone(fleet, "n2")}
    assert {choice.next_source() for _ in range(4)} == neighbours
    for address in neighbours:
        choice.note_failure(address)
    distant = watchers_of_zone(fleet, "s1")[0].peer_address
    assert {choice.next_source() for _ in range(4)} == {distant}
    choice.note_failure(distant)
    assert choice.next_source() is None
    clock.advance(6.1)
    assert choice.next_source() in {first, second}


def test_watchers_that_have_lost_the_store_are_passed_over_for_the_next_zones() -> None:
    clock = ManualClock()
    fleet = [*zone_of(6), *zone_of(3, "n2"), *zone_of(3, "s1")]
    choice = choice_of(subscriber_of(fleet), fleet, clock)
    in_zone = {each.peer_address for each in watchers_of_zone(fleet, "n1")}
    neighbours = {each.peer_address for each in watchers_of_zone(fleet, "n2")}
    assert [choice.note_stale(each) for each in in_zone] == [True, True]
    assert {choice.next_source() for _ in range(4)} == neighbours
    assert [choice.note_stale(each) for each in neighbours] == [True, True]
    distant = watchers_of_zone(fleet, "s1")[0].peer_address
    assert {choice.next_source() for _ in range(4)} == {distant}
    assert choice.note_stale(distant)
    assert {choice.next_source() for _ in range(8)} == in_zone | neighbours
    assert not choice.note_stale(min(in_zone))
    clock.advance(3.1)
    assert {choice.next_source() for _ in range(4)} == in_zone


def duty(clock: ManualClock, seed: int = 1) -> WatchDuty:
    return WatchDuty(clock, random.Random(seed))


def test_a_watcher_watches_from_its_start_and_others_while_they_hear_fresh_news_do_not() -> None:
    clock = ManualClock()
    found = duty(clock)
    assert found.must_watch(is_watcher=True)
    for _ in range(100):
        clock.advance(0.5)
        found.note_news(0.9)
        assert not found.must_watch(is_watcher=False)


def test_a_daemon_that_knows_no_other_waits_a_moment_before_it_asks_the_store() -> None:
    clock = ManualClock()
    found = duty(clock)
    assert not found.must_watch(is_watcher=True, is_alone=True)
    clock.advance(0.3)
    assert found.must_watch(is_watcher=True, is_alone=True)


def test_daemons_that_all_start_together_first_let_each_other_find_them() -> None:
    clock = ManualClock()
    found = WatchDuty(clock, random.Random(1), all_start=True)
    clock.advance(1.4)
    assert not found.must_watch(is_watcher=True)
    clock.advance(0.2)
    assert found.must_watch(is_watcher=True)
    assert not found.must_watch(is_watcher=False)
    clock.advance(2.3)
    assert found.must_watch(is_watcher=False)


def seconds_until_watching(
    clock: ManualClock, found: WatchDuty, age: Callable[[float], float | None] | None
) -> float:
    """Hear news every half second, of an age that may grow with the time waited, until watching."""
    for tenths in range(200):
        if found.must_watch(is_watcher=False):
            return tenths / 10
        clock.advance(0.1)
        if age is not None and tenths % 5 == 4:
            found.note_news(age(tenths / 10))
    raise AssertionError("never turned to the store")


def test_silence_turns_a_daemon_to_the_store_within_the_shortest_bound() -> None:
    for seed in range(20):
        clock = ManualClock()
        found = duty(clock, seed)
        found.note_news(0.2)
        waited = seconds_until_watching(clock, found, age=None)
        assert 1.7 < waited < MIN_DEPARTURE_SECONDS - 0.2


@pytest.mark.parametrize(
    "age", [lambda waited: waited + 0.3, lambda _waited: 60.0, lambda _waited: None]
)
def test_watchers_that_have_lost_the_store_are_given_longer(
    age: Callable[[float], float | None],
) -> None:
    clock = ManualClock()
    found = duty(clock)
    found.note_news(0.0)
    assert 3.9 < seconds_until_watching(clock, found, age) < 4.6


def test_watchers_whose_proof_is_always_a_little_late_are_believed() -> None:
    clock = ManualClock()
    found = duty(clock)
    for _ in range(40):
        clock.advance(0.5)
        found.note_news(FRESH_SECONDS + 0.2)
        assert not found.must_watch(is_watcher=False)


def test_daemons_that_lose_their_watchers_together_do_not_ask_the_store_at_one_moment() -> None:
    waits = set()
    for seed in range(40):
        clock = ManualClock()
        found = duty(clock, seed)
        found.note_news(0.2)
        waits.add(seconds_until_watching(clock, found, age=None))
    assert len(waits) >= 4


def test_fresh_news_ends_the_doubt() -> None:
    clock = ManualClock()
    found = duty(clock)
    seconds_until_watching(clock, found, age=None)
    found.note_news(0.1)
    assert not found.must_watch(is_watcher=False)
