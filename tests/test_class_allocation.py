"""Properties of the division of room between classes."""

from hypothesis import given
from hypothesis import strategies as st

from kitekeel_steering.class_allocation import allocate_classes, guaranteed_slots, max_slots
from kitekeel_steering.model import PriorityClass


@st.composite
def service_classes(draw: st.DrawFn) -> list[PriorityClass]:
    count = draw(st.integers(1, 4))
    sure = [draw(st.floats(0, 1 / count)) for _ in range(count)]
    return [
        PriorityClass(f"c{rank}", rank, share, draw(st.floats(share, 1)))
        for rank, share in enumerate(sure)
    ]


@given(service_classes(), st.integers(0, 200), st.lists(st.integers(0, 300), min_size=4))
def test_room_and_most_share_are_kept_and_sure_share_is_given(
    classes: list[PriorityClass], room: int, wants: list[int]
) -> None:
    needed = {each.name: wants[index] for index, each in enumerate(classes)}
    found = allocate_classes(room, classes, needed)
    assert sum(found.values()) <= room
    for each in classes:
        assert found[each.name] <= max(max_slots(room, each), 0)
        assert found[each.name] >= min(needed[each.name], guaranteed_slots(room, each))


@given(service_classes(), st.integers(1, 200))
def test_room_is_not_left_idle_while_a_class_may_take_it(
    classes: list[PriorityClass], room: int
) -> None:
    needed = {each.name: 1000 for each in classes}
    found = allocate_classes(room, classes, needed)
    if sum(found.values()) < room:
        assert all(found[each.name] >= max_slots(room, each) for each in classes)
