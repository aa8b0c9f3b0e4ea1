"""Where requests spend their time is measured from their arrival, and late ones are told."""

import contextlib
import threading
import time
from collections.abc import Iterable, Iterator

import eliot
import pytest
import urllib3
from loopback import free_address

from kitekeel_callers.arrival import ARRIVED_AT
from kitekeel_callers.caller_request import CallerRequest, Environment, RequestLimits, RequestReader
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_daemon.phase_report import PhaseReport
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.request_phases import Phase


def request_that_arrived(seconds_ago: float, deadline_ms: int) -> CallerRequest:
    environment = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/v1/services/search/x",
        "HTTP_KITEKEEL_DEADLINE_MS": str(deadline_ms),
        "HTTP_KITEKEEL_REQUEST_ID": "r1",
        ARRIVED_AT: time.monotonic() - seconds_ago,
    }
    return RequestReader(RequestLimits(), "north").read(environment)


@contextlib.contextmanager
def logged_lines() -> Iterator[list[dict[str, object]]]:
    lines: list[dict[str, object]] = []
    # The first destination of a process gets what was logged before it was added.
    eliot.add_destinations(lines.append)
    lines.clear()
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def test_the_time_before_a_thread_reads_a_request_is_known() -> None:
    """One worker thread is busy for 0.5 s; the request behind it has waited for as long."""
    address = free_address()
    ages: list[float] = []

    def application(environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        ages.append(time.monotonic() - environment[ARRIVED_AT])
        time.sleep(0.5)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    server = HttpServer(address, application, ServerLimits(threads=1))
    server.start()
    try:
        asking = [
            threading.Thread(target=urllib3.request, args=("GET", f"http://{address}/"))
            for _ in range(2)
        ]
        for each in asking:
            each.start()
        for each in asking:
            each.join()
    finally:
        server.stop()
    assert ages[0] < 0.3
    assert 0.3 <= ages[1] < 1.0


def test_phases_add_up_to_the_whole_time() -> None:
    request = request_that_arrived(0.2, 1000)
    for phase in (Phase.SLOT, Phase.EXCHANGE, Phase.SLOT, Phase.EXCHANGE):
        request.phases.enter(phase)
        time.sleep(0.02)
    request.phases.end()
    assert request.phases.seconds[Phase.UNREAD] >= 0.2
    assert request.phases.seconds[Phase.SLOT] >= 0.04
    assert request.phases.total_seconds() == pytest.approx(0.28, abs=0.05)


def test_each_phase_is_counted_and_only_late_requests_have_a_line() -> None:
    metrics = MemoryMetrics()
    report = PhaseReport(metrics, "d1")
    with logged_lines() as lines:
        for seconds_ago in (0.05, 2.0):
            request = request_that_arrived(seconds_ago, 1000)
            request.phases.end()
            report.note_ended(request, "answered", "")
    counts = metrics.snapshot()
    assert counts["phases.unread.below-100-ms"] == 1
    assert counts["phases.unread.below-4000-ms"] == 1
    assert counts["requests.late"] == 1
    (line,) = [each for each in lines if each["message_type"] == "request-late"]
    assert line["request_id"] == "r1"
    assert line["outcome"] == "answered"
    assert line["late_seconds"] == pytest.approx(1.0, abs=0.1)


def test_a_request_whose_outcome_is_unknown_has_a_line_with_its_cause() -> None:
    report = PhaseReport(MemoryMetrics(), "d1")
    with logged_lines() as lines:
        request = request_that_arrived(0.1, 1000)
        request.phases.end()
        report.note_ended(request, "unknown", "connection-broken: reset")
        report.note_ended(request, "not-run", "no-room: full")
    (line,) = lines
    assert line["message_type"] == "request-unknown"
    assert line["cause"] == "connection-broken: reset"


def test_only_slow_refusals_for_a_full_queue_have_a_line() -> None:
    report = PhaseReport(MemoryMetrics(), "d1")
    with logged_lines() as lines:
        for seconds, cause in ((0.1, "queue-full: x"), (1.1, "no-room: x"), (1.1, "queue-full: x")):
            request = request_that_arrived(seconds, 4000)
            request.phases.end()
            report.note_ended(request, "not-run", cause)
    assert [(each["message_type"], each["cause"]) for each in lines] == [
        ("request-refused-late", "queue-full: x")
    ]


def test_lines_of_late_requests_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    now = time.monotonic()
    monkeypatch.setattr("kitekeel_daemon.line_budget.steady_seconds", lambda: now)
    metrics = MemoryMetrics()
    report = PhaseReport(metrics, "d1")
    with logged_lines() as lines:
        for _ in range(50):
            request = request_that_arrived(2.0, 1000)
            request.phases.end()
            report.note_ended(request, "answered", "")
    assert metrics.snapshot()["requests.late"] == 50
    assert len(lines) == 20
