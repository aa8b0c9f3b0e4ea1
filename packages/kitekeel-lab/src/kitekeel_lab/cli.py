"""Commands of the lab: stand-ins as processes, the demonstration, experiments, all tests."""

from __future__ import annotations

import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

import defopt
import msgspec

from kitekeel_daemon.process_signals import StopSignals
from kitekeel_lab.back_end_messages import BackEndSpec
from kitekeel_lab.back_end_server import serve_back_ends
from kitekeel_lab.bench import measure_lookup, measure_overhead
from kitekeel_lab.block_trial import measure_blocks
from kitekeel_lab.chaos import run_chaos
from kitekeel_lab.demo import run_demo
from kitekeel_lab.experiment import ExperimentRun, print_report
from kitekeel_lab.experiment_plan import load_plan
from kitekeel_lab.experiment_plots import plot_phase
from kitekeel_lab.hollow_server import HollowOrder, serve_hollow
from kitekeel_lab.load_process import run_load_file
from kitekeel_lab.platform_server import serve_platform
from kitekeel_lab.policies import Policy, run_policy_daemon
from kitekeel_lab.reference import reference as reference_page
from kitekeel_lab.scale import run_scale
from kitekeel_lab.scale_fit import fit_reports, plot_reports, read_reports
from kitekeel_lab.verify import run_all_tests

_SEED = 1
_BENCHES: dict[str, Callable[[], msgspec.Struct]] = {
    "lookup": measure_lookup,
    "overhead": measure_overhead,
    "blocks": measure_blocks,
}


class _Stoppable(Protocol):
    """A server, or several."""

    def stop(self) -> None:
        """Stop listening and end the threads, without which the process does not end."""


def platform(address: str) -> int:
    """Run the platform stand-in until told to end.

    :param address: IP:port
    """
    return _serve_until_told(lambda: serve_platform(address))


def back_ends(file: Path, control: str, *, seed: int = _SEED) -> int:
    """Run back-end stand-ins until told to end.

    :param file: their specifications as JSON
    :param control: IP:port of their control
    :param seed: of their random choices
    """
    specs = msgspec.json.decode(file.read_bytes(), type=list[BackEndSpec])
    return _serve_until_told(lambda: serve_back_ends(specs, control, seed))


def reference() -> int:
    """Print the reference of log lines, codes, metrics and settings as Markdown."""
    print(reference_page(), end="")
    return 0


def load(order: Path, result: Path) -> int:
    """Run one load process.

    :param order: file with its order
    :param result: file for its records
    """
    return run_load_file(order, result)


def demo() -> int:
    """Run the demonstration."""
    return run_demo()


def policy_daemon(policy: Policy, settings: Path) -> int:
    """Run a daemon that takes slots by a policy of the lab.

    :param policy: name of the policy
    :param settings: the daemon's INI file
    """
    return run_policy_daemon(policy, settings)


def hollow(order: Path, control: str) -> int:
    """Run hollow daemons until told to end.

    :param order: file that names them
    :param control: IP:port of their control
    """
    found = msgspec.json.decode(order.read_bytes(), type=HollowOrder)
    return _serve_until_told(lambda: serve_hollow(found, control))


def scale(*, daemons: int = 100, json: bool = False) -> int:
    """Run real daemons beside hollow ones and print what each costs.

    :param daemons: how many in all
    :param json: print JSON
    """
    report = run_scale(daemons)
    if json:
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        for name in report.__struct_fields__:
            print(f"{name:<28} {getattr(report, name):.6g}")
    return 0


def scale_fit(*files: Path, goal: int = 1000, plot: Path | None = None) -> int:
    """Fit the figures of several scale runs and work them out at a goal.

    :param files: what ``scale --json`` printed
    :param goal: number of daemons
    :param plot: file for a picture
    """
    reports = read_reports(files)
    for fit in fit_reports(reports, goal):
        print(f"{fit.name:<28} {fit.at_zero:.6g} + {fit.slope:.6g} {fit.term} = {fit.at_goal:.6g}")
    if plot is not None:
        plot_reports(reports, plot)
    return 0


def chaos(
    *, seed: int = _SEED, minutes: float = 2.0, announcements: bool = False, json: bool = False
) -> int:
    """Run a seeded random fault schedule over the whole system; exit code 1 on any breach.

    :param seed: of faults and arrivals
    :param minutes: how long load and faults go on
    :param announcements: back ends announce their end or ask for pauses, too
    :param json: print JSON
    """
    report = run_chaos(seed, minutes, announcements)
    if json:
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        print("\n".join(report.schedule))
        print(f"{report.requests} requests: {report.results}, over slots {report.over_slots}")
        print(f"breaches: {report.breaches}")
        print(f"revisions: {report.revisions_at_end}, lost changes: {report.lost_changes}")
    print("clean" if report.is_clean() else f"BREACH with seed {seed}", file=sys.stderr)
    return 0 if report.is_clean() else 1


def run(
    name: str,
    *,
    deployment: str = "catalogue",
    seed: int = _SEED,
    json: bool = False,
    report: Path | None = None,
) -> int:
    """Run an experiment; exit code 1 if a bar is missed.

    :param name: of a plan, or lookup, overhead or blocks
    :param deployment: catalogue or device-lab
    :param seed: of all random choices
    :param json: print JSON
    :param report: folder for plots
    """
    if name in _BENCHES:
        return _print_bench(_BENCHES[name](), json)
    experiment = ExperimentRun(load_plan(name, deployment), seed)
    outcome = experiment.run()
    if report is not None:
        for data in experiment.data.values():
            plot_phase(data, report, f"{name}-{deployment}")
    print_report(outcome, json)
    return 0 if all(each.held for each in outcome.bars) else 1


def verify() -> int:
    """Run all tests and print how many passed and failed."""
    return run_all_tests()


def _print_bench(report: msgspec.Struct, as_json: bool) -> int:
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
    else:
        for name in report.__struct_fields__:
            print(f"{name:<32} {getattr(report, name):.4g}")
    return 0 if getattr(report, "held", True) else 1


def _serve_until_told(start: Callable[[], _Stoppable]) -> int:
    signals = StopSignals()
    signals.listen()
    server = start()
    signals.wait(threading.Event())
    server.stop()
    return 0


def main() -> None:
    """Run the command line."""
    sys.exit(
        int(
            defopt.run(
                [
                    platform,
                    back_ends,
                    load,
                    policy_daemon,
                    hollow,
                    scale,
                    scale_fit,
                    chaos,
                    demo,
                    run,
                    verify,
                    reference,
                ]
            )
        )
    )
