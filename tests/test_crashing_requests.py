"""One request must not end back end after back end.

What callers saw: a request that ended every back end that ran it came again and again, each time
with a new id and at any daemon. It ended some forty back ends, and with each of them went the
requests beside it: over a tenth of all requests of its service were not served.

The order of events: a daemon takes the request to a back end, which ends 0.1 s later; the exchange
breaks off (``request-sent`` with ``connection-broken``), the next connection is refused. The daemon
repeats it where the route allows that, and a second one ends. The caller hears that the outcome is
unknown and asks again, at another daemon, where all begins at zero.

The cause: bounds on repeats held for one try and for a service's window. Nothing knew a request
again under another id, and nothing told the end of a process from a broken connection, so no
daemon could learn what the fleet had seen.

The evidence, on the code before: of the crashing request's sends later than 4 s after the third
end, 55 where it may be repeated and 47 where it may not, three allowed; so the daemon's own repeats
are not the cause. Of the other requests 0.59 and 0.89 were answered. Requests that ran beside it
were answered in between, so it is not the back ends that end by themselves.
"""

import asyncio
import itertools
import random
import time

import msgspec
import pytest
from crashing_back_end import Arrival, CrashingBackEnd
from gateway_stand_ins import (
    SECRET,
    RunningGateway,
    ask,
    configuration,
    draining,
    play,
    until,
)
from memory_store import MemoryStore

from kitekeel_operators.client import OperatorRefusedError
from kitekeel_operators.crash_records import fetch_crash_reports, format_crash_reports, release

# What the users allow: sends by daemons in touch later than this after the third end.
CONTACT_SECONDS = 4.0
MAX_SENDS_AFTER = 3
# The news of the third end reaches every daemon within a second on the longest ways known.
NEWS_SECONDS = 1.0
# The aim is that everyone else is served; a back end that ends in its last try takes a few with it.
MIN_SERVED_SHARE = 0.98

CRASHING_PATH = "crash"
SLOW_PATH = "slow"
_ids = itertools.count()


class Load(msgspec.Struct):
    """Requests of one path at a steady rate, each at any of the gateways."""

    path: str
    per_second: float
    key: str = ""
    answers: list[tuple[float, int]] = []

    async def run(self, gateways: list[RunningGateway], seconds: float) -> None:
        async with asyncio.TaskGroup() as group:
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                group.create_task(self._ask(random.choice(gateways).callers))
                await asyncio.sleep(1.0 / self.per_second)

    async def _ask(self, address: str) -> None:
        sent_at = time.monotonic()
        path = self.path if self.path.endswith("!") else f"{self.path}/{next(_ids)}"
        try:
            status, _, _ = await ask(address, path.rstrip("!"), f"q{next(_ids)}", 2000, self.key)
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        self.answers.append((sent_at, status))

    def served_share(self, since: float) -> float:
        statuses = [status for at, status in self.answers if at >= since]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


async def crashing_fleet(
    gateways: int = 4, back_ends: int = 10, takes_new_names: bool = False
) -> tuple[MemoryStore, list[CrashingBackEnd], list[RunningGateway]]:
    store = MemoryStore()
    await store.put_configuration(configuration())
    started = [
        await CrashingBackEnd(store, f"b{number}", takes_new_names=takes_new_names).start()
        for number in range(back_ends)
    ]
    for each in started:
        each.seconds_by_part[SLOW_PATH] = 0.3
    entries: list[RunningGateway] = []
    for number in range(gateways):
        seeds = ", ".join(each.peers for each in entries)
        entries.append(await RunningGateway(store, f"g{number}", seeds).start())
    await until(lambda: all(_knows_all(each, gateways) for each in entries), 8.0)
    return store, started, entries


def _knows_all(entry: RunningGateway, gateways: int) -> bool:
    live = entry.gateway.membership.table.live()
    return len([each for each in live if each.is_serving]) == gateways


def crashing_arrivals(back_ends: list[CrashingBackEnd], path: str) -> list[Arrival]:
    found = [arrival for each in back_ends for arrival in each.arrivals if arrival.path == path]
    return sorted(found, key=lambda each: each.at)


def third_end(back_ends: list[CrashingBackEnd], path: str) -> float:
    ends = sorted(
        each.at for back_end in back_ends for each in back_end.crashes if each.path == path
    )
    return ends[2]


async def play_a_crashing_request(route: str, takes_new_names: bool) -> None:
    _, back_ends, gateways = await crashing_fleet(takes_new_names=takes_new_names)
    crashing = Load(f"/{route}/{CRASHING_PATH}!", 5.0, "object", [])
    others = Load(f"/{route}/other", 50.0, "", [])
    # The same object: it often runs beside the crashing request.
    beside = Load(f"/{route}/{SLOW_PATH}!", 12.0, "object", [])
    seconds = CONTACT_SECONDS + 4.0
    async with asyncio.TaskGroup() as group:
        for each in (crashing, others, beside):
            group.create_task(each.run(gateways, seconds))
    path = f"/{route}/{CRASHING_PATH}"
    ended_at = third_end(back_ends, path)
    arrivals = crashing_arrivals(back_ends, path)
    after_contact = [each for each in arrivals if each.at > ended_at + CONTACT_SECONDS]
    after_news = [each for each in arrivals if each.at > ended_at + NEWS_SECONDS]
    assert len(after_contact) <= MAX_SENDS_AFTER, (route, len(arrivals))
    assert len(after_news) <= MAX_SENDS_AFTER, (route, len(arrivals))
    settled = ended_at + NEWS_SECONDS + 2.0
    assert others.served_share(settled) >= MIN_SERVED_SHARE, route
    assert beside.served_share(settled) >= MIN_SERVED_SHARE, route
    refused = [status for at, status in crashing.answers if at > ended_at + NEWS_SECONDS]
    assert refused and set(refused) == {503}, (route, refused)


def test_a_request_that_ends_back_ends_is_known_again_at_every_daemon() -> None:
    for route, takes_new_names in (("safe", True), ("unsafe", False)):
        play(lambda: play_a_crashing_request(route, takes_new_names))  # noqa: B023


CRASHING_REQUEST_COUNT = 20


async def play_many_crashing_requests() -> None:
    """A harmless request must not be quarantined for ends that other requests cause."""
    _, back_ends, gateways = await crashing_fleet(back_ends=CRASHING_REQUEST_COUNT)
    beside = Load(f"/safe/{SLOW_PATH}!", 12.0, "object", [])
    crashing = [
        Load(f"/safe/{CRASHING_PATH}-{number}!", 5.0, f"object-{number}", [])
        for number in range(CRASHING_REQUEST_COUNT)
    ]
    async with asyncio.TaskGroup() as group:
        group.create_task(beside.run(gateways, 20.0))
        await asyncio.sleep(4.0)
        for each in crashing:
            group.create_task(each.run(gateways, 15.0))
        assert await until(
            lambda: all(quarantined(each) >= CRASHING_REQUEST_COUNT for each in gateways), 14.0
        )
        settled = time.monotonic() + NEWS_SECONDS
    assert beside.served_share(settled) >= MIN_SERVED_SHARE


def test_a_request_answered_before_is_served_beside_many_crashing_ones() -> None:
    play(play_many_crashing_requests)


MAX_NEWS_SECONDS = 3.0


async def end_three_back_ends(gateways: list[RunningGateway], path: str) -> None:
    """Ask for a path that ends its back end until it is refused, and that by every gateway."""
    for _ in range(20):
        status, _, _ = await ask(random.choice(gateways).callers, path, f"q{next(_ids)}")
        if status == 503:
            break
    assert await until(lambda: all(quarantined(each) for each in gateways), MAX_NEWS_SECONDS)


def quarantined(entry: RunningGateway) -> int:
    return entry.gateway.quarantined_requests()


async def sends_after(
    gateways: list[RunningGateway], back_ends: list[CrashingBackEnd], path: str
) -> int:
    """Return how many of twenty further tries reach a back end."""
    before = len(crashing_arrivals(back_ends, path))
    for _ in range(20):
        await ask(random.choice(gateways).callers, path, f"q{next(_ids)}")
    return len(crashing_arrivals(back_ends, path)) - before


def test_the_refusal_is_at_once_and_true_and_says_to_stay_away() -> None:
    async def scenario() -> None:
        _, back_ends, gateways = await crashing_fleet(gateways=2, back_ends=5)
        await end_three_back_ends(gateways, "/unsafe/crash")
        before = len(crashing_arrivals(back_ends, "/unsafe/crash"))
        asked_at = time.monotonic()
        status, headers, _ = await ask(gateways[0].callers, "/unsafe/crash", "again")
        assert time.monotonic() - asked_at < 0.2
        assert status == 503
        assert float(headers["retry-after"]) >= 10.0
        assert len(crashing_arrivals(back_ends, "/unsafe/crash")) == before

    play(scenario)


def test_the_fleet_knows_it_after_all_daemons_were_lost_together() -> None:
    async def scenario() -> None:
        store, back_ends, gateways = await crashing_fleet(gateways=2, back_ends=6)
        await end_three_back_ends(gateways, "/unsafe/crash")
        assert await until(lambda: bool(store.crash_records), MAX_NEWS_SECONDS)
        await RunningGateway.kill_all()
        later = [await RunningGateway(store, f"h{number}").start() for number in range(2)]
        assert await until(lambda: all(quarantined(each) for each in later), MAX_NEWS_SECONDS)
        assert await sends_after(later, back_ends, "/unsafe/crash") == 0

    play(scenario)


def test_daemons_tell_each_other_while_the_store_is_away_and_one_that_starts() -> None:
    async def scenario() -> None:
        store, back_ends, gateways = await crashing_fleet(gateways=3, back_ends=6)
        store.turned_away.update({"g0", "g1", "g2", "late"})
        await end_three_back_ends(gateways, "/unsafe/crash")
        assert not store.crash_records
        seeds = ", ".join(each.peers for each in gateways)
        late = await RunningGateway(store, "late", seeds).start()
        assert await until(lambda: quarantined(late) == 1, MAX_NEWS_SECONDS)
        assert await sends_after([late], back_ends, "/unsafe/crash") == 0
        store.turned_away.clear()
        assert await until(lambda: bool(store.crash_records), MAX_NEWS_SECONDS)

    play(scenario)


def test_another_version_of_the_service_is_tried_once_by_the_whole_fleet() -> None:
    async def scenario() -> None:
        store, back_ends, gateways = await crashing_fleet(gateways=2, back_ends=5)
        await end_three_back_ends(gateways, "/unsafe/crash")
        mended = [CrashingBackEnd(store, f"m{number}", version="2") for number in range(2)]
        for each in mended:
            await each.start()
        await until(lambda: all(_knows(each, "m1") for each in gateways), MAX_NEWS_SECONDS)
        for _ in range(30):
            await ask(random.choice(gateways).callers, "/unsafe/crash", f"q{next(_ids)}")
            await asyncio.sleep(0.02)
        assert len(crashing_arrivals(mended, "/unsafe/crash")) == 1
        assert all(quarantined(each) for each in gateways)

    play(scenario)


def test_a_try_for_which_no_back_end_was_to_be_had_is_not_lost() -> None:
    """The new version's back end is cold, and its turn comes only after a while."""

    async def scenario() -> None:
        store, _, gateways = await crashing_fleet(gateways=1, back_ends=5)
        await end_three_back_ends(gateways, "/unsafe/crash")
        mended = await CrashingBackEnd(store, "m0", version="2", cold_seconds=20.0).start()
        await until(lambda: _knows(gateways[0], "m0"), MAX_NEWS_SECONDS)
        for _ in range(80):
            await ask(gateways[0].callers, "/unsafe/crash", f"q{next(_ids)}")
            await asyncio.sleep(0.05)
        assert len(crashing_arrivals([mended], "/unsafe/crash")) == 1

    play(scenario)


def test_nothing_is_tried_where_it_may_take_half_of_a_service() -> None:
    async def scenario() -> None:
        store, back_ends, gateways = await crashing_fleet(gateways=1, back_ends=2)
        while not quarantined(gateways[0]):
            await ask(gateways[0].callers, "/unsafe/crash", f"q{next(_ids)}")
            await asyncio.sleep(0.3)
        await store.put_back_end(draining(back_ends[0].record))
        mended = await CrashingBackEnd(store, "m0", version="2").start()
        await until(lambda: _knows(gateways[0], "m0"), MAX_NEWS_SECONDS)
        assert await sends_after(gateways, [mended], "/unsafe/crash") == 0
        another = await CrashingBackEnd(store, "m1", version="2").start()
        await until(lambda: _knows(gateways[0], "m1"), MAX_NEWS_SECONDS)
        for _ in range(20):
            await ask(gateways[0].callers, "/unsafe/crash", f"q{next(_ids)}")
            await asyncio.sleep(0.02)
        assert len(crashing_arrivals([mended, another], "/unsafe/crash")) == 1

    play(scenario)


def test_a_version_that_bears_the_request_releases_it_everywhere() -> None:
    async def scenario() -> None:
        store, _, gateways = await crashing_fleet(gateways=2, back_ends=3)
        await end_three_back_ends(gateways, "/unsafe/crash")
        CrashingBackEnd.harmless_versions = frozenset({"2"})
        try:
            mended = await CrashingBackEnd(store, "m0", version="2").start()
            await until(lambda: all(_knows(each, "m0") for each in gateways), MAX_NEWS_SECONDS)
            for _ in range(30):
                await ask(gateways[0].callers, "/unsafe/crash", f"q{next(_ids)}")
                await asyncio.sleep(0.02)
            released = await until(
                lambda: not any(quarantined(each) for each in gateways), MAX_NEWS_SECONDS
            )
            assert released
            assert mended.arrivals
        finally:
            CrashingBackEnd.harmless_versions = frozenset()

    play(scenario)


def _knows(entry: RunningGateway, instance: str) -> bool:
    return entry.gateway.view.find_back_end(instance) is not None


def test_mere_suspects_cost_the_store_nothing() -> None:
    """Back ends end by themselves while many requests run: each daemon reads once, at its start."""

    async def scenario() -> None:
        store, back_ends, gateways = await crashing_fleet(gateways=2, back_ends=6)
        many = Load("/safe/slow", 60.0, "", [])
        tasks: list[asyncio.Task[None]] = []

        async def end_in_turn() -> None:
            for each in back_ends:
                tasks.append(asyncio.create_task(each.crash()))
                await asyncio.sleep(0.5)

        async with asyncio.TaskGroup() as group:
            group.create_task(end_in_turn())
            group.create_task(many.run(gateways, 3.5))
        calls = [each.gateway.metrics.store_calls("read-crash-records") for each in gateways]
        assert calls == [1, 1]
        assert not store.crash_records

    play(scenario)


def test_an_operator_sees_the_evidence_and_releases_the_request() -> None:
    async def scenario() -> None:
        _, _, gateways = await crashing_fleet(gateways=2, back_ends=5)
        await end_three_back_ends(gateways, "/unsafe/crash")
        address = gateways[0].metrics
        reports = await asyncio.to_thread(fetch_crash_reports, address)
        assert [each.is_quarantined for each in reports] == [True]
        # The next try may have come to the other gateway before the news.
        assert len(reports[0].ends) >= 3
        text = format_crash_reports(reports)
        assert reports[0].identity in text
        assert "processes ended" in text
        with pytest.raises(OperatorRefusedError):
            await asyncio.to_thread(release, address, reports[0].identity, "not-the-secret")
        with pytest.raises(OperatorRefusedError):
            await asyncio.to_thread(release, address, "nothing", SECRET)
        await asyncio.to_thread(release, address, reports[0].identity, SECRET)
        assert await until(
            lambda: not any(quarantined(each) for each in gateways), MAX_NEWS_SECONDS
        )

    play(scenario)


def test_a_request_that_was_only_beside_is_served_again_soon() -> None:
    """Back ends end by themselves, four in a second, while one object is asked for all the time.

    It may happen to run at three of them in a row. Then one try shows that it is harmless.
    """

    async def scenario() -> None:
        _, back_ends, gateways = await crashing_fleet(gateways=2, back_ends=8)
        hot = Load("/safe/slow!", 20.0, "object", [])
        tasks: list[asyncio.Task[None]] = []

        async def end_in_turn() -> None:
            for number in range(12):
                tasks.append(asyncio.create_task(back_ends[number % len(back_ends)].crash()))
                await asyncio.sleep(0.25)

        async with asyncio.TaskGroup() as group:
            group.create_task(end_in_turn())
            group.create_task(hot.run(gateways, 3.0))
        later = Load("/safe/slow!", 20.0, "object", [])
        await later.run(gateways, 14.0)
        assert not any(quarantined(each) for each in gateways)
        assert later.served_share(time.monotonic() - 2.0) == 1.0

    play(scenario)
