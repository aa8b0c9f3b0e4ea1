"""Tenants with a home in a small region: what its back ends are asked for beside them."""

import random
from collections import Counter

from kitekeel_steering.affinity_policy import AffinityPolicy
from kitekeel_steering.back_end_load import BackEndLoad
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.homed_demand import HomedShares, free_factors, homed_shares
from kitekeel_steering.key_division import RegionObservations
from kitekeel_steering.placement_policy import Candidate, Candidates, PlacementRequest
from kitekeel_steering.tenants import Tenant

SLOTS = 4
BACK_ENDS = {"north": 36, "middle": 44, "south": 8}
DEMAND = dict.fromkeys(BACK_ENDS, 1.0)
HOMED = 0.06
REQUESTS = 6000


def test_the_part_of_homed_tenants_follows_from_limits() -> None:
    tenants = [
        Tenant("a", rate=60.0, home_regions=("south",)),
        Tenant("b", rate=20.0, home_regions=("south", "north")),
        Tenant("c", rate=20.0, home_regions=("north", "south")),
        Tenant("d", rate=100.0),
        Tenant("unlimited", home_regions=("south",)),
    ]
    assert homed_shares(tenants) == {("south",): 0.3, ("north", "south"): 0.2}
    assert homed_shares([Tenant("unlimited", home_regions=("south",))]) == {}


def test_regions_keep_what_is_left_beside_their_homed_requests() -> None:
    slots = {"north": 100, "middle": 80, "south": 20}
    assert free_factors(slots, {}) == {}
    assert free_factors(slots, {("south",): 0.05}) == {"south": 0.5}
    both = free_factors(slots, {("north", "south"): 0.12})
    assert round(both["north"], 6) == round(both["south"], 6) == 0.8
    assert free_factors(slots, {("south",): 0.5}) == {"south": 0.05}
    assert free_factors(slots, {("west",): 0.5}) == {}


def candidates(homes: tuple[str, ...] = ()) -> Candidates:
    members = [
        Candidate(
            BackEndRecord(f"{region}{number}", "search", "", region, SLOTS), region, BackEndLoad()
        )
        for region, count in BACK_ENDS.items()
        if not homes or region in homes
        for number in range(count)
    ]
    return Candidates(tuple(members), home_regions=homes)


def busiest_region(homed: HomedShares) -> float:
    """Return the requests of a slot in the busiest region, as a multiple of the mean."""
    generator = random.Random(3)
    anywhere, at_home = candidates(), candidates(("south",))
    observations = RegionObservations(lambda: DEMAND, homed=lambda: homed)
    policies = {region: AffinityPolicy(region, observations) for region in BACK_ENDS}
    placed: Counter[str] = Counter()
    for number in range(REQUESTS):
        group = at_home if generator.random() < HOMED else anywhere
        request = PlacementRequest("search", f"k{generator.randrange(400)}", 0, 3.0)
        policy = policies[generator.choice(list(BACK_ENDS))]
        found = policy.choose(request, group, number / 300, lambda _: True)
        assert found.candidate is not None
        placed[found.candidate.region] += 1
    mean = REQUESTS / sum(BACK_ENDS.values())
    return max(placed[region] / count / mean for region, count in BACK_ENDS.items())


def test_a_small_region_is_not_filled_twice() -> None:
    """Its slots are asked for 1.0 times as much as all in the mean; 1.6 times without."""
    assert busiest_region({}) > 1.4
    assert busiest_region({("south",): HOMED}) < 1.15
