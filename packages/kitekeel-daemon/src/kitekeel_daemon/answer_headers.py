"""Parses the load, warm-up and rate limit headers in the answers of back ends.

Malformed headers and impossible values are treated as missing. Otherwise a single answer could keep
a back end unused for good, or make it look less loaded than is possible.
"""

from __future__ import annotations

import math
import re
from collections.abc import Sequence

import msgspec

from kitekeel_steering.back_end_load import AnsweredLoad
from kitekeel_steering.fleet_items import MAX_COLD_SECONDS, MAX_SLOTS
from kitekeel_steering.ini import parse_duration

# Far more requests than a back end with the maximum number of slots can have running and waiting.
_MAX_REQUESTS = 100 * MAX_SLOTS
# Above the throughput of any back end; a higher limit is treated as no limit.
_MAX_RATE = 1_000_000.0
_DECIMAL = re.compile(rb"\d{1,20}(\.\d{0,20})?|\.\d{1,20}")


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
    """Parse a load header: running requests, waiting requests and slots, separated by commas."""
    parts = value.split(b",") if value is not None else []
    try:
        running, waiting, slots = (math.ceil(float(part)) for part in parts)
    except (ValueError, OverflowError):
        return None
    is_possible = 0 <= running <= _MAX_REQUESTS and 0 <= waiting <= _MAX_REQUESTS
    if not is_possible or not 0 <= slots <= MAX_SLOTS:
        return None
    return AnsweredLoad(running, waiting, slots)


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
    parts = [part.strip() for value in values for part in value.split(b",")]
    unreadable = tuple(part for part in parts if _DECIMAL.fullmatch(part) is None)
    rates = [float(part) for part in parts if _DECIMAL.fullmatch(part) is not None]
    lowest = min(rates, default=None)
    if lowest is not None and lowest > _MAX_RATE:
        return ParsedRateLimit()
    return ParsedRateLimit(lowest, unreadable)
