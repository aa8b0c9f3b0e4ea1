"""Which requests are quarantined, by what daemons have seen of ends and answers."""

import itertools

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.answer_counts import AnswerCounts
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.crash_ledger import CrashLedger, find_try
from kitekeel_steering.crash_records import ENDS_UNTIL_QUARANTINE, CrashRecord

SERVICE = "search"
TARGET = "0123456789abcdef"
CRASHER, BESIDE, OTHER = (f"{TARGET}-{name}" for name in ("c", "a", "d"))
HALF_A_DAY_SECONDS = 43_200.0


def ledger(clock: ManualClock | None = None) -> CrashLedger:
    return CrashLedger(clock or ManualClock())


def note_ends(into: CrashLedger, identity: str, *processes: int) -> None:
    for each in processes:
        into.note_end(identity, SERVICE, f"b{each}/1", "v1")


def test_a_request_is_quarantined_with_the_third_process() -> None:
    found = ledger()
    note_ends(found, CRASHER, 1, 2)
    assert not found.is_quarantined(CRASHER)
    note_ends(found, CRASHER, 3)
    assert found.is_quarantined(CRASHER)


def test_the_same_process_counts_once_however_many_tries_ran_there() -> None:
    found = ledger()
    note_ends(found, CRASHER, 1, 1, 2, 2, 2)
    assert not found.is_quarantined(CRASHER)


def test_an_answer_shows_that_a_request_is_harmless() -> None:
    found = ledger()
    note_ends(found, BESIDE, 1, 2)
    found.note_answered(BESIDE)
    note_ends(found, BESIDE, 3, 4)
    assert not found.is_quarantined(BESIDE)


def test_a_request_that_was_only_beside_is_released_by_one_more_end() -> None:
    """Both ran at each end, and nothing tells them apart until one of them is held back."""
    found = ledger()
    for process in (1, 2, 3):
        note_ends(found, CRASHER, process)
        note_ends(found, BESIDE, process)
    # The tie goes by name, here against the harmless one.
    assert found.is_quarantined(BESIDE)
    assert not found.is_quarantined(CRASHER)
    note_ends(found, CRASHER, 4)
    assert found.is_quarantined(CRASHER)
    assert not found.is_quarantined(BESIDE)


def test_two_requests_that_end_back_ends_are_both_found() -> None:
    """One process ended under both, so that it counts for one of them alone."""
    found = ledger()
    note_ends(found, CRASHER, 1, 2, 3)
    note_ends(found, OTHER, 3, 4, 5)
    assert found.is_quarantined(CRASHER)
    assert found.is_quarantined(OTHER)
    note_ends(found, OTHER, 6)
    assert found.is_quarantined(CRASHER)


def note_answers(into: CrashLedger, identity: str) -> None:
    for _ in range(3):
        into.note_answered(identity)


def test_a_request_that_was_answered_before_needs_more_ends_to_be_quarantined() -> None:
    found = ledger()
    note_answers(found, CRASHER)
    note_ends(found, CRASHER, 1, 2, 3, 4, 5)
    assert not found.is_quarantined(CRASHER)
    note_ends(found, CRASHER, 6)
    assert found.is_quarantined(CRASHER)


def test_ends_explained_by_an_unanswered_suspect_do_not_count_against_an_answered_one() -> None:
    found = ledger()
    note_answers(found, BESIDE)
    note_ends(found, BESIDE, 1, 2, 3, 4, 5, 6, 7)
    assert found.is_quarantined(BESIDE)
    note_ends(found, CRASHER, 1, 2)
    assert not found.is_quarantined(BESIDE)


def test_expired_answers_do_not_count() -> None:
    clock = ManualClock()
    found = ledger(clock)
    note_answers(found, CRASHER)
    clock.advance(130.0)
    note_ends(found, CRASHER, 1, 2, 3)
    assert found.is_quarantined(CRASHER)


def test_answer_counts_use_bounded_memory() -> None:
    counts = AnswerCounts(ManualClock())
    for number in range(20_000):
        counts.note(f"request-{number}")
    assert counts.count("request-19999") == 1
    assert counts.count("request-0") == 0
    assert counts.request_count() <= 8_000


def test_a_record_without_the_answered_field_is_read() -> None:
    encoded = msgspec.msgpack.encode((CRASHER, SERVICE, 0, ("b1/1",), ("v1",), (), 1.0))
    record = msgspec.msgpack.decode(encoded, type=CrashRecord)
    assert not record.was_answered


def test_the_third_end_may_be_the_sum_of_what_three_daemons_saw() -> None:
    daemons = [ledger() for _ in range(3)]
    for number, each in enumerate(daemons):
        note_ends(each, CRASHER, number)
    for some, other in itertools.permutations(daemons, 2):
        other.merge(some.records(), "peer")
    assert all(each.is_quarantined(CRASHER) for each in daemons)
    assert len({each.digest() for each in daemons}) == 1


def test_news_that_is_known_is_not_told_on() -> None:
    told: list[str] = []
    found = CrashLedger(ManualClock(), lambda change: told.append(change.source))
    note_ends(found, CRASHER, 1)
    found.merge(found.records(), "peer")
    assert told == ["own"]


def test_a_release_holds_against_late_news_of_the_former_ends() -> None:
    found, late = ledger(), ledger()
    note_ends(found, CRASHER, 1, 2, 3)
    late.merge(found.records(), "peer")
    assert found.release(CRASHER)
    found.merge(late.records(), "peer")
    assert not found.is_quarantined(CRASHER)
    late.merge(found.records(), "peer")
    assert not late.is_quarantined(CRASHER)


def test_what_is_too_old_is_not_brought_back_by_others() -> None:
    clock = ManualClock()
    found, other = CrashLedger(clock), CrashLedger(clock)
    note_ends(found, BESIDE, 1)
    note_ends(found, CRASHER, 1, 2, 3)
    other.merge(found.records(), "peer")
    kept = found.records()
    clock.advance(HALF_A_DAY_SECONDS)
    assert [each.identity for each in found.records()] == [CRASHER]
    clock.advance(HALF_A_DAY_SECONDS + 1.0)
    assert found.records() == ()
    found.merge(kept, "peer")
    assert found.is_empty()
    assert not found.may_have_record(TARGET)


def test_a_flood_of_other_requests_pushes_out_none_that_is_quarantined() -> None:
    found = ledger()
    note_ends(found, CRASHER, 1, 2, 3)
    flood = [CrashRecord(f"{number:016x}-x", SERVICE, ends=("b9/1",)) for number in range(5_000)]
    found.merge(flood, "peer")
    assert found.is_quarantined(CRASHER)
    assert len(found.records()) <= 4_000


def test_a_mass_of_ends_without_a_crashing_request_quarantines_nobody() -> None:
    """A zone loses all its processes while each of 200 requests runs there, twice in a row."""
    found = ledger()
    for number in range(200):
        note_ends(found, f"{number:016x}-x", number % 10, 10 + number % 10)
    assert found.quarantined() == ()


def test_a_quarantined_request_is_tried_after_a_while_and_at_a_new_version() -> None:
    clock = ManualClock()
    found = CrashLedger(clock)
    note_ends(found, CRASHER, 1, 2, 3)
    record = found.find(CRASHER)
    assert record is not None
    assert find_try(record, ["v1"], clock.wall()) is None
    clock.advance(10.0)
    first = find_try(record, ["v1"], clock.wall())
    assert first is not None
    assert first.version is None
    record = record.with_try(first.reason)
    assert find_try(record, ["v1"], clock.wall()) is None
    second = find_try(record, ["v1", "v2"], clock.wall())
    assert second is not None
    assert second.version == "v2"
    assert find_try(record.with_try(second.reason), ["v3"], clock.wall()) is None


def test_no_more_tries_are_claimed_than_there_are() -> None:
    record = CrashRecord(CRASHER, SERVICE).with_try("a").with_try("b").with_try("c")
    assert record.tries == ("a", "b")


def test_a_record_of_another_writer_is_refused() -> None:
    record = CrashRecord(CRASHER, SERVICE, ends=tuple(f"b{n}/1" for n in range(17)))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=CrashRecord)


_names = st.sampled_from([f"b{number}/1" for number in range(20)])
_records = st.builds(
    CrashRecord,
    identity=st.sampled_from([CRASHER, BESIDE, OTHER]),
    service=st.just(SERVICE),
    epoch=st.integers(0, 2),
    ends=st.sets(_names, max_size=16).map(lambda some: tuple(sorted(some))),
    last_end_at=st.floats(0.0, 1.0),
    was_answered=st.booleans(),
)


@given(st.lists(_records, max_size=8), st.randoms())
def test_the_order_in_which_news_comes_does_not_matter(records: list, generator: object) -> None:
    first, second = ledger(), ledger()
    first.merge(records, "peer")
    shuffled = [*records, *records]
    generator.shuffle(shuffled)  # type: ignore[attr-defined]
    for each in shuffled:
        second.merge([each], "peer")
    assert first.digest() == second.digest()
    assert first.quarantined() == second.quarantined() or set(first.quarantined()) == set(
        second.quarantined()
    )
    assert ENDS_UNTIL_QUARANTINE == 3
