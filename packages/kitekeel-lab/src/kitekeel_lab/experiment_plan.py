"""Experiments as INI files: a deployment, phases of load with events, and bars to be held."""

from __future__ import annotations

import re
from importlib import resources

import msgspec

from kitekeel_lab.deployment import sample_text
from kitekeel_lab.policies import Policy
from kitekeel_lab.workloads import WORKLOADS
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.ini import IniDocument, IniSection, parse_duration

_BAR_PATTERN = re.compile(
    r"^(?P<left>[\w./-]+) (?P<sign><=|>=) (?P<number>[\d.]+)( \* (?P<right>[\w./-]+))?$"
)
_MAX_DAEMONS = 40


class PlannedEvent(msgspec.Struct, frozen=True):
    """Something that is done at a time of a phase, counted from its first arrival."""

    at_seconds: float
    action: str


class Phase(msgspec.Struct, frozen=True):
    """One run of load on a fresh cluster.

    Attributes:
        load: offered work against all slots; 1.0 asks for as many as there are.
        urgent_share: share of each service's load that its most urgent class offers.
        classes: kinds of requests that are sent; empty for all.
        come_back: kinds whose callers send a refused request again when told to.
    """

    name: str
    load: float
    seconds: float
    policy: Policy
    urgent_share: float
    classes: tuple[str, ...]
    come_back: tuple[str, ...]
    events: tuple[PlannedEvent, ...]


class Bar(msgspec.Struct, frozen=True):
    """A figure that must not be above or below a limit, or a multiple of another figure."""

    name: str
    left: str
    is_upper: bool
    number: float
    right: str


class ExperimentPlan(msgspec.Struct, frozen=True):
    """An experiment."""

    name: str
    deployment: str
    daemons_per_region: int
    back_ends_per_pool: int | None
    mean_work_seconds: float
    phases: tuple[Phase, ...]
    bars: tuple[Bar, ...]


def plan_names() -> list[str]:
    """Return the names of the plans that ship with the lab."""
    folder = resources.files("kitekeel_lab").joinpath("plans")
    return sorted(each.name.removesuffix(".ini") for each in folder.iterdir())


def load_plan(name: str, deployment: str) -> ExperimentPlan:
    """Return a shipped plan for a deployment.

    Raises:
        FindingsError: the plan is not as documented.
    """
    file = resources.files("kitekeel_lab").joinpath(f"plans/{name}.ini")
    return parse_plan(_fill_in(file.read_text(), deployment), name, deployment)


def parse_plan(text: str, name: str, deployment: str) -> ExperimentPlan:
    """Return the plan in an INI text.

    Raises:
        FindingsError: every finding about the text, together.
    """
    document = IniDocument(text, name)
    general = document.section("experiment")
    back_ends = general.integer("back_ends", 0, 0, 1000)
    phases: list[Phase] = []
    bars: list[Bar] = []
    for section in document.sections:
        if section.name.startswith("phase "):
            phases.append(_phase(section))
        elif section.name == "bars":
            bars = _bars(section)
    plan = ExperimentPlan(
        name=name,
        deployment=deployment,
        daemons_per_region=general.integer("daemons", 4, 1, _MAX_DAEMONS),
        back_ends_per_pool=back_ends or None,
        mean_work_seconds=general.seconds("work", "500ms"),
        phases=tuple(phases),
        bars=tuple(bars),
    )
    document.raise_findings()
    return plan


def _fill_in(text: str, deployment: str) -> str:
    """Replace the names in braces by those of a deployment, so that a plan serves both."""
    configuration = parse_configuration(sample_text(deployment))
    shapes = WORKLOADS[deployment]
    names = [f"{each.service}/{each.name}" for each in shapes]
    service = configuration.services[0].name
    regions = [each.name for each in configuration.regions]
    words = {
        "service1": service,
        "pool1": f"{service}/{regions[0]}",
        "pool2": f"{service}/{regions[1]}",
        "urgent": names[0],
        "bulk": names[3] if deployment == "catalogue" else names[5],
        "urgent classes": ", ".join(names[::2]),
        "lesser classes": ", ".join(names[1::2]),
        "zone1": configuration.regions[0].zones[0],
    }
    words.update({f"region{number}": name for number, name in enumerate(regions, start=1)})
    for word, value in words.items():
        text = text.replace("{" + word + "}", value)
    return text


def _phase(section: IniSection) -> Phase:
    return Phase(
        name=section.name.removeprefix("phase "),
        load=float(section.text("load")),
        seconds=section.seconds("seconds", "20s"),
        policy=Policy(section.text("policy", "grants")),
        urgent_share=section.fraction("urgent_share", 0.35),
        classes=section.names("classes", ""),
        come_back=section.names("come_back", ""),
        events=_events(section),
    )


def _events(section: IniSection) -> tuple[PlannedEvent, ...]:
    events: list[PlannedEvent] = []
    for line in section.text("events", "").splitlines():
        if not line.strip():
            continue
        at, _, action = line.strip().partition(" ")
        seconds = parse_duration(at)
        if seconds is None or not action:
            section.add_finding("events", "bad-event", f"'{line.strip()}'", "TIME ACTION")
            continue
        events.append(PlannedEvent(seconds, action))
    return tuple(events)


def _bars(section: IniSection) -> list[Bar]:
    bars: list[Bar] = []
    for name in section.options():
        match = _BAR_PATTERN.match(section.text(name))
        if match is None:
            allowed = "FIGURE <= NUMBER, or FIGURE <= NUMBER * FIGURE, or the same with >="
            section.add_finding(name, "bad-bar", f"'{section.text(name)}'", allowed)
            continue
        bars.append(
            Bar(
                name,
                match["left"],
                match["sign"] == "<=",
                float(match["number"]),
                match["right"] or "",
            )
        )
    return bars
