"""Following the store: records that lapse while it is away do not count as departures."""

import asyncio
import random
import time
from collections.abc import Callable

import msgspec
import pytest

from kitekeel_platform.fleet_store import FleetItems, HistoryLostError, RegisteredDaemon
from kitekeel_platform.fleet_sync import FleetSync, StoreAnswer, SyncListeners
from kitekeel_platform.store_contact import StoreContact
from kitekeel_steering.clock import ManualClock, SystemClock
from kitekeel_steering.errors import PlatformError
from kitekeel_steering.fleet_items import (
    BackEndRecord,
    Extent,
    FleetPart,
    ItemKind,
    PartUpdate,
    ViewItem,
)
from kitekeel_steering.fleet_view import FleetView

# Records run out after an outage of two of these, a little less than the shortest backoff.
HEARTBEAT_SECONDS = 0.02
HOLD_SECONDS = HEARTBEAT_SECONDS + 0.4
# Of tests without an outage: no stall of this process may look like one.
CALM_HEARTBEAT_SECONDS = 2.5
NAMES = ("a", "b", "c", "d")


class StoreDownError(PlatformError):
    """The scripted store is away."""

    code = "store-down"


class Later(msgspec.Struct, frozen=True):
    """An answer that comes only after some time."""

    seconds: float
    found: FleetItems


Script = list[FleetItems | PlatformError | Later]


class ScriptedStore:
    """Answers the reads and watches of one part from a script; then nothing changes any more."""

    def __init__(self, script: Script) -> None:
        self._script = script

    async def read(self, part: FleetPart) -> FleetItems:
        return await self._next()

    async def watch(self, part: FleetPart, after: int, wait_seconds: float) -> FleetItems:
        return await self._next()

    async def _next(self) -> FleetItems:
        if not self._script:
            await asyncio.sleep(60.0)
        answer = self._script.pop(0)
        if isinstance(answer, PlatformError):
            raise answer
        if isinstance(answer, Later):
            await asyncio.sleep(answer.seconds)
            return answer.found
        return answer

    async def probe(self, seconds: float) -> None:
        raise NotImplementedError

    async def grant_lease(self, life_seconds: float) -> int:
        raise NotImplementedError

    async def renew_lease(self, lease: int) -> None:
        raise NotImplementedError

    async def end_lease(self, lease: int) -> None:
        raise NotImplementedError

    async def register(self, daemon: RegisteredDaemon, lease: int) -> None:
        raise NotImplementedError

    async def registered_daemons(self) -> tuple[RegisteredDaemon, ...]:
        raise NotImplementedError


class Observation(msgspec.Struct, frozen=True):
    """The back ends believed in right after the news and after the hold; removals held."""

    at_once: frozenset[str]
    after_hold: frozenset[str]
    held: int


def written(name: str, revision: int, draining: bool = False) -> ViewItem:
    record = BackEndRecord(name, "search", "127.0.0.1:1", "n1", 4, draining)
    return ViewItem(ItemKind.BACK_END, name, revision, back_end=record)


def gone(name: str, revision: int) -> ViewItem:
    return ViewItem(ItemKind.BACK_END, name, revision, removed=True)


def first_read(*draining: str) -> FleetItems:
    return FleetItems(tuple(written(each, 1, each in draining) for each in NAMES), 1)


def observe(script: Script, heartbeat_seconds: float = HEARTBEAT_SECONDS) -> Observation:
    """Follow a script; the last answer is taken as the news.

    Two heartbeats without an answer are an outage, also where this process got no processor time
    for so long: a stall of 50 ms between two answers made one of a test that means none.
    """
    return asyncio.run(_observe(script, heartbeat_seconds))


def back_ends_sync(
    script: Script,
    view: FleetView,
    held_counts: list[int],
    daemons: int = 12,
    contact: StoreContact | None = None,
    answers: list[StoreAnswer] | None = None,
) -> FleetSync:
    sync = FleetSync(
        FleetPart.BACK_ENDS,
        ScriptedStore(script),
        view,
        SyncListeners(
            lambda _name, _is_up, _reason: None,
            lambda _finding: None,
            lambda count, _seconds: held_counts.append(count),
            lambda answer: answers.append(answer) if answers is not None else None,
            lambda _part, _after: None,
        ),
        random.Random(1),
        contact or StoreContact(SystemClock(), HEARTBEAT_SECONDS),
        lambda: daemons,
    )
    sync.follow(True)
    return sync


async def _observe(script: Script, heartbeat_seconds: float) -> Observation:
    view = FleetView(SystemClock())
    held_counts: list[int] = []
    contact = StoreContact(SystemClock(), heartbeat_seconds)
    task = asyncio.create_task(back_ends_sync(script, view, held_counts, contact=contact).run())
    await _until(lambda: not script)
    await asyncio.sleep(0.02)
    at_once = frozenset(view.back_ends("search"))
    await asyncio.sleep(HOLD_SECONDS + 0.2)
    task.cancel()
    return Observation(at_once, frozenset(view.back_ends("search")), sum(held_counts))


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.005)


def test_a_record_that_lapsed_in_an_outage_is_held_and_then_taken_as_gone() -> None:
    seen = observe([first_read(), StoreDownError("away"), FleetItems((gone("a", 5),), 5)])
    assert seen.at_once == set(NAMES)
    assert seen.after_hold == {"b", "c", "d"}
    assert seen.held == 1


def test_a_record_written_again_within_the_hold_never_goes_away() -> None:
    script: Script = [
        first_read(),
        StoreDownError("away"),
        FleetItems((gone("a", 5), written("a", 6)), 6),
    ]
    seen = observe(script)
    assert seen.at_once == set(NAMES)
    assert seen.after_hold == set(NAMES)


def test_a_whole_read_after_an_outage_holds_what_it_lacks() -> None:
    script: Script = [
        first_read(),
        StoreDownError("away"),
        HistoryLostError("compacted"),
        StoreDownError("away"),
        FleetItems((written("b", 1),), 9),
    ]
    seen = observe(script)
    assert seen.at_once == set(NAMES)
    assert seen.after_hold == {"b"}


def test_many_unannounced_removals_at_once_are_held_without_a_noticed_outage() -> None:
    seen = observe([first_read(), FleetItems((gone("a", 5), gone("b", 5), gone("c", 5)), 5)])
    assert seen.at_once == set(NAMES)
    assert seen.after_hold == {"d"}


def _contact_since(seconds: float, clock: ManualClock) -> StoreContact:
    """Return a contact with a store that has answered each second for some time."""
    contact = StoreContact(clock, CALM_HEARTBEAT_SECONDS)
    for _ in range(int(seconds)):
        contact.note_answer()
        clock.advance(1.0)
    contact.note_answer()
    return contact


async def _follow_calmly(script: Script, contact: StoreContact) -> Observation:
    """Follow a script whose last answer is the news; the contact has a clock of its own."""
    view = FleetView(SystemClock())
    held_counts: list[int] = []
    task = asyncio.create_task(back_ends_sync(script, view, held_counts, contact=contact).run())
    await _until(lambda: not script)
    await asyncio.sleep(0.02)
    at_once = frozenset(view.back_ends("search"))
    task.cancel()
    return Observation(at_once, at_once, sum(held_counts))


MASS_REMOVAL = FleetItems((gone("a", 5), gone("b", 5), gone("c", 5)), 5)


@pytest.mark.parametrize(
    "script",
    [
        [first_read(), MASS_REMOVAL],
        [first_read(), HistoryLostError("compacted"), FleetItems((written("d", 1),), 9)],
        [first_read(), FleetItems((written("d", 2),), 2), MASS_REMOVAL],
    ],
    ids=["watch", "whole read", "after a change"],
)
def test_back_ends_that_leave_together_go_at_once_while_the_store_has_always_answered(
    script: Script,
) -> None:
    """Guards against removals of a whole zone that take effect after the drain time."""
    contact = _contact_since(10.0, ManualClock())
    seen = asyncio.run(_follow_calmly(list(script), contact))
    assert seen.at_once == {"d"}
    assert seen.held == 0


@pytest.mark.parametrize(("removals", "held"), [(3, 3), (2, 0)])
def test_many_removals_are_held_after_a_pause_that_may_have_hidden_an_outage(
    removals: int, held: int
) -> None:
    clock = ManualClock()
    contact = _contact_since(10.0, clock)
    clock.advance(2 * CALM_HEARTBEAT_SECONDS)
    contact.note_own_pause(2 * CALM_HEARTBEAT_SECONDS - 0.5)
    news = FleetItems(tuple(gone(each, 5) for each in NAMES[:removals]), 5)
    seen = asyncio.run(_follow_calmly([first_read(), news], contact))
    assert seen.held == held


def test_a_short_pause_of_the_process_holds_no_removal() -> None:
    clock = ManualClock()
    contact = _contact_since(10.0, clock)
    clock.advance(CALM_HEARTBEAT_SECONDS)
    contact.note_own_pause(CALM_HEARTBEAT_SECONDS)
    seen = asyncio.run(_follow_calmly([first_read(), MASS_REMOVAL], contact))
    assert seen.at_once == {"d"}


def test_few_unannounced_removals_take_effect_at_once_however_small_the_fleet() -> None:
    news = FleetItems((gone("a", 5), gone("b", 5)), 5)
    seen = observe([first_read(), news], CALM_HEARTBEAT_SECONDS)
    assert seen.at_once == {"c", "d"}


def test_a_back_end_that_leaves_while_the_store_is_well_goes_at_once() -> None:
    seen = observe([first_read(), FleetItems((gone("a", 5),), 5)], CALM_HEARTBEAT_SECONDS)
    assert seen.at_once == {"b", "c", "d"}
    assert seen.held == 0


def test_a_back_end_that_had_said_it_would_leave_goes_at_once_after_an_outage() -> None:
    seen = observe([first_read("a"), StoreDownError("away"), FleetItems((gone("a", 5),), 5)])
    assert seen.at_once == {"b", "c", "d"}


async def _follow(contact: StoreContact, script: Script, *pauses: float) -> Observation:
    """Follow a script, noting an answer to another call after each pause."""
    view = FleetView(SystemClock())
    held_counts: list[int] = []
    task = asyncio.create_task(back_ends_sync(script, view, held_counts, contact=contact).run())
    for pause in pauses:
        await asyncio.sleep(pause)
        contact.note_answer()
    await _until(lambda: view.extent(FleetPart.BACK_ENDS).last_change == 5 or bool(held_counts))
    at_once = frozenset(view.back_ends("search"))
    task.cancel()
    return Observation(at_once, at_once, sum(held_counts))


def test_a_failure_too_short_for_a_record_to_run_out_holds_no_removal() -> None:
    contact = StoreContact(SystemClock(), heartbeat_seconds=5.0)
    script: Script = [first_read(), StoreDownError("cut"), FleetItems((gone("a", 5),), 5)]
    seen = asyncio.run(_follow(contact, script))
    assert seen.at_once == {"b", "c", "d"}
    assert seen.held == 0


def test_a_removal_long_after_an_outage_is_not_held_though_it_is_the_first_news() -> None:
    heartbeat_seconds = 0.2
    contact = StoreContact(SystemClock(), heartbeat_seconds)
    outage_seconds = 3 * heartbeat_seconds
    news = Later(outage_seconds + 1.2, FleetItems((gone("a", 5),), 5))
    script: Script = [first_read(), StoreDownError("away"), news]
    answers_of_the_probe = [outage_seconds, *[heartbeat_seconds / 2] * 15]
    seen = asyncio.run(_follow(contact, script, *answers_of_the_probe))
    assert seen.at_once == {"b", "c", "d"}
    assert seen.held == 0


async def _seconds_until_third_change(daemons: int) -> float:
    changes = [FleetItems((written("a", revision),), revision) for revision in (2, 3, 4)]
    view = FleetView(SystemClock())
    started_at = time.monotonic()
    task = asyncio.create_task(back_ends_sync([first_read(), *changes], view, [], daemons).run())
    await _until(lambda: view.extent(FleetPart.BACK_ENDS).last_change == 4)
    task.cancel()
    return time.monotonic() - started_at


def test_series_of_changes_are_joined_and_a_large_fleet_joins_more_of_them() -> None:
    small = asyncio.run(_seconds_until_third_change(daemons=12))
    large = asyncio.run(_seconds_until_third_change(daemons=74))
    assert 1.5 < small < 2.2
    assert 2.3 < large < 3.4


def test_a_read_whose_later_page_is_newer_claims_only_what_its_first_page_covers() -> None:
    async def scenario() -> None:
        view = FleetView(SystemClock())
        pages = FleetItems((written("a", 3), written("c", 9)), 5)
        task = asyncio.create_task(back_ends_sync([pages], view, []).run())
        await _until(view_is_complete(view))
        task.cancel()
        assert view.extent(FleetPart.BACK_ENDS).last_change == 3
        assert set(view.back_ends("search")) == {"a", "c"}

    asyncio.run(scenario())


def view_is_complete(view: FleetView) -> Callable[[], bool]:
    return lambda: view.is_complete(FleetPart.BACK_ENDS)


def in_era(era: int, found: FleetItems) -> FleetItems:
    items = tuple(msgspec.structs.replace(each, era=era) for each in found.items)
    return msgspec.structs.replace(found, items=items, era=era)


async def _followed(script: Script) -> FleetView:
    """Follow a script to its end; return the view right after."""
    view = FleetView(SystemClock())
    contact = StoreContact(SystemClock(), CALM_HEARTBEAT_SECONDS)
    task = asyncio.create_task(back_ends_sync(script, view, [], contact=contact).run())
    await _until(lambda: not script)
    await asyncio.sleep(0.05)
    task.cancel()
    return view


def test_a_watch_answered_in_a_later_era_does_not_continue_the_former_one() -> None:
    changed = in_era(2, FleetItems((written("a", 20, draining=True),), 20))
    read = in_era(2, FleetItems((written("a", 20, draining=True), written("b", 1)), 20))
    view = asyncio.run(_followed([in_era(1, first_read()), changed, read]))
    assert view.era(FleetPart.BACK_ENDS) == 2
    record = view.find_back_end("a")
    assert record is not None and record.draining
    # The others were known before and may only not have been written again yet.
    assert set(view.back_ends("search")) == set(NAMES)


def test_an_answer_of_an_earlier_era_that_comes_late_changes_nothing() -> None:
    late = in_era(1, FleetItems((gone("a", 90), gone("b", 91)), 91))
    read = in_era(2, first_read())
    view = asyncio.run(
        _followed([in_era(1, first_read()), in_era(2, FleetItems((), 1)), read, late])
    )
    assert set(view.back_ends("search")) == set(NAMES)
    assert view.extent(FleetPart.BACK_ENDS).era == 2


def test_a_removal_held_before_a_restore_does_not_remove_what_the_copy_has() -> None:
    script: Script = [
        in_era(1, first_read()),
        StoreDownError("away"),
        HistoryLostError("compacted"),
        StoreDownError("away"),
        in_era(1, FleetItems(tuple(written(each, 1) for each in "bcd"), 9)),
        in_era(2, FleetItems((), 1)),
        in_era(2, first_read()),
    ]
    seen = observe(script)
    assert seen.held == 1
    assert seen.after_hold == set(NAMES)


def test_a_store_that_names_no_era_any_more_is_heard_in_the_present_one() -> None:
    change = FleetItems((gone("a", 5),), 5)
    view = asyncio.run(_followed([in_era(2, first_read()), change]))
    assert set(view.back_ends("search")) == {"b", "c", "d"}
    assert view.era(FleetPart.BACK_ENDS) == 2


def test_a_daemon_that_begins_to_watch_tells_how_old_its_first_changes_may_be() -> None:
    """Guards against an infinite age of the first answer after a view that others have sent."""

    async def scenario() -> None:
        view = FleetView(SystemClock())
        extent = Extent(1, 1)
        view.apply_update(PartUpdate(FleetPart.BACK_ENDS, 0, extent, (written("a", 1),), True), "p")
        view.confirm(0.5)
        answers: list[StoreAnswer] = []
        news: Script = [FleetItems((gone("a", 5),), 5)]
        task = asyncio.create_task(back_ends_sync(news, view, [], answers=answers).run())
        await _until(lambda: bool(answers))
        task.cancel()
        assert answers[0].after == 1
        assert 0.0 <= answers[0].unwatched_seconds < 5.0

    asyncio.run(scenario())
