"""No signal ends a program early: neither a reload nor a repeated stop, at whatever moment."""

import asyncio
import contextlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from lone_daemon import LoneDaemon
from soak_daemon import STOP_SECONDS, lone_gateway

_START_SECONDS = 15.0
_LEAVE_SECONDS = 15.0
_HANGUP_BIT = 1 << (signal.SIGHUP - 1)

_SIGNALLED_WITHIN_THE_EVENTS_LOCK = """
import os, signal, threading
from kitekeel_daemon.process_signals import StopSignals

stop_requested = threading.Event()
signals = StopSignals()
signals.listen()
with stop_requested._cond:
    os.kill(os.getpid(), signal.SIGTERM)
signals.wait(stop_requested)
"""


def until(condition: Callable[[], bool], seconds: float) -> bool:
    deadline = time.monotonic() + seconds
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.002)
    return condition()


def ignores_reload(process: subprocess.Popen[bytes]) -> bool:
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    ignored = next(int(line.split()[1], 16) for line in lines if line.startswith("SigIgn"))
    return bool(ignored & _HANGUP_BIT)


@contextlib.contextmanager
def lone_daemon(folder: Path) -> Iterator[tuple[LoneDaemon, subprocess.Popen[bytes]]]:
    daemon = LoneDaemon(folder)
    process = daemon.start(["-m", "kitekeel_daemon", "--settings"])
    try:
        yield daemon, process
    finally:
        process.kill()
        process.wait()


def send_until_ended(process: subprocess.Popen[bytes], number: signal.Signals) -> int | None:
    """Send a signal each millisecond while a process runs; return its exit status."""
    deadline = time.monotonic() + _LEAVE_SECONDS
    while process.poll() is None and time.monotonic() < deadline:
        process.send_signal(number)
        time.sleep(0.001)
    return process.poll()


def test_a_reload_does_not_end_a_serving_daemon(tmp_path: Path) -> None:
    """Guards against SIGHUP's default action in kitekeeld, which reads its settings once."""
    with lone_daemon(tmp_path) as (daemon, process):
        assert daemon.wait_logged("daemon-started", _START_SECONDS)
        process.send_signal(signal.SIGHUP)
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(1.0)
        process.send_signal(signal.SIGTERM)
        assert process.wait(_LEAVE_SECONDS) == 0
        assert daemon.has_logged("daemon-finished")


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_no_signal_cuts_the_planned_stop_of_a_daemon(
    tmp_path: Path, number: signal.Signals
) -> None:
    """Guards against the default action before, during and after kitekeeld's planned stop."""
    with lone_daemon(tmp_path) as (daemon, process):
        assert daemon.wait_logged("daemon-started", _START_SECONDS)
        process.send_signal(signal.SIGTERM)
        assert send_until_ended(process, number) == 0
        assert daemon.has_logged("daemon-finished")


@pytest.mark.parametrize("attempt", range(8))
def test_no_stop_signal_cuts_the_planned_stop_of_a_gateway(tmp_path: Path, attempt: int) -> None:
    """Guards against the moment in which a removed handler leaves the default action."""
    with lone_gateway(tmp_path) as gateway:
        assert until(lambda: gateway.has_logged("daemon-started"), _START_SECONDS)
        gateway.send(signal.SIGTERM, 0.0)
        deadline = time.monotonic() + STOP_SECONDS + 2.0
        while gateway.exit_status() is None and time.monotonic() < deadline:
            gateway.send(signal.SIGTERM, 0.0)
            time.sleep(0.0005)
        assert gateway.exit_status() == 0
        assert gateway.has_logged("daemon-stopped")


def test_a_daemon_that_is_told_to_stop_while_it_loads_stops_as_planned(tmp_path: Path) -> None:
    """Guards against SIGTERM's default action before kitekeeld has a handler."""
    with lone_daemon(tmp_path) as (daemon, process):
        assert until(lambda: ignores_reload(process), _START_SECONDS)
        assert not daemon.has_logged("daemon-started")
        process.send_signal(signal.SIGTERM)
        assert process.wait(_START_SECONDS + _LEAVE_SECONDS) == 0
        assert daemon.has_logged("daemon-finished")


def test_a_gateway_that_is_told_to_stop_while_it_loads_stops_as_planned(tmp_path: Path) -> None:
    """Guards against SIGTERM's default action before the gateway has a handler."""
    with lone_gateway(tmp_path) as gateway:
        assert until(gateway.heeds_reload, _START_SECONDS)
        # Loading this library takes most of the start, and begins after stop signals are blocked.
        assert not gateway.has_loaded("cygrpc")
        assert until(lambda: gateway.has_loaded("cygrpc"), _START_SECONDS)
        assert not gateway.has_logged("daemon-started")
        gateway.send(signal.SIGTERM, 0.0)
        assert asyncio.run(gateway.wait_ended(_START_SECONDS))
        assert gateway.exit_status() == 0
        assert gateway.has_logged("daemon-stopped")


def test_a_stop_signal_within_the_events_lock_does_not_block_the_process() -> None:
    """Guards against a handler that waits for a lock which its own thread holds."""
    command = [sys.executable, "-c", _SIGNALLED_WITHIN_THE_EVENTS_LOCK]
    assert subprocess.run(command, timeout=10.0, check=False).returncode == 0
