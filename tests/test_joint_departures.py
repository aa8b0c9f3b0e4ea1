"""Whole gateways when the back ends of a zone leave together, without announcing it."""

import asyncio
import time

import msgspec
import pytest
from gateway_stand_ins import RunningGateway, ask, fleet, play, split_by_duty, until
from memory_store import MemoryStore

# The shortest bound, over the deployments known, from the store's acknowledgement of a removal to
# the last request that the back end gets.
DEPARTURE_SECONDS = 2.5
# After its first answer a daemon takes many removals at once for lapses; see StoreContact.
START_SECONDS = 2.5
BACK_ENDS = 9
LEAVING = 3
DAEMONS = 3
REQUEST_SECONDS = 0.02


async def start_gateways(store: MemoryStore) -> list[RunningGateway]:
    first = await RunningGateway(store, "g0").start()
    others = [
        await RunningGateway(store, f"g{number}", first.peers).start()
        for number in range(1, DAEMONS)
    ]
    gateways = [first, *others]
    members = [each.gateway.membership.table for each in gateways]
    assert await until(lambda: all(len(each.live()) == DAEMONS for each in members), 10.0)
    return gateways


@pytest.mark.parametrize("after_change", [False, True])
def test_no_request_reaches_back_ends_of_a_zone_later_than_the_bound_after_they_left(
    after_change: bool,
) -> None:
    """Guards against removals that are held because of their number, on top of the collecting."""

    async def scenario() -> None:
        store, back_ends = await fleet(BACK_ENDS)
        gateways = await start_gateways(store)
        _, followers = split_by_duty(gateways)
        assert followers
        await asyncio.sleep(START_SECONDS)
        if after_change:
            await store.put_back_end(msgspec.structs.replace(back_ends[-1].record, slots=5))
            await asyncio.sleep(0.05)
        leaving = back_ends[:LEAVING]
        for each in leaving:
            await store.remove_back_end(each.record.instance)
        removed_at = time.monotonic()
        asking: list[asyncio.Task[tuple[int, dict[str, str], str]]] = []
        late_ids: set[str] = set()
        while time.monotonic() - removed_at < DEPARTURE_SECONDS + 0.5:
            request_id = f"q{len(asking)}"
            if time.monotonic() - removed_at > DEPARTURE_SECONDS:
                late_ids.add(request_id)
            gateway = gateways[len(asking) % DAEMONS]
            key = str(len(asking))
            asking.append(asyncio.create_task(ask(gateway.callers, "/safe/x", request_id, key=key)))
            await asyncio.sleep(REQUEST_SECONDS)
        statuses = {(await each)[0] for each in asking}
        assert statuses == {200}
        assert not late_ids & {request_id for each in leaving for request_id in each.ran}
        assert late_ids

    play(scenario)
