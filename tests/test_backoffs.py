"""Pauses that back ends request from one daemon, apart from any network."""

from collections.abc import Collection

import pytest
from test_affinity_policy import NOW, candidate, choose, of, policy_in, request

from kitekeel_daemon.answer_head import AnswerHead
from kitekeel_daemon.answer_headers import MAX_BACKOFF_SECONDS, read_backoff
from kitekeel_daemon.backoff_tracker import BackoffTracker
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_peers.backoff_notices import BackoffNotice
from kitekeel_steering.back_end_load import SentRequest
from kitekeel_steering.backoffs import Backoff, Backoffs
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.fleet_items import BackEndRecord, ItemKind, ViewItem
from kitekeel_steering.fleet_view import FleetView, ViewChange
from kitekeel_steering.placement_policy import PlacementCause, RefusalReason


def record(started_at_ms: int = 1_000) -> BackEndRecord:
    return BackEndRecord("b0", "search", "127.0.0.1:9", "n1", 4, started_at_ms=started_at_ms)


def test_a_shorter_pause_does_not_end_a_longer_one() -> None:
    backoff = Backoff()
    backoff.extend(NOW + 3.0)
    backoff.extend(NOW + 1.0)
    assert backoff.is_active(NOW + 2.9)


def test_after_a_pause_one_request_is_sent_until_it_is_answered() -> None:
    """Guards against all requests returning to a back end at the end of its pause."""
    backoff = Backoff()
    backoff.extend(NOW)
    former, first = SentRequest(NOW - 1.0, 1.0), SentRequest(NOW + 0.1, 1.0)
    assert backoff.allows_another(NOW, [former])
    assert not backoff.allows_another(NOW + 0.2, [former, first])
    backoff.note_answered(former.sent_at)
    assert not backoff.allows_another(NOW + 0.2, [former, first])
    backoff.note_answered(first.sent_at)
    assert backoff.allows_another(NOW + 0.2, [former, first])


def test_a_pause_outlasts_the_record_but_not_the_process() -> None:
    backoffs = Backoffs()
    backoffs.of(record()).extend(NOW + 3.0)
    assert backoffs.of(record()).is_active(NOW)
    assert not backoffs.of(record(started_at_ms=2_000)).is_active(NOW)
    assert not backoffs.of(record()).is_active(NOW)


def test_a_notice_binds_the_daemon_that_relays_and_the_others_that_it_relays_for() -> None:
    told: list[tuple[list[str], bool]] = []
    view, clock = FleetView(ManualClock()), ManualClock()
    view.merge([ViewItem(ItemKind.BACK_END, "b0", 1, back_end=record())], "test")
    tracker = BackoffTracker(
        view, clock, GatewayMetrics(), DecisionLog("g0"), lambda _: {"g1", "g2"}
    )

    def tell(
        daemons: Collection[str], _record: BackEndRecord, _seconds: float, is_from_relay: bool
    ) -> None:
        told.append((sorted(daemons), is_from_relay))

    tracker._tell = tell  # type: ignore[method-assign]
    tracker._on_notice(BackoffNotice("g1", "b0", 1_000, 3.0, is_from_relay=False))
    assert told == [(["g2"], True)]
    assert tracker.count() == 1
    tracker._on_notice(BackoffNotice("g3", "b0", 1_000, 5.0, is_from_relay=True))
    tracker._on_notice(BackoffNotice("g3", "b0", 900, 500.0, is_from_relay=True))
    assert len(told) == 1
    clock.advance(5.0)
    assert tracker.count() == 0


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"2.5", 2.5), (b"3", 3.0), (b"0", 0.0), (b"1, 4", 4.0), (b"1000000000", MAX_BACKOFF_SECONDS)],
)
def test_pauses_are_decimal_numbers_of_seconds_up_to_a_bound(value: bytes, seconds: float) -> None:
    assert read_backoff([value]).seconds == seconds


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"soon", b"nan", b"inf", b"1e9", b"Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_other_values_are_no_pause(value: bytes) -> None:
    assert read_backoff([value]).seconds == 0.0
    assert read_backoff([value]).unreadable == (value,)
    assert read_backoff([value, b"2"]).seconds == 2.0


def test_a_paused_back_end_is_passed_over_even_if_no_back_end_works() -> None:
    policy = policy_in("north")
    first, second = candidate("b0"), candidate("b1")
    first.backoff.extend(NOW + 3.0)
    second.load.note_unreachable(NOW)
    assert choose(policy, [first, second]) == "b1"
    second.backoff.extend(NOW + 3.0)
    placement = policy.choose(request(), of(first, second), NOW, lambda _: True)
    assert (placement.candidate, placement.reason) == (None, RefusalReason.ALL_BACKING_OFF)


def test_the_next_back_end_of_a_key_serves_it_during_a_pause() -> None:
    members = [candidate(f"b{number}") for number in range(4)]
    policy = policy_in("north")
    usual = choose(policy, members)
    paused = next(each for each in members if each.record.instance == usual)
    paused.backoff.extend(NOW + 3.0)
    placement = policy.choose(request(), of(*members), NOW, lambda _: True)
    assert placement.candidate is not paused
    assert placement.cause is PlacementCause.FIRST_BACKING_OFF


def test_a_pause_passes_over_several_restarts_that_become_known_at_once() -> None:
    backoffs = Backoffs()
    backoffs.of(record(1_000)).extend(NOW + 3.0, lambda: True)
    for started_at_ms in (2_000, 3_000):
        backoffs.note_restart(record(started_at_ms), NOW, lambda: True)
    assert backoffs.of(record(3_000)).is_active(NOW)


def test_a_pause_outlasts_the_connection_that_the_first_of_several_restarts_closes() -> None:
    view, clock = FleetView(ManualClock()), ManualClock()
    tracker = BackoffTracker(view, clock, GatewayMetrics(), DecisionLog("g0"), lambda _: ())
    is_open = [True]
    head = AnswerHead(record(), 503, (), is_connection_open=lambda: is_open[0])
    tracker.note_requested(record(), 3.0, head)
    for started_at_ms in (2_000, 3_000):
        item = ViewItem(ItemKind.BACK_END, "b0", 2, back_end=record(started_at_ms))
        tracker.on_change(ViewChange(item, "store", 0.0, is_restart=True))
        is_open[0] = False
    assert tracker.pauses.of(record(3_000)).is_active(clock.monotonic())
