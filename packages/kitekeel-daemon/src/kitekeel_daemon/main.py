"""The ``kitekeeld`` program: checks its settings, runs, and stops gracefully on SIGTERM."""

from __future__ import annotations

import sys
from pathlib import Path

import defopt
import eliot

from kitekeel_daemon.daemon import Daemon
from kitekeel_daemon.planned_stop import PlannedStop
from kitekeel_daemon.process_signals import StopSignals
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.findings import FindingsError
from kitekeel_steering.settings import Settings, parse_settings

_EXIT_FAILED = 1
_EXIT_FINDINGS = 2


def run_daemon(*, settings: Path) -> int:
    """Run one daemon until SIGTERM, SIGINT or an operator's stop.

    :param settings: the INI file with the daemon's settings
    """
    try:
        checked = parse_settings(settings.read_text(), str(settings))
    except FindingsError as error:
        print("\n".join(str(each) for each in error.findings), file=sys.stderr)
        return _EXIT_FINDINGS
    except OSError as error:
        print(f"settings: {error}", file=sys.stderr)
        return _EXIT_FINDINGS
    eliot.to_file(sys.stdout)
    return run_checked(checked)


def main() -> None:
    """Run the command line."""
    sys.exit(int(defopt.run(run_daemon)))


def run_checked(settings: Settings, daemon_type: type[Daemon] = Daemon) -> int:
    """Run a daemon until it is told to stop, and return its exit code.

    Args:
        settings: checked settings.
        daemon_type: ``Daemon``, or a subclass that replaces some of its components.
    """
    signals = StopSignals()
    # Before the start, so that a stop signal that arrives while the daemon joins leads to a planned
    # stop afterwards.
    signals.listen()
    try:
        daemon = daemon_type(settings)
        daemon.start()
    except (KitekeelError, OSError) as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return _EXIT_FAILED
    signals.wait(daemon.stop_requested)
    PlannedStop(daemon).run()
    return 0
