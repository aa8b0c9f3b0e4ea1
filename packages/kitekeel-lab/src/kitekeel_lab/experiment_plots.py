"""Draws an experiment: latency over time, and answered and refused requests over time."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from kitekeel_lab.caller import Result
from kitekeel_lab.experiment_metrics import PhaseData
from kitekeel_lab.load_messages import LoadRecord
from kitekeel_lab.load_results import percentile_ms

_DPI = 80
_RESULTS = (Result.ANSWERED, Result.NOT_RUN, Result.UNKNOWN)


def plot_phase(data: PhaseData, folder: Path, name: str) -> Path:
    """Write one picture of a phase and return its path."""
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(10, 7), sharex=True)
    by_stream: dict[str, dict[int, list[LoadRecord]]] = defaultdict(lambda: defaultdict(list))
    by_result: dict[Result, dict[int, int]] = {each: defaultdict(int) for each in Result}
    for record in data.records:
        second = int(record.started_at - data.start_at)
        by_stream[record.stream][second].append(record)
        by_result[record.result][second] += 1
    for stream in sorted(by_stream):
        seconds = sorted(by_stream[stream])
        values = [percentile_ms(by_stream[stream][second], 95) for second in seconds]
        upper.plot(seconds, values, label=stream)
    for result in _RESULTS:
        seconds = sorted(by_result[result])
        lower.plot(seconds, [by_result[result][each] for each in seconds], label=result.value)
    for at in data.event_times:
        for axes in (upper, lower):
            axes.axvline(at - data.start_at, color="grey", linestyle="--")
    upper.set_ylabel("p95 latency, ms")
    lower.set_ylabel("requests a second")
    lower.set_xlabel("seconds")
    upper.legend(fontsize=7)
    lower.legend(fontsize=7)
    upper.set_title(f"{name}: {data.phase.name}")
    folder.mkdir(parents=True, exist_ok=True)
    file = folder / f"{name}-{data.phase.name}.png"
    figure.savefig(file, dpi=_DPI)
    pyplot.close(figure)
    return file
