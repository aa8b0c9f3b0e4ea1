"""Reads what back ends say of themselves in the headers of their answers.

Headers with other text or impossible figures count as missing: one answer must not keep a back end
unused for good, or make it look emptier than it can be.
"""

from __future__ import annotations

import math

from kitekeel_steering.back_end_load import AnsweredLoad
from kitekeel_steering.fleet_items import LONGEST_COLD_SECONDS, MOST_SLOTS
from kitekeel_steering.ini import parse_duration

# Far more than a back end of the most slots can have running and waiting.
_MOST_REQUESTS = 100 * MOST_SLOTS


def read_load(value: bytes | None) -> AnsweredLoad | None:
    """Return the requests running and waiting and the slots, separated by commas."""
    parts = value.split(b",") if value is not None else []
    try:
        running, waiting, slots = (math.ceil(float(part)) for part in parts)
    except (ValueError, OverflowError):
        return None
    is_possible = 0 <= running <= _MOST_REQUESTS and 0 <= waiting <= _MOST_REQUESTS
    if not is_possible or not 0 <= slots <= MOST_SLOTS:
        return None
    return AnsweredLoad(running, waiting, slots)


def read_cold_seconds(value: bytes | None) -> float | None:
    """Return how much longer the back end stays cold, stated as a duration such as ``350ms``."""
    seconds = parse_duration(value.decode("latin-1")) if value is not None else None
    if seconds is None or seconds > LONGEST_COLD_SECONDS:
        return None
    return seconds
