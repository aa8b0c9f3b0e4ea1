"""Messages between daemons of this version and of one that names no era in its revisions."""

from typing import Any

import msgspec

from kitekeel_peers.messages import PeerProgress
from kitekeel_peers.news_feed import NewsPush, NewsReceipt
from kitekeel_peers.view_exchange import ViewReply, ViewRequest, stated_age
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.fleet_items import (
    BackEndRecord,
    Extent,
    FleetPart,
    ItemKind,
    PartKnowledge,
    PartUpdate,
    ViewItem,
)
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.progress import PartProgress

PART = FleetPart.BACK_ENDS


class FormerItem(msgspec.Struct, frozen=True, array_like=True):
    """A view item as the former version reads and writes it."""

    kind: ItemKind
    name: str
    revision: int
    configuration: None = None
    back_end: BackEndRecord | None = None
    removed: bool = False


class FormerExtent(msgspec.Struct, frozen=True, array_like=True):
    covered_through: int = 0
    last_change: int = 0


class FormerKnowledge(msgspec.Struct, frozen=True, array_like=True):
    extent: FormerExtent = FormerExtent()
    fingerprint: int = 0


class FormerUpdate(msgspec.Struct, frozen=True, array_like=True):
    part: FleetPart
    after: int
    extent: FormerExtent
    items: tuple[FormerItem, ...]
    is_snapshot: bool = False
    is_same: bool = False


class FormerReply(msgspec.Struct, frozen=True, array_like=True):
    parts: tuple[FormerUpdate, ...]
    age_seconds: float | None


class FormerProgress(msgspec.Struct, frozen=True, array_like=True):
    last_change: int
    fingerprint: int = 0


def read_as(kind: Any, message: msgspec.Struct) -> Any:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=kind)


def record(draining: bool = False) -> BackEndRecord:
    return BackEndRecord("a", "s", "10.0.0.1:1", "n1", 4, draining)


def restored_view() -> FleetView:
    """Return a view of the second era, in which back end a was written at revision 72."""
    view = FleetView(ManualClock())
    old = ViewItem(ItemKind.BACK_END, "a", 90, back_end=record(), era=1)
    view.apply_update(PartUpdate(PART, 0, Extent(90, 90, 1), (old,), True), "store")
    copied = ViewItem(ItemKind.BACK_END, "a", 60, back_end=record(), era=2)
    view.apply_update(PartUpdate(PART, 0, Extent(70, 60, 2), (copied,), True), "store")
    new = ViewItem(ItemKind.BACK_END, "a", 72, back_end=record(draining=True), era=2)
    view.apply_update(PartUpdate(PART, 70, Extent(72, 72, 2), (new,)), "store")
    return view


def test_a_former_version_reads_what_this_one_sends() -> None:
    view = restored_view()
    reply = ViewReply((view.update_for(PART, PartKnowledge()),), 0.5)
    former = read_as(FormerReply, reply)
    assert former.parts[0].items == (FormerItem(ItemKind.BACK_END, "a", 72, None, record(True)),)
    assert former.parts[0].extent == FormerExtent(72, 72)
    assert read_as(FormerProgress, view.progress[PART]).last_change == 72


def test_a_former_version_that_lacks_a_change_is_sent_it_alone() -> None:
    view = restored_view()
    request = read_as(
        ViewRequest,
        ViewRequest(
            (PartKnowledge(), read_as(PartKnowledge, FormerKnowledge(FormerExtent(70, 60))))
        ),
    )
    update = view.update_for(PART, request.known[PART])
    assert not update.is_snapshot
    assert [each.revision for each in update.items] == [72]


def test_a_push_of_a_former_version_does_not_undo_a_change_after_the_restore() -> None:
    view = restored_view()
    item = FormerItem(ItemKind.BACK_END, "a", 900, None, record())
    former = FormerUpdate(PART, 72, FormerExtent(900, 900), (item,))
    update = read_as(PartUpdate, former)
    view.apply_update(update, "peer")
    assert not view.may_receive(record())
    assert view.extent(PART).covered_through == 72


def test_a_snapshot_of_a_former_version_removes_nothing() -> None:
    view = restored_view()
    former = FormerUpdate(PART, 0, FormerExtent(900, 900), (), is_snapshot=True)
    view.apply_update(read_as(PartUpdate, former), "peer")
    assert view.find_back_end("a") is not None


def test_a_former_version_is_not_taken_to_be_ahead_or_fresh() -> None:
    view = restored_view()
    theirs = read_as(PartProgress, FormerProgress(900, 1))
    assert not PeerProgress("p", (PartProgress(0), theirs)).parts_ahead_of(view.progress)
    former = FormerUpdate(PART, 72, FormerExtent(900, 900), ())
    assert stated_age(view, (read_as(PartUpdate, former),), 0.1) is None


def test_a_receipt_and_a_push_without_an_era_are_read() -> None:
    receipt = read_as(NewsReceipt, NewsReceipt((PartKnowledge(Extent(5, 5)),)))
    assert receipt.known[0].extent.era == 0
    push = read_as(NewsPush, NewsPush("p", (), None))
    assert push.sender == "p"


def test_daemons_of_unlike_eras_do_not_compare_their_fingerprints() -> None:
    former = (PartProgress(0), PartProgress(72, 7, 1))
    present = (PartProgress(0), PartProgress(72, 9, 2))
    assert not PeerProgress("p", former).conflicting_parts(present)
    assert PeerProgress("p", present).parts_ahead_of(former) == [PART]
    assert not PeerProgress("p", former).parts_ahead_of(present)


def test_a_daemon_of_the_former_era_is_sent_a_snapshot_of_the_present_one() -> None:
    view, late = restored_view(), FleetView(ManualClock())
    old = ViewItem(ItemKind.BACK_END, "a", 90, back_end=record(), era=1)
    late.apply_update(PartUpdate(PART, 0, Extent(90, 90, 1), (old,), True), "store")
    late.apply_update(view.update_for(PART, late.knowledge(PART)), "peer")
    assert late.era(PART) == 2
    assert not late.may_receive(record())
    assert late.progress == view.progress


def test_a_daemon_without_an_era_is_told_of_it_by_a_snapshot() -> None:
    view, late = restored_view(), FleetView(ManualClock())
    old = ViewItem(ItemKind.BACK_END, "a", 90, back_end=record())
    late.apply_update(PartUpdate(PART, 0, Extent(90, 90), (old,), True), "peer")
    change = ViewItem(ItemKind.BACK_END, "a", 72, back_end=record(draining=True), era=2)
    pushed = PartUpdate(PART, 71, Extent(72, 72, 2, 70), (change,))
    late.apply_update(pushed, "peer")
    assert not late.may_receive(record())
    late.apply_update(view.update_for(PART, late.knowledge(PART)), "peer")
    assert late.era(PART) == 2
