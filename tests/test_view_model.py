"""Model check of the daemons' views: messages lost, late, doubled; daemons restarted and cut off.

Invariants after every step: no daemon goes back to an older configuration, none believes an item
that the store never held at that revision. At the end, once all exchange freely, all agree.
"""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.fleet_view import BackEndRecord, FleetPart, FleetView, ItemKind, ViewItem
from kitekeel_steering.routing import RoutingConfiguration

DAEMONS = 3
NAMES = ["a", "b", "c"]
daemon_numbers = st.integers(0, DAEMONS - 1)


class Message(msgspec.Struct, frozen=True):
    """Items on their way to a daemon; a whole read replaces a part."""

    items: tuple[ViewItem, ...]
    part: FleetPart
    read_at: int | None


class ViewModel(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.revision = 0
        self.version = 0
        self.held: dict[tuple[ItemKind, str], ViewItem] = {}
        self.written: set[tuple[ItemKind, str, int, bool]] = set()
        self.removed_by: dict[tuple[ItemKind, str], int] = {}
        self.views = [FleetView(ManualClock()) for _ in range(DAEMONS)]
        self.versions = [0] * DAEMONS
        self.messages: list[list[Message]] = [[] for _ in range(DAEMONS)]

    def _write(self, item: ViewItem) -> None:
        key = (item.kind, item.name)
        self.written.add((item.kind, item.name, item.revision, item.removed))
        if item.removed:
            self.held.pop(key, None)
        else:
            self.held[key] = item

    @rule()
    def operator_writes_a_configuration(self) -> None:
        self.revision += 1
        self.version += 3
        content = RoutingConfiguration(self.version)
        self._write(ViewItem(ItemKind.CONFIGURATION, "", self.revision, configuration=content))

    @rule(name=st.sampled_from(NAMES), draining=st.booleans())
    def back_end_writes(self, name: str, draining: bool) -> None:
        self.revision += 1
        record = BackEndRecord(name, "s", "10.0.0.1:1", "z", 1, draining)
        self._write(ViewItem(ItemKind.BACK_END, name, self.revision, back_end=record))

    @rule(name=st.sampled_from(NAMES))
    def back_end_goes(self, name: str) -> None:
        if (ItemKind.BACK_END, name) in self.held:
            self.revision += 1
            self._write(ViewItem(ItemKind.BACK_END, name, self.revision, removed=True))

    @rule(daemon=daemon_numbers, part=st.sampled_from(FleetPart))
    def daemon_reads_all(self, daemon: int, part: FleetPart) -> None:
        self.messages[daemon].append(Message(self._items_of(part), part, self.revision))

    @rule(source=daemon_numbers, asker=daemon_numbers, part=st.sampled_from(FleetPart))
    def daemon_asks_a_peer(self, source: int, asker: int, part: FleetPart) -> None:
        later = self.views[asker].revisions[part]
        items = tuple(self.views[source].items_after(part, later))
        self.messages[asker].append(Message(items, part, None))

    @rule(daemon=daemon_numbers, pick=st.integers(0, 100), keep=st.booleans())
    def message_arrives_in_any_order_and_perhaps_again(
        self, daemon: int, pick: int, keep: bool
    ) -> None:
        queue = self.messages[daemon]
        if queue:
            message = queue[pick % len(queue)]
            if not keep:
                queue.remove(message)
            self._deliver(daemon, message)

    @rule(daemon=daemon_numbers)
    def messages_are_lost(self, daemon: int) -> None:
        self.messages[daemon].clear()

    @rule(daemon=daemon_numbers)
    def daemon_restarts(self, daemon: int) -> None:
        self.views[daemon] = FleetView(ManualClock())
        self.versions[daemon] = 0
        self.messages[daemon].clear()

    def _items_of(self, part: FleetPart) -> tuple[ViewItem, ...]:
        wanted = ItemKind.BACK_END if part is FleetPart.BACK_ENDS else ItemKind.CONFIGURATION
        return tuple(each for each in self.held.values() if each.kind is wanted)

    def _deliver(self, daemon: int, message: Message) -> None:
        view = self.views[daemon]
        if message.read_at is None:
            view.merge(message.items, "peer")
        else:
            _take_over_read(view, message.part, message.items, message.read_at)

    @invariant()
    def no_configuration_goes_back(self) -> None:
        for number, view in enumerate(self.views):
            version = view.routes.configuration.version if view.routes is not None else 0
            assert version >= self.versions[number]
            self.versions[number] = version

    @invariant()
    def every_belief_was_written(self) -> None:
        for view in self.views:
            for part in FleetPart:
                for item in view.items_after(part, 0):
                    key = (item.kind, item.name, item.revision, item.removed)
                    assert key in self.written or item.removed

    def teardown(self) -> None:
        for view in self.views:
            for part in FleetPart:
                _take_over_read(view, part, self._items_of(part), self.revision)
        expected = {name for kind, name in self.held if kind is ItemKind.BACK_END}
        for view in self.views:
            assert set(view.back_ends("s")) == expected


def _take_over_read(
    view: FleetView, part: FleetPart, items: tuple[ViewItem, ...], read_at: int
) -> None:
    view.merge((*items, *view.removals_by_read(part, items, read_at)), "store")
    view.mark_complete(part)


TestViewModel = ViewModel.TestCase
TestViewModel.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
