"""Enforcement and utilization of advertised rate limits in a fleet of gateways."""

import asyncio
import time
from collections.abc import Sequence

from gateway_stand_ins import RunningGateway, configuration, play
from limited_back_ends import (
    WINDOW_SECONDS,
    KeyedTraffic,
    LimitedBackEnd,
    allowed,
)
from memory_store import MemoryStore

GATEWAYS = 6
BACK_ENDS = 6
PER_SECOND = 110.0
IN_TIME_SECONDS = 0.5
MIN_USED = 0.7
MIN_IN_TIME = 0.97


async def limited_fleet(
    zones: Sequence[str],
) -> tuple[list[RunningGateway], list[LimitedBackEnd]]:
    store = MemoryStore()
    await store.put_configuration(configuration())
    back_ends = [
        LimitedBackEnd(f"b{number}", zone=zones[number % len(zones)]) for number in range(BACK_ENDS)
    ]
    for each in back_ends:
        await each.start()
        await store.put_back_end(each.record)
    first = await RunningGateway(store, "g0", zone=zones[0]).start()
    others = (
        RunningGateway(store, f"g{number}", first.peers, zones[number % len(zones)]).start()
        for number in range(1, GATEWAYS)
    )
    return [first, *await asyncio.gather(*others)], back_ends


def check_limits_hold_and_are_used(zones: Sequence[str]) -> None:
    async def scenario() -> None:
        gateways, back_ends = await limited_fleet(zones)
        traffic = KeyedTraffic(gateways, PER_SECOND)
        await traffic.run(2.0)
        limits = {back_ends[0]: 3.0, back_ends[1]: 4.0}
        for back_end, rate in limits.items():
            back_end.advertise_limit(str(rate))
        begin = time.monotonic()
        await traffic.run(12.0)
        for back_end, rate in limits.items():
            most = back_end.most_in_a_window()
            used = back_end.arrival_rate(begin + WINDOW_SECONDS, begin + 12.0) / rate
            print(f"limit {rate}: most {most}, allowed {allowed(rate)}, used {used:.2f}")
            assert most <= allowed(rate)
            assert used >= MIN_USED
        in_time = traffic.fraction_in_time(IN_TIME_SECONDS)
        print(f"statuses {traffic.statuses()}, in time {in_time:.3f}")
        assert in_time >= MIN_IN_TIME

    play(scenario)


def test_a_named_rate_limit_holds_over_all_gateways_and_is_used() -> None:
    check_limits_hold_and_are_used(("n1",))


def test_a_named_rate_limit_holds_over_gateways_of_two_regions_and_is_used() -> None:
    """Guards against tokens not being forwarded to the region of the back end."""
    check_limits_hold_and_are_used(("n1", "s1"))
