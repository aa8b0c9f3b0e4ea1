"""Rules of the peers that need no network: adoption, merging of records, neighbours, votes."""

import threading

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.keeper_choice import KeeperChoice
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberPhase, MemberRecord, MemberState
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration


def member(name: str, counter: int = 0, state: MemberState = MemberState.ALIVE) -> MemberRecord:
    return MemberRecord(name, "north", "n1", 1, "p", "c", "o", counter, state, MemberPhase.SERVING)


def test_a_daemon_never_goes_to_a_lower_revision_whatever_arrives_at_once() -> None:
    adopted: list[int] = []
    spread = ConfigurationSpread(
        PeerClient("secret", MemoryMetrics()),
        "p",
        "i",
        lambda each: adopted.append(each.revision),
        pytest.fail,
    )
    threads = [
        threading.Thread(target=spread.adopt, args=(Configuration(revision=number % 50 + 1),))
        for number in range(200)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert spread.revision() == 50
    assert adopted == sorted(set(adopted))
    assert not spread.adopt(Configuration(revision=49))


@given(st.permutations([(c, s) for c in range(3) for s in MemberState]))
def test_records_merge_to_the_same_whatever_their_order(order: list[tuple[int, int]]) -> None:
    table = MemberTable(member("own"), ManualClock(), lambda _: None)
    for counter, state in order:
        table.merge([member("other", counter, MemberState(state))])
    found = table.find("other")
    assert found is not None and found.state is MemberState.LEFT


def test_a_daemon_that_is_called_dead_refutes_it() -> None:
    table = MemberTable(member("own"), ManualClock(), lambda _: None)
    table.merge([member("own", 4, MemberState.DEAD)])
    assert table.own().state is MemberState.ALIVE
    assert table.own().counter == 5
    assert table.own() in table.take_updates()


@given(st.integers(2, 300))
def test_every_member_is_probed_by_as_many_as_it_probes(count: int) -> None:
    names = [f"d{number}" for number in range(count)]
    probed: dict[str, int] = dict.fromkeys(names, 0)
    for name in names:
        found = neighbours(name, names)
        assert len(found) == (count - 1).bit_length()
        for each in found:
            probed[each] += 1
    assert len(set(probed.values())) == 1


def test_a_vote_stays_with_a_silent_keeper_for_the_switch_time() -> None:
    clock = ManualClock()
    timing = GrantTiming()
    members = [member("a"), member("b")]
    choice = KeeperChoice(PoolName("s", "north"), clock, timing, lambda: members)
    first = choice.keeper()
    assert first is not None and not choice.may_vote()
    clock.advance(timing.switch_seconds)
    assert choice.may_vote()
    choice.note_sent(with_vote=True)
    choice.note_failed()
    choice.note_failed()
    second = choice.keeper()
    assert second is not None and second.instance != first.instance
    assert not choice.may_vote()
    clock.advance(timing.switch_seconds)
    assert choice.may_vote() and choice.after_silence


def test_a_resigned_keeper_frees_the_vote_at_once() -> None:
    clock = ManualClock()
    timing = GrantTiming()
    members = [member("a"), member("b")]
    choice = KeeperChoice(PoolName("s", "north"), clock, timing, lambda: members)
    choice.keeper()
    clock.advance(timing.switch_seconds)
    choice.note_sent(with_vote=True)
    choice.note_resigned()
    choice.keeper()
    assert choice.may_vote() and not choice.after_silence


def test_a_left_member_stays_left() -> None:
    left = member("other", 0, MemberState.LEFT)
    assert left.outranks(member("other", 7))
    assert not member("other", 9).outranks(left)
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(left), type=MemberRecord) == left
