"""Requests of a region move to other regions step by step while nothing fails.

What users saw: on a quiet network a large part of one region's requests was answered from another
region from one moment to the next, in some runs only; warm caches and short ways were lost at once.

Order of events: each daemon compares samples of the objects that regions ask for, counts daemons
and slots, and marks back ends that warm up. Callers move between regions, or a zone that was away
returns. Some seconds later, with nothing wrong any more, one figure crosses its threshold or the
marks of a whole zone run out together, and every key that depends on it gets another first back
end in the same step. Where the second place of a key's list is in another region, keys of back ends
that cannot be used for a while go there, and all return at one moment.

Cause: placement changed by thresholds and steps where the promise is on the rate of change.

Evidence: with the traffic of one region, the code before the mend moved 0.63 of the requests from
one window to the next when objects turned out to be shared, 0.63 when they no longer were, 0.28
when the region's demand rose, 0.61 when back ends were added in it, and 0.45 at the end of a zone's
warm-up. Callers expect 0.15 at most. Which of these the users met is not known.
"""

import random
from collections.abc import Callable, Iterator, Mapping

import msgspec
import region_traffic
from region_traffic import REGIONS, Placed

from kitekeel_steering.affinity_policy import AffinityPolicy
from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.key_division import RegionObservations
from kitekeel_steering.placement_policy import Candidate, Candidates, PlacementRequest

# What the users state for their deployments: part of a region's requests, from one window to the
# next, and the windows' length.
MAX_MOVED = 0.15
WINDOW_SECONDS = 2.0
DAEMONS = 4
# Each object is asked for twice in a window, so that what moves is not the luck of the draw.
OBJECTS = 200
REQUESTS_A_SECOND = 200
CHANGE_AT = 20.0
WARM_UP_SECONDS = 3.0
END_AT = 60.0


def back_ends(
    middle: int = 8, cold_zone: str = "", extra_in_middle: int = 0
) -> tuple[Candidate, ...]:
    counts = {"north": 8, "middle": middle + extra_in_middle, "south": 8}
    return tuple(
        Candidate(
            BackEndRecord(
                f"{region}-{number}", "search", "127.0.0.1:1", f"{region}-{number % 2}", 4
            ),
            region,
            BackEndLoad(),
            is_cold=f"{region}-{number % 2}" == cold_zone,
        )
        for region, count in counts.items()
        for number in range(count)
    )


def requests() -> Iterator[tuple[float, str]]:
    for number in range(int(END_AT * REQUESTS_A_SECOND)):
        yield number / REQUESTS_A_SECOND, f"book-{number % OBJECTS}"


def place_all(
    regions: RegionObservations,
    candidates_at: Callable[[float], Candidates],
    clock: list[float],
) -> list[Placed]:
    """Place the requests of the middle region's callers; return when each went to which region."""
    generator = random.Random(7)
    daemons = [AffinityPolicy("middle", regions) for _ in range(DAEMONS)]
    placed: list[Placed] = []
    for now, key in requests():
        clock[0] = now
        placement = generator.choice(daemons).choose(
            PlacementRequest("search", key, 0, 2.0),
            candidates_at(now),
            now,
            lambda candidate: not candidate.is_cold,
        )
        assert placement.candidate is not None
        placed.append(Placed(now, "middle", placement.candidate.region))
    return placed


def largest_move(placed: list[Placed]) -> float:
    """Return the largest part of the requests that changed its region between two windows."""
    return region_traffic.largest_move(placed, "middle", 0.0, WINDOW_SECONDS)


def constant(candidates: Candidates) -> Callable[[float], Candidates]:
    return lambda _now: candidates


def objects_turn_out_to_be_shared_or_no_longer(is_shared_later: bool) -> list[Placed]:
    clock = [0.0]
    even = dict.fromkeys(REGIONS, 4.0)
    regions = RegionObservations(
        lambda: even,
        is_shared=lambda _service: (clock[0] >= CHANGE_AT) is is_shared_later,
    )
    return place_all(regions, constant(Candidates(back_ends())), clock)


def demand_rises() -> list[Placed]:
    clock = [0.0]
    even = dict.fromkeys(REGIONS, 4.0)
    uneven: Mapping[str, float] = {**even, "middle": 8.0}
    regions = RegionObservations(lambda: even if clock[0] < CHANGE_AT else uneven)
    return place_all(regions, constant(Candidates(back_ends())), clock)


def room_is_added() -> list[Placed]:
    clock = [0.0]
    even = dict.fromkeys(REGIONS, 4.0)
    before, after = Candidates(back_ends(middle=2)), Candidates(back_ends(2, extra_in_middle=6))
    return place_all(
        RegionObservations(lambda: even),
        lambda now: before if now < CHANGE_AT else after,
        clock,
    )


def cold_back_ends_are_added() -> list[Placed]:
    clock = [0.0]
    even = dict.fromkeys(REGIONS, 4.0)
    before, warm = Candidates(back_ends(middle=2)), back_ends(2, extra_in_middle=6)
    added = {each.record.instance for each in warm} - {
        each.record.instance for each in before.members
    }
    cold = Candidates(
        tuple(msgspec.structs.replace(each, is_cold=each.record.instance in added) for each in warm)
    )
    after = Candidates(warm)

    def candidates_at(now: float) -> Candidates:
        if now < CHANGE_AT:
            return before
        return cold if now < CHANGE_AT + WARM_UP_SECONDS else after

    return place_all(RegionObservations(lambda: even), candidates_at, clock)


def a_zone_ends_its_warm_up() -> list[Placed]:
    clock = [0.0]
    even = dict.fromkeys(REGIONS, 4.0)
    cold, warm = Candidates(back_ends(cold_zone="middle-1")), Candidates(back_ends())
    return place_all(
        RegionObservations(lambda: even),
        lambda now: cold if now < CHANGE_AT else warm,
        clock,
    )


CHANGES: dict[str, Callable[[], list[Placed]]] = {
    "objects turn out to be shared": lambda: objects_turn_out_to_be_shared_or_no_longer(True),
    "objects are no longer shared": lambda: objects_turn_out_to_be_shared_or_no_longer(False),
    "the region's demand rises": demand_rises,
    "back ends are added in the region": room_is_added,
    "cold back ends are added in the region": cold_back_ends_are_added,
}


def test_a_change_of_plan_moves_requests_between_regions_step_by_step() -> None:
    moved = {name: largest_move(play()) for name, play in CHANGES.items()}
    assert all(share <= MAX_MOVED for share in moved.values()), moved


def test_the_end_of_a_zone_s_warm_up_moves_few_requests_between_regions() -> None:
    assert largest_move(a_zone_ends_its_warm_up()) <= MAX_MOVED
