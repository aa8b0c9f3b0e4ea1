"""A burst in one region moves its requests to other regions within the bound that users state.

What users saw: with no trouble near, much of one region's traffic changed its region from one
window of two seconds to the next, in some runs only.

Order of events: the region's callers ask for several times as much. Within half a second the first
back ends of most keys are busy, and each daemon sends on to a key's second back end, which is in
another region for two keys of three. When the burst is over, all of them come home as quickly.

Cause: nothing bounded how much of a region's traffic leaves it for busy back ends.

Evidence: on a day with a burst of 2.3 times the usual requests, 0.27 of the requests of the region
that the users named moved in its first two seconds; of 990 logged sends there, 238 had left for
busy first back ends and 49 as repeats after a back end's "no room". In this simulation, before the
mend, 0.03 of the requests moved where the callers ask for 1.7 times as much, 0.19 at 2.5 times and
0.28 at 4 times; 0.15 are allowed.
"""

import pytest
from region_traffic import RegionTraffic, largest_move

# What the users state for their deployments, with the windows' length.
MAX_MOVED = 0.15
WINDOW_SECONDS = 2.0
# Half of the region's slots are busy with it.
USUAL_REQUESTS_A_SECOND = 185.0
WARM_AFTER_SECONDS = 8.0


def moved_by_burst(factor: float) -> float:
    def requests_a_second(region: str, now: float) -> float:
        is_burst = region == "middle" and 20.0 <= now < 26.0
        return USUAL_REQUESTS_A_SECOND * (factor if is_burst else 1.0)

    traffic = RegionTraffic(requests_a_second)
    traffic.run(32.0)
    return largest_move(traffic.placed, "middle", WARM_AFTER_SECONDS, WINDOW_SECONDS)


@pytest.mark.parametrize("factor", [1.0, 1.7])
def test_usual_bursts_move_few_requests_to_other_regions(factor: float) -> None:
    assert moved_by_burst(factor) <= MAX_MOVED


def test_a_large_burst_moves_requests_to_other_regions_within_the_bound() -> None:
    moved = {factor: moved_by_burst(factor) for factor in (2.5, 4.0)}
    assert all(share <= MAX_MOVED for share in moved.values()), moved


def test_a_region_that_stays_overloaded_gives_keys_to_others_step_by_step() -> None:
    """Without the bound, 190 requests in 5 s are refused throughout; with the bound alone 350."""
    begin, end = 20.0, 45.0

    def requests_a_second(region: str, now: float) -> float:
        is_busy = region == "middle" and now >= begin
        return USUAL_REQUESTS_A_SECOND * (2.5 if is_busy else 1.0)

    traffic = RegionTraffic(requests_a_second)
    refused: list[int] = []
    for second in range(int(end) + 1):
        traffic.run(float(second))
        refused.append(traffic.refused["middle"])
    first_seconds = refused[int(begin) + 5] - refused[int(begin)]
    last_seconds = refused[int(end)] - refused[int(end) - 5]
    assert last_seconds < 0.7 * first_seconds
    assert largest_move(traffic.placed, "middle", WARM_AFTER_SECONDS, WINDOW_SECONDS) <= MAX_MOVED
