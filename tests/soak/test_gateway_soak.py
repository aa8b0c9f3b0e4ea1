"""A short soak of real processes, and the regression cases that soaks have found."""

import asyncio
import signal
import time
from pathlib import Path

import pytest
from gateway_soak import soak
from soak_daemon import STOP_SECONDS, lone_gateway

_STARTED_SECONDS = 5.0

# Seeds that once failed, each with its cause.
#  1: a daemon that was told to reload while its modules were being loaded ended instead.
_FAILED_SEEDS = [1]
# The same with all kinds of faults.
#  6111: a stopping daemon closed while a connection was being accepted, and cut its request.
#  6131, 6138: a pause was forgotten that a new process had asked for before its record was known.
#  6139: requests were put down to another daemon whose connection had the same local port.
#  6223: requests in pauses while a back end starts again several times.
_FAILED_SEEDS_OF_ALL_FAULTS = [6111, 6131, 6138, 6139, 6223]
# The same with restores of the store.
#  7015: three requests in a pause.
#  7040: the announced end of a later process made the registered one usable again.
_FAILED_SEEDS_WITH_RESTORES = [7015, 7040]
# The same with requests sent ahead, back ends of changing speed and a shortage.
#  8101: a shortage did not end although nearly all slots were free.
#  8104: urgent requests were answered less often than others.
_FAILED_SEEDS_WITH_UNEVEN_LOAD = [8101, 8104]
# The same with back ends that mislead about what they have run, without the other kinds.
#  30, 32: late copies of rejections were taken for the answers to later sends.
_FAILED_SEEDS_WITH_MISLEADING_ANSWERS = [30, 32]


@pytest.mark.parametrize("seed", [2, *_FAILED_SEEDS])
def test_a_short_soak_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    report = soak(seed, 8.0, tmp_path)
    assert report.requests > 500
    assert len(report.faults) > 5
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_daemons_that_hear_from_others_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(3, 8.0, tmp_path, daemons=8)
    assert report.requests > 500
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_back_ends_that_start_again_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(5, 8.0, tmp_path, has_restarts=True)
    assert report.requests > 500
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_a_request_that_ends_back_ends_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(7, 8.0, tmp_path, has_restarts=True, has_crashes=True)
    assert report.requests > 500
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_lost_links_to_back_ends_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(11, 8.0, tmp_path, has_restarts=True, has_link_cuts=True)
    assert report.requests > 500
    assert any("cut_links" in each for each in report.faults)
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_announcements_of_back_ends_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(13, 10.0, tmp_path, has_restarts=True, has_link_cuts=True, has_announcements=True)
    assert report.requests > 500
    assert report.announcements > 10
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_restores_of_the_store_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(
        17,
        12.0,
        tmp_path,
        has_restarts=True,
        has_link_cuts=True,
        has_announcements=True,
        has_restores=True,
    )
    assert report.requests > 500
    assert any("restore_store" in each for each in report.faults)
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_requests_sent_ahead_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(19, 8.0, tmp_path, has_restarts=True, has_requests_ahead=True)
    assert report.requests > 500
    assert not report.breaches, (report.breaches, report.faults)


def test_a_short_soak_with_uneven_speeds_and_a_shortage_breaks_no_promise(tmp_path: Path) -> None:
    report = soak(23, 10.0, tmp_path, has_restarts=True, has_requests_ahead=True, has_shortage=True)
    assert report.requests > 500
    assert report.short_daemons > 0
    assert not report.breaches, (report.breaches, report.faults)


@pytest.mark.parametrize("seed", _FAILED_SEEDS_OF_ALL_FAULTS)
def test_a_short_soak_with_all_kinds_of_faults_breaks_no_promise(seed: int, tmp_path: Path) -> None:
    report = soak(
        seed,
        10.0,
        tmp_path,
        has_restarts=True,
        has_crashes=True,
        has_link_cuts=True,
        has_announcements=True,
    )
    assert not report.breaches, (report.breaches, report.faults)


@pytest.mark.parametrize("seed", _FAILED_SEEDS_WITH_RESTORES)
def test_a_short_soak_of_all_faults_and_restores_breaks_no_promise(
    seed: int, tmp_path: Path
) -> None:
    report = soak(
        seed,
        10.0,
        tmp_path,
        has_restarts=True,
        has_crashes=True,
        has_link_cuts=True,
        has_announcements=True,
        has_restores=True,
    )
    assert not report.breaches, (report.breaches, report.faults)


@pytest.mark.parametrize("seed", _FAILED_SEEDS_WITH_UNEVEN_LOAD)
def test_a_short_soak_of_all_faults_and_uneven_load_breaks_no_promise(
    seed: int, tmp_path: Path
) -> None:
    report = soak(
        seed,
        10.0,
        tmp_path,
        has_restarts=True,
        has_crashes=True,
        has_link_cuts=True,
        has_announcements=True,
        has_restores=True,
        has_requests_ahead=True,
        has_shortage=True,
    )
    assert not report.breaches, (report.breaches, report.faults)


@pytest.mark.parametrize("seed", _FAILED_SEEDS_WITH_MISLEADING_ANSWERS)
def test_a_short_soak_with_misleading_answers_refuses_nothing_that_ran(
    seed: int, tmp_path: Path
) -> None:
    report = soak(seed, 8.0, tmp_path, has_misleading=True)
    assert report.requests > 500
    assert report.misleading > 10
    assert not report.breaches, (report.breaches, report.faults)


def test_a_request_to_reload_while_a_daemon_starts_does_not_end_it(tmp_path: Path) -> None:
    with lone_gateway(tmp_path) as daemon:
        deadline = time.monotonic() + _STARTED_SECONDS
        while not daemon.heeds_reload() and time.monotonic() < deadline:
            time.sleep(0.005)
        # Loading this library takes most of the start.
        assert not daemon.has_loaded("cygrpc")
        daemon.send(signal.SIGHUP, 0.0)
        assert not asyncio.run(daemon.wait_ended(1.0))


def test_a_request_to_reload_while_a_daemon_ends_does_not_cut_its_end(tmp_path: Path) -> None:
    """Found by seed 312; it is not among the seeds above, since it fails only with luck."""
    with lone_gateway(tmp_path) as daemon:
        deadline = time.monotonic() + _STARTED_SECONDS
        while not daemon.has_logged("daemon-started") and time.monotonic() < deadline:
            time.sleep(0.01)
        daemon.send(signal.SIGTERM, 0.0)
        while daemon.exit_status() is None and time.monotonic() < deadline + STOP_SECONDS:
            daemon.send(signal.SIGHUP, 0.0)
            time.sleep(0.001)
        assert daemon.exit_status() == 0
