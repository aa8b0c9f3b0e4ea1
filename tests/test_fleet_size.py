"""The number of daemons by which a daemon that has just started divides shared limits."""

import asyncio

import pytest

from kitekeel_daemon.fleet_size import FleetSize
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_platform.fleet_store import RegisteredDaemon
from kitekeel_steering.clock import ManualClock

# Later than the shortened settling time of 4 s, earlier than the full one of 10 s.
ELAPSED_SECONDS = 4.5


def member(number: int) -> MemberRecord:
    return MemberRecord(f"d{number}", "north", "n1", 1, f"127.0.0.1:{number}", "", "")


@pytest.mark.parametrize(
    ("registered", "live", "all_start", "expected"),
    [
        (3, 3, False, 3),
        (3, 2, False, 16),
        (None, 3, False, 16),
        (1, 1, False, 16),
        (3, 3, True, 16),
    ],
)
def test_assumes_many_daemons_until_all_listed_in_the_store_are_found(
    registered: int | None, live: int, all_start: bool, expected: int
) -> None:
    """Guards against daemons that each take a whole limit after all were killed at once."""
    clock = ManualClock()
    size = FleetSize(clock, ["north"], all_start)
    if registered is not None:
        listed = (RegisteredDaemon(f"d{number}", "127.0.0.1:1") for number in range(registered))
        size.note_registered(tuple(listed))
    table = MemberTable(member(0), clock, lambda _: None)
    table.merge([member(number) for number in range(1, live)])

    async def count_once() -> None:
        task = asyncio.create_task(size.run(table))
        await asyncio.sleep(0)
        task.cancel()

    asyncio.new_event_loop().run_until_complete(count_once())
    clock.advance(ELAPSED_SECONDS)
    assert size.daemons.value() == expected
