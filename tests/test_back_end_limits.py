"""Rate limits that back ends advertise: header parsing and merging between daemons."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from kitekeel_daemon.answer_headers import read_rate_limit
from kitekeel_steering.back_end_limits import BackEndLimits, LimitRecord
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.events import HybridClock, Stamp


class Daemon:
    """The limits of one daemon and the changes that it reported."""

    def __init__(self) -> None:
        self.starts: dict[str, int] = {"b": 1}
        self.changes: list[tuple[float | None, str]] = []
        self.limits = BackEndLimits(
            HybridClock(SystemClock()),
            lambda instance, start: self.starts.get(instance) == start,
            lambda record, _previous, source: self.changes.append((record.rate, source)),
        )


@pytest.mark.parametrize(
    ("values", "rate", "is_known"),
    [
        ([], None, True),
        ([b"3"], 3.0, True),
        ([b" 0.25 "], 0.25, True),
        ([b"0"], 0.0, True),
        ([b"5", b"3"], 3.0, True),
        ([b"5, 3"], 3.0, True),
        ([b"5, many"], 5.0, True),
        ([b""], None, False),
        ([b"-3"], None, False),
        ([b"nan"], None, False),
        ([b"inf"], None, False),
        ([b"1e3"], None, False),
        ([b"9" * 400], None, False),
    ],
)
def test_the_lowest_decimal_value_of_the_header_is_the_limit(
    values: list[bytes], rate: float | None, is_known: bool
) -> None:
    stated = read_rate_limit(values)
    assert (stated.rate, stated.is_known) == (rate, is_known)


@given(st.lists(st.binary(max_size=40), max_size=4))
@example([b"1e400"])
@example([b"\xff"])
def test_any_bytes_are_a_limit_or_named_as_unreadable(values: list[bytes]) -> None:
    stated = read_rate_limit(values)
    if stated.rate is not None:
        assert 0.0 <= stated.rate < 1e21
    elif values:
        assert stated.unreadable


def test_changed_and_withdrawn_limits_are_each_reported_once() -> None:
    daemon = Daemon()
    for rate in (3.0, 3.0, 4.0, None, None):
        daemon.limits.note_answer("b", 1, rate)
    assert daemon.changes == [(3.0, "own"), (4.0, "own"), (None, "own")]
    assert daemon.limits.rate("b") is None


def test_the_record_with_the_later_stamp_wins_in_any_order() -> None:
    first, second, third = Daemon(), Daemon(), Daemon()
    first.limits.note_answer("b", 1, 3.0)
    early = first.limits.records()
    second.limits.merge(early, "peer a")
    second.limits.note_answer("b", 1, None)
    third.limits.merge(second.limits.records(), "peer b")
    third.limits.merge(early, "peer a")
    first.limits.merge(second.limits.records(), "peer b")
    assert [each.limits.rate("b") for each in (first, second, third)] == [None, None, None]
    assert first.limits.digest() == second.limits.digest() == third.limits.digest()


def test_limits_of_other_processes_are_ignored() -> None:
    """Guards against an old process's answer limiting a new process of the same name."""
    daemon = Daemon()
    daemon.limits.note_answer("b", 1, 3.0)
    daemon.starts["b"] = 2
    daemon.limits.forget("b")
    daemon.limits.note_answer("b", 1, 3.0)
    daemon.limits.merge((LimitRecord("b", 1, 3.0, Stamp(1 << 40, 0)),), "peer a")
    assert daemon.limits.rate("b") is None
    assert daemon.limits.find("b/2") is None


def test_a_record_with_an_implausible_stamp_is_rejected() -> None:
    """Guards against a limit that later records from other daemons could never replace."""
    daemon = Daemon()
    daemon.limits.merge((LimitRecord("b", 1, 3.0, Stamp(1 << 60, 0)),), "peer a")
    assert daemon.limits.rate("b") is None
