"""Fits the figures of several scale runs over the number of daemons, and draws them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import msgspec
import numpy
from matplotlib import pyplot

from kitekeel_lab.scale import ScaleReport

# Memory grows with the records held, one for each member. Traffic and processor time follow the
# number of neighbours, and spreading its hops: both grow with the logarithm.
LINEAR = ("hollow_memory_bytes", "real_memory_bytes")
LOGARITHMIC = (
    "calls_per_second",
    "payload_bytes_per_second",
    "wire_bytes_per_second",
    "processor_share",
    "real_processor_share",
    "change_seconds",
    "death_seconds",
)
_DPI = 80


class Fit(msgspec.Struct, frozen=True):
    """A least-squares line ``at_zero + slope x``, and its value at a goal.

    Attributes:
        term: ``N``, the number of daemons, or its logarithm ``log2 N``.
    """

    name: str
    term: str
    at_zero: float
    slope: float
    at_goal: float


def fit_reports(reports: Sequence[ScaleReport], goal: int) -> list[Fit]:
    """Return a line for each figure, over N or log2 N."""
    return [_fit(reports, name, goal) for name in (*LINEAR, *LOGARITHMIC)]


def _fit(reports: Sequence[ScaleReport], name: str, goal: int) -> Fit:
    term = "N" if name in LINEAR else "log2 N"
    values = [float(getattr(report, name)) for report in reports]
    places = [_term(report.daemons, term) for report in reports]
    slope, at_zero = numpy.polyfit(places, values, 1)
    at_goal = at_zero + slope * _term(goal, term)
    return Fit(name, term, float(at_zero), float(slope), float(at_goal))


def _term(count: int, term: str) -> float:
    return float(count) if term == "N" else math.log2(count)


def plot_reports(reports: Sequence[ScaleReport], file: Path) -> None:
    """Draw each figure over the number of daemons, with its line."""
    counts = [report.daemons for report in reports]
    figure, axes = pyplot.subplots(3, 3, figsize=(13, 9))
    for fit, plot in zip(fit_reports(reports, counts[-1]), axes.flat, strict=True):
        values = [float(getattr(report, fit.name)) for report in reports]
        line = [fit.at_zero + fit.slope * _term(count, fit.term) for count in counts]
        plot.plot(counts, values, "o")
        plot.plot(counts, line, "-")
        plot.set_title(fit.name, fontsize=9)
        plot.set_xlabel("daemons", fontsize=8)
        plot.set_ylim(bottom=0)
    figure.tight_layout()
    file.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(file, dpi=_DPI)
    pyplot.close(figure)


def read_reports(files: Sequence[Path]) -> list[ScaleReport]:
    """Return the reports in some files, the smallest run first."""
    reports = [msgspec.json.decode(file.read_bytes(), type=ScaleReport) for file in files]
    return sorted(reports, key=lambda report: report.daemons)
