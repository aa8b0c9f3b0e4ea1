"""Headers of callers and back ends: any bytes are read as a possible value, or as none."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from kitekeel_daemon.answer_headers import (
    MAX_BACKOFF_SECONDS,
    read_backoff,
    read_cold_seconds,
    read_leaving,
    read_load,
)
from kitekeel_steering.fleet_items import MAX_COLD_SECONDS, MAX_SLOTS
from kitekeel_steering.proxied_messages import end_to_end, find_cookie, find_header
from kitekeel_steering.stated_numbers import MAX_NUMBER, whole_number

NUMBERS = st.one_of(
    st.floats().map(lambda number: str(number).encode()),
    st.integers().map(lambda number: str(number).encode()),
    st.sampled_from([b"9" * 400, b"1e308", b"1e-400", b"0x10", b"1_0", b" 5 ", b"-0"]),
)
LOADS = st.one_of(st.binary(max_size=40), st.lists(NUMBERS, max_size=4).map(b",".join))
DURATIONS = st.one_of(
    st.binary(max_size=40), st.builds(bytes.__add__, NUMBERS, st.sampled_from([b"s", b"ms", b"h"]))
)
HEADERS = st.lists(
    st.tuples(
        st.sampled_from([b"Cookie", b"cookie", b"Connection", b"Host", b"X"]),
        st.binary(max_size=60),
    ),
    max_size=6,
).map(tuple)


@given(LOADS)
@example(b"1e300,1e308,5")
@example(b"nan,inf,-inf")
def test_a_load_is_possible_or_missing(value: bytes) -> None:
    load = read_load(value)
    if load is not None:
        assert min(load.running, load.waiting, load.slots) >= 0
        assert load.slots <= MAX_SLOTS


@given(DURATIONS)
@example(b"1e300s")
def test_a_time_to_stay_cold_is_possible_or_missing(value: bytes) -> None:
    seconds = read_cold_seconds(value)
    assert seconds is None or 0.0 <= seconds <= MAX_COLD_SECONDS


@given(st.lists(st.one_of(LOADS, NUMBERS), max_size=3))
@example([b"nan", b"inf"])
@example([b"9" * 400])
def test_a_requested_pause_is_bounded_and_other_values_are_told(values: list[bytes]) -> None:
    parsed = read_backoff(values)
    assert 0.0 <= parsed.seconds <= MAX_BACKOFF_SECONDS
    assert set(parsed.unreadable) <= set(values)


@given(st.lists(st.binary(max_size=20), max_size=3))
def test_only_a_one_announces_the_end_of_a_back_end(values: list[bytes]) -> None:
    parts = [part.strip() for value in values for part in value.split(b",")]
    assert read_leaving(values).is_leaving == (b"1" in parts)


@pytest.mark.parametrize("value", [b"1e300,0,5", b"0,0,1e300", b"1,2", b"-1,0,5", None])
def test_an_impossible_load_is_missing(value: bytes | None) -> None:
    assert read_load(value) is None


@pytest.mark.parametrize(("value", "seconds"), [(b"500ms", 0.5), (b"1e300s", None), (None, None)])
def test_a_back_end_is_not_taken_for_cold_for_good(
    value: bytes | None, seconds: float | None
) -> None:
    assert read_cold_seconds(value) == seconds


@given(st.binary(max_size=400))
def test_a_stated_number_is_possible_or_missing(value: bytes) -> None:
    number = whole_number(value)
    assert number is None or 0 <= number <= MAX_NUMBER


@given(HEADERS, st.text(max_size=8))
def test_any_headers_are_read(headers: tuple[tuple[bytes, bytes], ...], name: str) -> None:
    assert isinstance(find_cookie(headers, name), str)
    kept = end_to_end(headers)
    assert set(kept) <= set(headers)
    assert find_header(kept, b"connection") is None
