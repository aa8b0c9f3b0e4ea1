"""Silence never reads as calm, and a back end is judged by its answers."""

from kitekeel_steering.clock import ManualClock
from kitekeel_steering.grant_messages import ResultCount
from kitekeel_steering.load_reports import LoadReport, LoadReports
from kitekeel_steering.outliers import OutlierDetector


def test_silence_shrinks_room_step_by_step_to_what_is_in_flight_and_never_grows_it() -> None:
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.note("b", LoadReport(2, 10, False))
    rooms = []
    for _ in range(60):
        rooms.append(reports.room("b", 10, 4))
        clock.advance(1.0)
    assert rooms[0] == 10
    assert rooms == sorted(rooms, reverse=True)
    assert rooms[-1] == 4
    reports.note("b", LoadReport(2, 10, False))
    assert reports.room("b", 10, 4) == 10


def test_an_old_report_that_comes_late_changes_nothing() -> None:
    clock = ManualClock()
    reports = LoadReports(clock)
    reports.note("b", LoadReport(2, 10, False))
    clock.advance(1.0)
    reports.note("b", LoadReport(0, 10, True, age_seconds=5.0))
    assert reports.room("b", 10, 0) == 10


def test_a_back_end_is_down_until_it_reports_and_after_two_refusals() -> None:
    clock = ManualClock()
    reports = LoadReports(clock)
    assert reports.room("b", 5, 0) == 0
    reports.note("b", LoadReport(0, 5, False))
    assert not reports.note_refused("b")
    assert reports.note_refused("b")
    assert reports.room("b", 5, 0) == 0


def test_failing_and_slow_back_ends_are_ejected_but_never_too_many() -> None:
    clock = ManualClock()
    detector = OutlierDetector(clock)
    good = tuple(ResultCount(f"b{number}", 20, 0, 2.0) for number in range(8))
    slow = ResultCount("b8", 20, 0, 20.0)
    failing = ResultCount("b9", 2, 18, 0.2)
    assert set(detector.note((*good, slow, failing), 10)) == {"b8", "b9"}
    assert detector.is_ejected("b8")
    clock.advance(3.5)
    assert not detector.is_ejected("b8")
    everything_fails = tuple(ResultCount(f"b{number}", 0, 20, 0.0) for number in range(10))
    detector.note(everything_fails, 10)
    assert sum(detector.is_ejected(f"b{number}") for number in range(10)) <= 3
