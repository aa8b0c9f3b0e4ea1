"""The fleet view: merged by revision, whatever way and in whatever order the news comes."""

import random

from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.fleet_view import (
    BackEndRecord,
    FleetPart,
    FleetView,
    ItemKind,
    ViewItem,
)
from kitekeel_steering.routing import Route, RouteTable, RoutingConfiguration, WeightedService


def record(instance: str, draining: bool = False, zone: str = "n1") -> BackEndRecord:
    return BackEndRecord(instance, "search", "127.0.0.1:1", zone, 4, draining)


def back_end(instance: str, revision: int, removed: bool = False) -> ViewItem:
    content = None if removed else record(instance)
    return ViewItem(ItemKind.BACK_END, instance, revision, back_end=content, removed=removed)


def configuration(version: int, revision: int) -> ViewItem:
    content = RoutingConfiguration(version)
    return ViewItem(ItemKind.CONFIGURATION, "", revision, configuration=content)


def evacuation(zone: str, revision: int, removed: bool = False) -> ViewItem:
    return ViewItem(ItemKind.EVACUATION, zone, revision, removed=removed)


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20),
    st.integers(0, 1000),
)
def test_views_agree_whatever_the_order_and_repetition(
    changes: list[tuple[str, bool]], seed: int
) -> None:
    items = [back_end(name, revision, gone) for revision, (name, gone) in enumerate(changes, 1)]
    in_order = FleetView(ManualClock())
    in_order.merge(items, "test")
    shuffled = FleetView(ManualClock())
    mixed = items + items[::2]
    random.Random(seed).shuffle(mixed)
    shuffled.merge(mixed, "test")
    assert in_order.back_ends("search") == shuffled.back_ends("search")


@given(st.permutations(list(range(1, 7))))
def test_a_configuration_never_goes_back(order: list[int]) -> None:
    view = FleetView(ManualClock())
    highest = 0
    for number in order:
        view.merge([configuration(number * 3, number)], "test")
        highest = max(highest, number * 3)
        assert view.routes is not None
        assert view.routes.configuration.version == highest


def test_a_configuration_of_a_lower_version_is_refused_even_at_a_higher_revision() -> None:
    view = FleetView(ManualClock())
    view.merge([configuration(7, 10), configuration(5, 11)], "test")
    assert view.routes is not None and view.routes.configuration.version == 7


def test_a_complete_read_removes_what_it_lacks_but_not_what_is_newer() -> None:
    view = FleetView(ManualClock())
    view.merge([back_end("old", 3), back_end("newer", 9), evacuation("n2", 2)], "test")
    found = [back_end("kept", 4)]
    removals = view.removals_by_read(FleetPart.BACK_ENDS, found, read_at=5)
    view.merge([*found, *removals], "test")
    assert set(view.back_ends("search")) == {"newer", "kept"}
    assert view.evacuated_zones == {"n2"}


def test_a_late_record_does_not_bring_a_removed_back_end_back() -> None:
    view = FleetView(ManualClock())
    view.merge([back_end("a", 3), back_end("a", 5, removed=True), back_end("a", 4)], "test")
    assert not view.back_ends("search")


def test_draining_and_evacuated_back_ends_may_not_receive() -> None:
    view = FleetView(ManualClock())
    view.merge([back_end("a", 1)], "test")
    assert view.may_receive(record("a"))
    view.merge([evacuation("n1", 2)], "test")
    assert not view.may_receive(record("a"))
    view.merge([evacuation("n1", 3, removed=True)], "test")
    assert view.may_receive(record("a"))
    draining = ViewItem(ItemKind.BACK_END, "a", 4, back_end=record("a", draining=True))
    view.merge([draining], "test")
    assert not view.may_receive(record("a"))


def test_another_daemon_gets_what_it_lacks_removals_included() -> None:
    view = FleetView(ManualClock())
    view.merge([back_end("a", 3), back_end("b", 4), back_end("a", 5, removed=True)], "test")
    other = FleetView(ManualClock())
    other.merge([back_end("a", 3)], "test")
    later = view.items_after(FleetPart.BACK_ENDS, other.revisions[FleetPart.BACK_ENDS])
    other.merge(later, "peer")
    assert set(other.back_ends("search")) == {"b"}


def route(name: str, host: str, prefix: str, priority: int = 1) -> Route:
    return Route(name, host, prefix, True, 1.0, 0.5, priority, (WeightedService("search", 1),))


def test_the_longest_prefix_of_the_host_wins() -> None:
    table = RouteTable(
        RoutingConfiguration(
            1, (route("short", "h", "/a/"), route("long", "h", "/a/b/", 2), route("o", "i", "/a/"))
        )
    )
    found = table.find("H:80", "/a/b/c")
    assert found is not None and found.name == "long"
    assert table.find("h", "/b/") is None
    assert table.find("unknown", "/a/") is None
    assert table.urgency_rank(found, "search") == 1
