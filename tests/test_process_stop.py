"""A planned stop begins whichever thread the signal meets, and whenever it comes.

What happened: a daemon that was paused (SIGSTOP) when it was told to stop (SIGTERM) ran on for good
once it was woken: 2 of 2 daemons after 25 s, without a line ``daemon-leaving``. A second SIGTERM
ended it as planned.

Why: Python runs a signal's handler on the main thread, between two of its instructions. The kernel
may hand the signal to any thread; then the main thread, which slept in a wait without a limit, did
not wake. The handler was also set only after the start, so that a signal before that was a kill.

What showed it: the handler ran as soon as a second signal met the main thread; with the wait
bounded, the daemon leaves within a second. A gateway's event loop has a descriptor that the signal
writes to, which wakes it whichever thread is met.
"""

import asyncio
import signal
import socket
import subprocess
import time
from pathlib import Path

import pytest
from lone_daemon import LoneDaemon
from loopback import free_address
from soak_daemon import STOP_SECONDS, SoakDaemon

from kitekeel_lab.child_process import start_python

# Of the start of a daemon that can reach neither the platform nor others.
_START_SECONDS = 15.0
# Cached look-ups expire (2 s), others hear of it (2 s), the last callers (1.5 s), then the loops.
_LEAVE_SECONDS = 15.0
_PAUSE_SECONDS = 0.3

_STOPPED_WHILE_STARTING = """
import os, signal, sys
from pathlib import Path
from kitekeel_daemon.daemon import Daemon
from kitekeel_daemon.main import run_checked
from kitekeel_steering.settings import parse_settings
import eliot

class Signalled(Daemon):
    def start(self):
        os.kill(os.getpid(), signal.SIGTERM)
        super().start()

eliot.to_file(sys.stdout)
sys.exit(run_checked(parse_settings(Path(sys.argv[1]).read_text()), Signalled))
"""


def wait_until_caught(process: subprocess.Popen[bytes], number: signal.Signals) -> bool:
    """Wait until a process has a handler for a signal; tell whether it had in time."""
    deadline = time.monotonic() + _START_SECONDS
    while time.monotonic() < deadline:
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        caught = next(int(line.split()[1], 16) for line in lines if line.startswith("SigCgt"))
        if caught & (1 << (number - 1)):
            return True
        time.sleep(0.02)
    return False


@pytest.mark.parametrize("attempt", range(3))
def test_a_daemon_that_was_paused_when_it_was_told_to_stop_leaves(
    tmp_path: Path, attempt: int
) -> None:
    daemon = LoneDaemon(tmp_path)
    process = daemon.start(["-m", "kitekeel_daemon", "--settings"])
    try:
        assert daemon.wait_logged("daemon-started", _START_SECONDS)
        for number in (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT):
            process.send_signal(number)
            time.sleep(_PAUSE_SECONDS)
        assert process.wait(_LEAVE_SECONDS) == 0
        assert daemon.has_logged("daemon-leaving")
    finally:
        process.kill()
        process.wait()


def test_a_daemon_that_is_told_to_stop_while_it_starts_leaves_as_planned(tmp_path: Path) -> None:
    daemon = LoneDaemon(tmp_path)
    script = tmp_path / "signalled.py"
    script.write_text(_STOPPED_WHILE_STARTING)
    process = daemon.start([str(script)])
    try:
        assert process.wait(_START_SECONDS + _LEAVE_SECONDS) == 0
        assert daemon.has_logged("daemon-leaving")
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("attempt", range(3))
def test_a_gateway_that_was_paused_when_it_was_told_to_stop_leaves(
    tmp_path: Path, attempt: int
) -> None:
    daemon = SoakDaemon("g0", "n1", tmp_path)
    daemon.write_settings([], free_address())
    daemon.start(0.0)
    try:
        deadline = time.monotonic() + _START_SECONDS
        while not daemon.has_logged("daemon-started") and time.monotonic() < deadline:
            time.sleep(0.02)
        for number in (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT):
            daemon.send(number, 0.0)
            time.sleep(_PAUSE_SECONDS)
        assert asyncio.run(daemon.wait_ended(STOP_SECONDS + 2.0))
        assert daemon.exit_status() == 0
    finally:
        daemon.send(signal.SIGKILL, 0.0)


def test_a_gateway_whose_peers_do_not_answer_ends_in_its_time(tmp_path: Path) -> None:
    """Its last words to a frozen daemon and to a silent store take longer than it has."""
    daemons = [SoakDaemon(f"g{number}", "n1", tmp_path) for number in range(4)]
    with socket.create_server(("127.0.0.1", 0)) as silent_store:
        store = f"127.0.0.1:{silent_store.getsockname()[1]}"
        for each in daemons:
            each.write_settings([other.peers for other in daemons], store)
            each.start(0.0)
        try:
            deadline = time.monotonic() + _START_SECONDS
            while not daemons[0].has_logged("member-changed") and time.monotonic() < deadline:
                time.sleep(0.05)
            time.sleep(3.0)
            for each in daemons[1:]:
                each.send(signal.SIGSTOP, 0.0)
            told_at = time.monotonic()
            daemons[0].send(signal.SIGTERM, 0.0)
            asyncio.run(daemons[0].wait_ended(STOP_SECONDS + 8.0))
            assert daemons[0].exit_status() == 0
            assert time.monotonic() - told_at <= STOP_SECONDS
        finally:
            for each in daemons:
                each.send(signal.SIGKILL, 0.0)


@pytest.mark.parametrize("attempt", range(3))
def test_a_stand_in_that_was_paused_when_it_was_told_to_stop_ends(attempt: int) -> None:
    process = start_python(["-m", "kitekeel_lab", "platform", free_address()], subprocess.DEVNULL)
    try:
        # Until it listens to signals they end it at once, which is no stop of its own.
        assert wait_until_caught(process, signal.SIGTERM)
        for number in (signal.SIGSTOP, signal.SIGTERM, signal.SIGCONT):
            process.send_signal(number)
            time.sleep(_PAUSE_SECONDS)
        assert process.wait(5.0) == 0
    finally:
        process.kill()
        process.wait()
