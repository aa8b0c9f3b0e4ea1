"""Fits the figures of several scale runs over the number of daemons, and draws them."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

import msgspec
import numpy
from matplotlib import pyplot

from kitekeel_lab.scale import ScaleReport

FITTED = (
    "calls_per_second",
    "payload_bytes_per_second",
    "wire_bytes_per_second",
    "processor_share",
    "hollow_memory_bytes",
    "real_memory_bytes",
    "real_processor_share",
    "platform_calls_per_second",
    "change_seconds",
    "death_seconds",
)
_DPI = 80


class Fit(msgspec.Struct, frozen=True):
    """A straight line over the number of daemons, and its value at a goal."""

    name: str
    at_zero: float
    slope: float
    at_goal: float


def fit_reports(reports: Sequence[ScaleReport], goal: int) -> list[Fit]:
    """Return a least-squares line for each figure."""
    counts = [report.daemons for report in reports]
    fits: list[Fit] = []
    for name in FITTED:
        values = [float(getattr(report, name)) for report in reports]
        slope, at_zero = numpy.polyfit(counts, values, 1)
        fits.append(Fit(name, float(at_zero), float(slope), float(at_zero + slope * goal)))
    return fits


def plot_reports(reports: Sequence[ScaleReport], file: Path) -> None:
    """Draw each figure over the number of daemons, with its line."""
    counts = [report.daemons for report in reports]
    figure, axes = pyplot.subplots(2, 5, figsize=(18, 6))
    for name, plot in zip(FITTED, axes.flat, strict=True):
        values = [float(getattr(report, name)) for report in reports]
        slope, at_zero = numpy.polyfit(counts, values, 1)
        plot.plot(counts, values, "o")
        plot.plot(counts, [at_zero + slope * count for count in counts], "-")
        plot.set_title(name, fontsize=9)
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
