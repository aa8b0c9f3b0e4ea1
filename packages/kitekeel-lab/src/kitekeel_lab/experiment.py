"""Runs an experiment: each phase on a fresh cluster, then the bars."""

from __future__ import annotations

import sys

import msgspec

from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import Deployment, make_deployment, sample_text
from kitekeel_lab.experiment_events import EventRunner
from kitekeel_lab.experiment_metrics import PhaseData, flatten, measure
from kitekeel_lab.experiment_plan import Bar, ExperimentPlan, Phase
from kitekeel_lab.load_messages import LoadStream
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.partition import ProxiedNetwork
from kitekeel_lab.workloads import WORKLOADS, ClassShape, make_streams
from kitekeel_operators.changes import change_configuration
from kitekeel_operators.language import parse_command
from kitekeel_steering.model import Configuration

_FULL = 1.0


class BarResult(msgspec.Struct, frozen=True):
    """A bar and whether it was held."""

    name: str
    value: float
    limit: float
    held: bool


class ExperimentReport(msgspec.Struct, frozen=True):
    """The outcome of an experiment."""

    name: str
    deployment: str
    seed: int
    figures: dict[str, dict[str, float]]
    bars: tuple[BarResult, ...]


class ExperimentRun:
    """One run of a plan.

    Attributes:
        data: what each phase left behind, for plots.
    """

    def __init__(self, plan: ExperimentPlan, seed: int) -> None:
        self._plan = plan
        self._seed = seed
        self.data: dict[str, PhaseData] = {}

    def run(self) -> ExperimentReport:
        """Run all phases and judge the bars."""
        for phase in self._plan.phases:
            print(f"{self._plan.name}: phase {phase.name}", file=sys.stderr)
            self.data[phase.name] = self._run_phase(phase)
        figures = {name: measure(data) for name, data in self.data.items()}
        flat = flatten(figures)
        bars = tuple(judge(bar, flat) for bar in self._plan.bars)
        return ExperimentReport(self._plan.name, self._plan.deployment, self._seed, figures, bars)

    def _run_phase(self, phase: Phase) -> PhaseData:
        plan = self._plan
        text = sample_text(plan.deployment)
        deployment = make_deployment(text, plan.daemons_per_region, plan.back_ends_per_pool)
        network = ProxiedNetwork(deployment, proxies_callers=False)
        streams = self._streams(deployment, phase)
        with Cluster(
            deployment,
            emulate_delays=True,
            listen=network.listen,
            platform_address_of=network.platform_address_of,
            policy=phase.policy,
        ) as cluster:
            network.open(cluster)
            cluster.start()
            cluster.wait_for_first_grants()
            load = LoadRun(cluster, streams, phase.seconds, self._seed)
            events = EventRunner(cluster, network)
            events.run(phase.events, load)
            records = load.collect()
            back_ends = cluster.records()
            network.close()
        changed = _commanded(deployment.configuration, phase)
        repeatable = {each.name for each in streams if each.request.repeatable}
        return PhaseData(
            phase=phase,
            deployment=deployment,
            start_at=load.start_at,
            records=records,
            back_ends=back_ends,
            event_times=tuple(events.done_at),
            repeatable=frozenset(each.request_id for each in records if each.stream in repeatable),
            mean_work_seconds=plan.mean_work_seconds,
            shift=next(iter(changed.shifts), None),
            drain=next(iter(changed.drains), None),
        )

    def _streams(self, deployment: Deployment, phase: Phase) -> list[LoadStream]:
        shapes = tuple(
            shape
            for shape in _with_urgent_share(WORKLOADS[self._plan.deployment], phase.urgent_share)
            if not phase.classes or f"{shape.service}/{shape.name}" in phase.classes
        )
        streams = make_streams(
            deployment.configuration, shapes, phase.load, self._plan.mean_work_seconds
        )
        return [
            msgspec.structs.replace(each, comes_back=each.name in phase.come_back)
            for each in streams
        ]


def print_report(report: ExperimentReport, as_json: bool) -> None:
    """Print a report as JSON or as lines."""
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(report)).decode())
        return
    for phase, figures in report.figures.items():
        for name, value in figures.items():
            print(f"{phase:<20} {name:<32} {value:.4g}")
    for bar in report.bars:
        word = "held" if bar.held else "MISSED"
        print(f"bar {bar.name}: {bar.value:.4g} against {bar.limit:.4g}: {word}")


def judge(bar: Bar, figures: dict[str, float]) -> BarResult:
    """Return whether a bar is held by some figures."""
    value = figures[bar.left]
    limit = bar.number * (figures[bar.right] if bar.right else _FULL)
    held = value <= limit if bar.is_upper else value >= limit
    return BarResult(bar.name, value, limit, held)


def _with_urgent_share(
    shapes: tuple[ClassShape, ...], urgent_share: float
) -> tuple[ClassShape, ...]:
    """Give the first class of each service that share of its load, and the second the rest."""
    seen: set[str] = set()
    changed: list[ClassShape] = []
    for shape in shapes:
        share = 1 - urgent_share if shape.service in seen else urgent_share
        seen.add(shape.service)
        changed.append(msgspec.structs.replace(shape, share=share))
    return tuple(changed)


def _commanded(configuration: Configuration, phase: Phase) -> Configuration:
    for event in phase.events:
        verb, _, text = event.action.partition(" ")
        if verb == "command":
            configuration = change_configuration(configuration, parse_command(text))
    return configuration
