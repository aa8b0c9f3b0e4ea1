"""Selects which requests are admitted at a level, alike at all daemons and without any state.

Load: callers that are refused return, some at once and often, to any daemon. Each request draws a
number from its identity and the current time slot. Repeats within a slot draw the same number at
every daemon, so they gain nothing. The numbers of later slots are known in advance: a refused
caller can be told the first slot in which it will be admitted.
"""

from __future__ import annotations

import math

import msgspec
import xxhash

from kitekeel_steering.admission_window import LOWEST_CORRECTION

# Long enough that a caller that returns when told arrives in its slot although clocks and delays
# differ; short enough that several slots fit into the objective of most requests.
SLOT_SECONDS = 0.25
# An appointment holds at a daemon that has too many requests in flight, and although the level
# itself may have fallen to half by then.
_APPOINTMENT_LEVEL_SHARE = 0.5 * LOWEST_CORRECTION
_DRAWS = float(2**64)


class Appointment(msgspec.Struct, frozen=True):
    """When a refused request will be admitted.

    Attributes:
        slot: index of the time slot.
        at: wall-clock time of the middle of the slot, in seconds.
    """

    slot: int
    at: float


def slot_at(wall_seconds: float) -> int:
    """Return the index of the time slot of a wall-clock time."""
    return math.floor(wall_seconds / SLOT_SECONDS)


def draw(identity: bytes, slot: int) -> float:
    """Return the number of a request in a slot, from 0 to below 1, evenly distributed."""
    return min(xxhash.xxh64_intdigest(identity, seed=slot) / _DRAWS, math.nextafter(1.0, 0.0))


def is_admitted(identity: bytes, level: float, wall_seconds: float) -> bool:
    """Return whether a request is admitted at a level."""
    return draw(identity, slot_at(wall_seconds)) < level


def find_appointment(
    identity: bytes, level: float, earliest: float, latest: float
) -> Appointment | None:
    """Return the first slot in which a request is admitted, or ``None`` if there is none in time.

    Args:
        identity: the same for all tries of a request.
        level: the admission level in force.
        earliest: wall-clock time in seconds; only slots that begin later are considered.
        latest: wall-clock time in seconds by which the request must be admitted.
    """
    slot = slot_at(earliest) + 1
    while (middle := (slot + 0.5) * SLOT_SECONDS) <= latest:
        if draw(identity, slot) < _APPOINTMENT_LEVEL_SHARE * level:
            return Appointment(slot, middle)
        slot += 1
    return None
