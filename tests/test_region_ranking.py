"""Each region serves its own callers as far as its slots go, and all its daemons agree how."""

from collections import Counter

import pytest

from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.placement_policy import Candidate
from kitekeel_steering.region_ranking import RegionPlan, local_share, region_room

EVEN = {"north": 1.0, "middle": 1.0, "south": 1.0}
KEYS = [f"book-{number}" for number in range(600)]


def members(**count_by_region: int) -> list[Candidate]:
    return [
        Candidate(
            BackEndRecord(f"{region}-{number}", "search", "127.0.0.1:1", f"{region}-1", 4),
            region,
            BackEndLoad(),
        )
        for region, count in count_by_region.items()
        for number in range(count)
    ]


def settled_plan(region: str, back_ends: list[Candidate], demand: dict[str, float]) -> RegionPlan:
    """Return how keys asked for in one region are divided once nothing changes any more."""
    return RegionPlan(region, local_share(region_room(region, back_ends), demand, region))


def firsts(region: str, back_ends: list[Candidate], demand: dict[str, float]) -> dict[str, str]:
    """Return the first back end of each key that is asked for in a region."""
    plan = settled_plan(region, back_ends, demand)
    found = {key: plan.rank(f"{region}/{key}", back_ends).first() for key in KEYS}
    return {key: first.record.instance for key, first in found.items() if first is not None}


def test_a_region_with_its_part_of_the_slots_keeps_all_its_keys() -> None:
    back_ends = members(north=6, middle=6, south=6)
    assert all(name.startswith("north") for name in firsts("north", back_ends, EVEN).values())


def test_a_region_with_few_slots_keeps_the_part_that_they_can_carry() -> None:
    back_ends = members(north=2, middle=8, south=10)
    work: Counter[str] = Counter()
    for region in EVEN:
        work.update(name.split("-")[0] for name in firsts(region, back_ends, EVEN).values())
    # Each region has a third of the demand; north has a tenth of the slots.
    all_keys = len(KEYS) * len(EVEN)
    assert work["north"] / all_keys == pytest.approx(0.1, abs=0.03)
    assert work["middle"] / all_keys == pytest.approx(0.4, abs=0.05)
    assert work["south"] / all_keys == pytest.approx(0.5, abs=0.05)


def test_a_region_that_asks_for_less_keeps_more_of_its_keys() -> None:
    back_ends = members(north=2, middle=8, south=10)
    quiet_north = {"north": 0.2, "middle": 1.0, "south": 1.0}
    assert settled_plan("north", back_ends, quiet_north).local_share == 1.0
    assert settled_plan("north", back_ends, EVEN).local_share < 0.3


def test_slots_count_and_not_back_ends() -> None:
    large = Candidate(
        BackEndRecord("large", "search", "127.0.0.1:1", "n", 12), "north", BackEndLoad()
    )
    ranked = Counter(firsts("south", [large, *members(north=1)], EVEN).values())
    assert ranked["large"] / len(KEYS) == pytest.approx(0.75, abs=0.06)


def test_only_the_keys_of_a_back_end_that_leaves_move_where_regions_have_room() -> None:
    back_ends = members(north=6, middle=6, south=4)
    before = firsts("north", back_ends, EVEN)
    left = [each for each in back_ends if each.record.instance != "north-0"]
    after = firsts("north", left, EVEN)
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == "north-0"}


def test_a_region_without_back_ends_or_without_known_demand_uses_all_others() -> None:
    back_ends = members(middle=5, south=5)
    for demand in (EVEN, {}):
        used = {name.split("-")[0] for name in firsts("north", back_ends, demand).values()}
        assert used == {"middle", "south"}
