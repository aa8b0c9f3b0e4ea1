"""Parses what back ends state about themselves in the headers of their answers.

Malformed headers and impossible values are treated as missing. Otherwise a single answer could keep
a back end unused for good, or make it look less loaded than is possible.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Sequence

import msgspec

from kitekeel_steering.back_end_load import AnsweredLoad
from kitekeel_steering.fleet_items import MAX_COLD_SECONDS, MAX_SLOTS
from kitekeel_steering.ini import parse_duration

# Running requests, waiting requests and slots; without all of them there is no report.
_LOAD_FIGURES = 3
# Far more requests than a back end with the maximum number of slots can have running and waiting.
_MAX_REQUESTS = 100 * MAX_SLOTS
# Above the throughput of any back end; a higher limit is treated as no limit.
_MAX_RATE = 1_000_000.0
# The time of work in percent of the usual; lower and higher figures are impossible.
_MIN_WORK_PERCENT = 1.0
_MAX_WORK_PERCENT = 100_000.0
_LEAVING = b"1"
_NOT_LEAVING = frozenset({b"0", b""})
# Limits how long one answer can keep a back end unused.
MAX_BACKOFF_SECONDS = 300.0
_DECIMAL = re.compile(rb"\d{1,20}(\.\d{0,20})?|\.\d{1,20}")


class ParsedLeaving(msgspec.Struct, frozen=True):
    """The parsed header in which a back end announces that it is about to stop.

    Attributes:
        unreadable: the values that are neither ``1`` nor ``0``.
    """

    is_leaving: bool = False
    unreadable: tuple[bytes, ...] = ()


class ParsedBackoff(msgspec.Struct, frozen=True):
    """The parsed ``Retry-After`` header of an answer.

    Attributes:
        seconds: the longest valid value, at most :data:`MAX_BACKOFF_SECONDS`; 0 if there is none.
        is_shortened: whether the back end asked for a longer time.
        unreadable: the values that are not decimal numbers.
    """

    seconds: float = 0.0
    is_shortened: bool = False
    unreadable: tuple[bytes, ...] = ()


class ParsedRateLimit(msgspec.Struct, frozen=True):
    """The parsed rate limit header of an answer.

    Attributes:
        rate: the lowest valid value, in requests per second; ``None`` if there is none.
        unreadable: the values that are not decimal numbers.
    """

    rate: float | None = None
    unreadable: tuple[bytes, ...] = ()

    @property
    def is_known(self) -> bool:
        """Return whether the header is absent or has at least one valid value."""
        return self.rate is not None or not self.unreadable


def read_load(value: bytes | None) -> AnsweredLoad | None:
    """Parse a load header: running requests, waiting requests and slots, separated by commas.

    A fourth figure states how long work takes at the moment, in percent of the usual. Without one
    that is possible the report has no work factor. Further figures are ignored.

    Example:
        >>> read_load(b"3,0,8,250")
        AnsweredLoad(running=3, waiting=0, slots=8, work_factor=2.5)
        >>> read_load(b"3,0,8,fast,7").work_factor, read_load(b"3,0")
        (None, None)
    """
    parts = value.split(b",") if value is not None else []
    if len(parts) < _LOAD_FIGURES:
        return None
    try:
        running, waiting, slots = (math.ceil(float(part)) for part in parts[:_LOAD_FIGURES])
    except (ValueError, OverflowError):
        return None
    is_possible = 0 <= running <= _MAX_REQUESTS and 0 <= waiting <= _MAX_REQUESTS
    if not is_possible or not 0 <= slots <= MAX_SLOTS:
        return None
    factor = _read_work_factor(parts[_LOAD_FIGURES]) if len(parts) > _LOAD_FIGURES else None
    return AnsweredLoad(running, waiting, slots, factor)


def _read_work_factor(part: bytes) -> float | None:
    """Return the time of work as a multiple of the usual; ``None`` if it is not possible."""
    try:
        percent = float(part)
    except ValueError:
        return None
    is_possible = _MIN_WORK_PERCENT <= percent <= _MAX_WORK_PERCENT
    return percent / 100.0 if is_possible else None


def read_cold_seconds(value: bytes | None) -> float | None:
    """Return how many seconds the back end stays cold, from a duration such as ``350ms``."""
    seconds = parse_duration(value.decode("latin-1")) if value is not None else None
    if seconds is None or seconds > MAX_COLD_SECONDS:
        return None
    return seconds


def read_rate_limit(values: Sequence[bytes]) -> ParsedRateLimit:
    """Parse the values of the rate limit header; the lowest valid value applies.

    Example:
        >>> read_rate_limit([b"3, 2.5"]).rate, read_rate_limit([]).rate, read_rate_limit([b"-1"])
        (2.5, None, ParsedRateLimit(rate=None, unreadable=(b'-1',)))
    """
    parts = _listed(values)
    unreadable = tuple(part for part in parts if _DECIMAL.fullmatch(part) is None)
    rates = [float(part) for part in parts if _DECIMAL.fullmatch(part) is not None]
    lowest = min(rates, default=None)
    if lowest is not None and lowest > _MAX_RATE:
        return ParsedRateLimit()
    return ParsedRateLimit(lowest, unreadable)


def read_leaving(values: Sequence[bytes]) -> ParsedLeaving:
    """Parse the values of the header that announces the end of a back end's process.

    Example:
        >>> read_leaving([b"1"]).is_leaving, read_leaving([]).is_leaving, read_leaving([b"soon"])
        (True, False, ParsedLeaving(is_leaving=False, unreadable=(b'soon',)))
    """
    parts = _listed(values)
    known = {_LEAVING, *_NOT_LEAVING}
    return ParsedLeaving(_LEAVING in parts, tuple(part for part in parts if part not in known))


def read_backoff(values: Sequence[bytes]) -> ParsedBackoff:
    """Parse the values of ``Retry-After``, in seconds; fractions are allowed, dates are not.

    Example:
        >>> read_backoff([b"2.5"]).seconds, read_backoff([b"-1"]).unreadable
        (2.5, (b'-1',))
        >>> read_backoff([b"1000000000"])
        ParsedBackoff(seconds=300.0, is_shortened=True, unreadable=())
    """
    # A date contains a comma, so values that are not lists of numbers stay whole in the log.
    unreadable = tuple(each for each in values if not _are_decimals(each))
    longest = max((float(part) for part in _listed(set(values) - set(unreadable))), default=0.0)
    return ParsedBackoff(
        min(longest, MAX_BACKOFF_SECONDS), longest > MAX_BACKOFF_SECONDS, unreadable
    )


def _are_decimals(value: bytes) -> bool:
    return all(_DECIMAL.fullmatch(part) is not None for part in _listed([value]))


def _listed(values: Iterable[bytes]) -> list[bytes]:
    """Return the members of a header's values, each of which is a comma-separated list."""
    return [part.strip() for value in values for part in value.split(b",")]
