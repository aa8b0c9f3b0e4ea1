"""Expected time of an answer at back ends that report how long work takes there at the moment.

Load: back ends share their machines with others, and some are several times as slow for a second or
so while the rest have free slots. A request should then leave the back ends that keep its object
cached only while these are slower than a cache miss elsewhere, and the daemons of a fleet must not
all move to the same back end.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from kitekeel_steering.placement_policy import Candidate
from kitekeel_steering.present_speed import SLOW_FACTOR

# Used until a service's first answer. On known deployments a cache hit takes 0.1 s and a miss 0.25
# to 0.85 s.
DEFAULT_SERVICE_SECONDS = 0.3
# Expected times within this band are equal as far as a daemon can know: its figures are a moment
# old, and other daemons decide at the same time.
_EQUAL_SHARE = 0.07
_EQUAL_SECONDS = 0.01
# A back end that is expected to be full keeps a small chance, since the expectation may be wrong.
_MIN_ROOM = 0.1


class ExpectedAnswer(msgspec.Struct, frozen=True):
    """A back end and the expected time of its answer, in seconds."""

    candidate: Candidate
    seconds: float


def queue_seconds(candidate: Candidate, now: float) -> float:
    """Return how long a request would wait for a slot if the work took its usual time."""
    slots = max(1, candidate.record.slots)
    ahead = candidate.load.expected_requests(now) + 1 - slots
    return max(0.0, ahead) / slots * candidate.load.service_seconds(DEFAULT_SERVICE_SECONDS)


def answer_seconds(
    candidate: Candidate, keeps_object: bool, now: float, factor: float | None = None
) -> float:
    """Return the expected time of an answer.

    Args:
        candidate: the back end.
        keeps_object: whether the requested object is probably in its cache.
        now: monotonic time in seconds.
        factor: work factor of the back end; the expected one if omitted.
    """
    load = candidate.load
    work_seconds = load.service_seconds(DEFAULT_SERVICE_SECONDS)
    if not keeps_object:
        miss_seconds = load.service_times.recent_miss_seconds(DEFAULT_SERVICE_SECONDS, now)
        work_seconds = max(work_seconds, miss_seconds)
    present_factor = load.work_factor(now) if factor is None else factor
    return (queue_seconds(candidate, now) + work_seconds) * present_factor


def is_slow(candidate: Candidate, now: float) -> bool:
    """Return whether work at a back end is expected to take far longer than usual."""
    return candidate.load.work_factor(now) >= SLOW_FACTOR


def has_free_slot(candidate: Candidate, now: float) -> bool:
    """Return whether a request would start to run at once."""
    return candidate.load.expected_requests(now) + 1 <= max(1, candidate.record.slots)


class RandomizedOrder:
    """Orders back ends by expected time, with a random one of the nearly equal ones first.

    Args:
        generator: draws the first one.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator

    def sorted(self, answers: Iterable[ExpectedAnswer], now: float) -> list[ExpectedAnswer]:
        """Return the order in which back ends should be tried.

        The first one is drawn from those whose times lie within a small band of the least, weighted
        by their free slots; the others follow by their times.
        """
        by_time = sorted(answers, key=lambda each: each.seconds)
        if not by_time:
            return []
        limit = by_time[0].seconds * (1.0 + _EQUAL_SHARE) + _EQUAL_SECONDS
        equal = [each for each in by_time if each.seconds <= limit]
        weights = [_room(each.candidate, now) for each in equal]
        drawn = self._random.choices(equal, weights)[0]
        return [drawn, *(each for each in by_time if each is not drawn)]


def _room(candidate: Candidate, now: float) -> float:
    return max(_MIN_ROOM, candidate.record.slots - candidate.load.expected_requests(now))
