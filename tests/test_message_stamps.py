"""One daemon's broken clock or counter does not stop the others, or spread to them."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.events import HybridClock, Stamp

LARGEST = (1 << 64) - 1
# Wall-clock times are in 2026 by the machines' clocks.
NOW_SECONDS = 1_796_000_000.0
BROKEN_STAMPS = [
    Stamp(LARGEST, 0),
    Stamp(LARGEST, LARGEST),
    Stamp(int(NOW_SECONDS * 1000) + 5, LARGEST),
    Stamp(0, LARGEST),
]


def clock_at(seconds: float) -> HybridClock:
    clock = ManualClock()
    clock.advance(seconds)
    return HybridClock(clock)


def own_record(instance: str = "g1") -> MemberRecord:
    return MemberRecord(instance, "north", "n1", 1, "a:1", "a:2", "a:3", phase=MemberPhase.SERVING)


@pytest.mark.parametrize("broken", BROKEN_STAMPS)
def test_a_broken_stamp_is_not_handed_on(broken: Stamp) -> None:
    clock = clock_at(NOW_SECONDS)
    stamp = clock.observe(broken)
    assert stamp.milliseconds <= NOW_SECONDS * 1000 + 5
    assert msgspec.msgpack.encode(clock.tick())


@given(st.lists(st.builds(Stamp, st.integers(0, LARGEST), st.integers(0, LARGEST))))
def test_stamps_grow_and_can_be_sent_whatever_was_seen(seen: list[Stamp]) -> None:
    clock = clock_at(NOW_SECONDS)
    last = clock.tick()
    for each in seen:
        stamp = clock.observe(each)
        assert stamp > last
        assert msgspec.msgpack.encode(stamp)
        last = stamp


def test_a_stamp_of_a_clock_that_is_some_seconds_ahead_is_followed() -> None:
    clock = clock_at(NOW_SECONDS)
    ahead = Stamp(int(NOW_SECONDS * 1000) + 2_000, 7)
    assert clock.observe(ahead) > ahead


@pytest.mark.parametrize("counter", [LARGEST, -1, 1 << 40])
@pytest.mark.parametrize("instance", ["g1", "g2"])
def test_a_record_with_an_impossible_counter_is_passed_over(instance: str, counter: int) -> None:
    table = MemberTable(own_record(), ManualClock(), lambda _record: None)
    table.merge([own_record("g2")])
    before = {each.instance: each for each in table.all()}
    broken = msgspec.structs.replace(
        own_record(instance), counter=counter, state=MemberState.SUSPECT
    )
    table.merge([broken])
    assert {each.instance: each for each in table.all()} == before
    assert msgspec.msgpack.encode(table.take_updates())


def test_a_daemon_still_refutes_what_others_believe_of_it() -> None:
    table = MemberTable(own_record(), ManualClock(), lambda _record: None)
    table.merge([msgspec.structs.replace(own_record(), counter=5, state=MemberState.SUSPECT)])
    assert [each.counter for each in table.all()] == [6]
