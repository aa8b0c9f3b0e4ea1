"""Two items of a name, of which one is from before a restore of the store."""

import pytest

from kitekeel_steering.fleet_items import BackEndRecord, ItemKind, ViewItem
from kitekeel_steering.item_merge import ItemMerger
from kitekeel_steering.routing import RoutingConfiguration
from kitekeel_steering.store_revision import CopyLimits, StoreRevision

# The copy ends at or before this revision; changes above it were made after the restore.
LIMIT = 70


def merger() -> ItemMerger:
    found = ItemMerger()
    found.limits.note(StoreRevision(2, LIMIT))
    return found


def back_end(
    era: int, revision: int, draining: bool = False, removed: bool = False, start: int = 5
) -> ViewItem:
    record = BackEndRecord("a", "s", "h:1", "n1", 4, draining, started_at_ms=start)
    content = None if removed else record
    return ViewItem(ItemKind.BACK_END, "a", revision, None, content, removed, era)


def evacuation(era: int, revision: int, removed: bool = False) -> ViewItem:
    return ViewItem(ItemKind.EVACUATION, "n1", revision, removed=removed, era=era)


def configuration(era: int, revision: int, version: int) -> ViewItem:
    content = RoutingConfiguration(version)
    return ViewItem(ItemKind.CONFIGURATION, "", revision, configuration=content, era=era)


def merged(*items: ViewItem) -> ViewItem:
    """Merge items one after the other; return what is known then."""
    merge = merger()
    known: ViewItem | None = None
    for item in items:
        found = merge.merge(item, known)
        known = found.item if found is not None else known
    assert known is not None
    return known


@pytest.mark.parametrize(
    ("revision", "known", "is_later"),
    [
        (StoreRevision(2, 71), StoreRevision(1, 90), True),
        (StoreRevision(2, 60), StoreRevision(1, 90), False),
        (StoreRevision(2, 60), StoreRevision(1, 50), True),
        (StoreRevision(2, 60), StoreRevision(1, 60), True),
        (StoreRevision(1, 90), StoreRevision(2, 71), False),
        (StoreRevision(1, 90), StoreRevision(2, 60), True),
        (StoreRevision(1, 60), StoreRevision(2, 60), False),
        (StoreRevision(2, 61), StoreRevision(2, 60), True),
        (StoreRevision(2, 60), StoreRevision(2, 60), False),
    ],
)
def test_a_change_is_later_if_it_was_made_later(
    revision: StoreRevision, known: StoreRevision, is_later: bool
) -> None:
    limits = CopyLimits()
    limits.note(StoreRevision(2, LIMIT))
    assert limits.is_later(revision, known) is is_later


def test_the_lowest_limit_counts_and_none_means_that_all_may_be_copied() -> None:
    limits = CopyLimits()
    assert limits.may_be_copied(StoreRevision(2, 1_000))
    limits.note(StoreRevision(2, LIMIT))
    limits.note(StoreRevision(2, LIMIT + 5))
    assert limits.of(2) == LIMIT


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_an_end_announced_before_a_restore_is_not_undone_by_the_copy(
    order: tuple[int, int],
) -> None:
    items = [back_end(1, 90, draining=True), back_end(2, 60)]
    known = merged(*(items[each] for each in order))
    assert known.back_end is not None and known.back_end.draining
    assert (known.position, known.kept_from) == (StoreRevision(2, 60), StoreRevision(1, 90))


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_a_back_end_removed_before_a_restore_is_not_brought_back_by_the_copy(
    order: tuple[int, int],
) -> None:
    items = [back_end(1, 90, removed=True), back_end(2, 60)]
    assert merged(*(items[each] for each in order)).removed


def test_an_end_announced_in_the_copy_binds_although_a_later_record_was_known() -> None:
    known = merged(back_end(1, 90), back_end(2, 60, draining=True))
    assert known.back_end is not None and known.back_end.draining


@pytest.mark.parametrize("former", [back_end(1, 90, draining=True), back_end(1, 90, removed=True)])
def test_a_record_written_after_the_restore_counts_whatever_was_known(former: ViewItem) -> None:
    known = merged(former, back_end(2, 60), back_end(2, 72))
    assert known == back_end(2, 72)


@pytest.mark.parametrize("former", [back_end(1, 90, draining=True), back_end(1, 90, removed=True)])
def test_a_later_process_is_used_although_the_former_one_left_before_the_restore(
    former: ViewItem,
) -> None:
    known = merged(back_end(1, 50), former, back_end(2, 60, start=6))
    assert known.back_end is not None and not known.back_end.draining


def test_an_unchanged_record_of_the_copy_is_not_kept_against_it() -> None:
    assert merged(back_end(1, 60), back_end(2, 60)).kept_from is None


def test_a_lower_revision_of_the_new_era_replaces_a_higher_one_of_the_former() -> None:
    assert merged(back_end(1, 900), back_end(2, 71, draining=True)) == back_end(2, 71, True)


def test_a_message_of_the_former_era_never_replaces_a_change_after_the_restore() -> None:
    known = merged(back_end(2, 71, draining=True), back_end(1, 900))
    assert known == back_end(2, 71, True)


@pytest.mark.parametrize(
    ("items", "version"),
    [
        ((configuration(1, 90, 20), configuration(2, 60, 8)), 20),
        ((configuration(2, 60, 8), configuration(1, 90, 20)), 20),
        ((configuration(1, 90, 20), configuration(2, 60, 8), configuration(2, 61, 22)), 22),
        ((configuration(2, 61, 22), configuration(1, 90, 20)), 22),
    ],
)
def test_a_configuration_is_replaced_by_a_higher_version_only(
    items: tuple[ViewItem, ...], version: int
) -> None:
    known = merged(*items)
    assert known.configuration is not None and known.configuration.version == version


def test_the_same_configuration_written_again_is_no_longer_kept() -> None:
    known = merged(configuration(1, 90, 20), configuration(2, 60, 8), configuration(2, 61, 20))
    assert known == configuration(2, 61, 20)


def test_an_ended_evacuation_that_the_copy_has_stays_ended() -> None:
    assert merged(evacuation(1, 60), evacuation(1, 90, True), evacuation(2, 60)).removed


@pytest.mark.parametrize("revision", [65, 71])
def test_an_evacuation_written_again_after_a_restore_binds(revision: int) -> None:
    known = merged(evacuation(1, 60), evacuation(1, 90, True), evacuation(2, revision))
    assert not known.removed


def test_a_removal_after_the_restore_ends_what_was_kept() -> None:
    assert merged(evacuation(1, 90), evacuation(2, 71, removed=True)).removed


def test_what_is_kept_over_two_restores_keeps_its_first_origin() -> None:
    known = merged(back_end(1, 90, draining=True), back_end(2, 60), back_end(3, 60))
    assert known.back_end is not None and known.back_end.draining
    assert (known.position, known.kept_from) == (StoreRevision(3, 60), StoreRevision(1, 90))
