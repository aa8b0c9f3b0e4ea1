"""The figures of one phase of an experiment, by name."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from kitekeel_lab.back_end_messages import BackEndRecord
from kitekeel_lab.caller import Result
from kitekeel_lab.deployment import Deployment
from kitekeel_lab.experiment_plan import Phase
from kitekeel_lab.load_messages import LoadRecord
from kitekeel_lab.load_results import percentile_ms
from kitekeel_lab.proofs import find_breaches
from kitekeel_steering.model import Drain, Shift

_WARM_UP_SECONDS = 3.0
_SETTLE_SECONDS = 5.0
_MIN_REQUESTS_IN_SECOND = 20


class PhaseData(msgspec.Struct, frozen=True):
    """All that a phase left behind.

    Attributes:
        event_times: wall-clock times of its events.
        shift: the shift in force, if a command made one.
        drain: the same for a drain.
    """

    phase: Phase
    deployment: Deployment
    start_at: float
    records: list[LoadRecord]
    back_ends: dict[str, BackEndRecord]
    event_times: tuple[float, ...]
    repeatable: frozenset[str]
    mean_work_seconds: float
    shift: Shift | None = None
    drain: Drain | None = None


def measure(data: PhaseData) -> dict[str, float]:
    """Return the figures of a phase; shares are 0 to 1, times in milliseconds or seconds."""
    figures = _overall(data)
    for stream in sorted({each.stream for each in data.records}):
        mine = [each for each in data.records if each.stream == stream and _is_warm(data, each)]
        figures[f"p50/{stream}"] = percentile_ms(mine, 50)
        figures[f"p99/{stream}"] = percentile_ms(mine, 99)
        figures[f"answered/{stream}"] = _share(mine, Result.ANSWERED)
        figures[f"refused/{stream}"] = _share(mine, Result.NOT_RUN)
        figures[f"unknown/{stream}"] = _share(mine, Result.UNKNOWN)
    if data.event_times:
        figures.update(_around_event(data))
    if data.shift is not None:
        figures["max_moved_share"] = _largest_moved_share(data, data.shift)
    if data.drain is not None:
        figures["last_work_after_drain"] = _last_work(data, data.drain)
    return figures


def _overall(data: PhaseData) -> dict[str, float]:
    starts = sum(len(each.starts) for each in data.back_ends.values())
    over = sum(each.over_slots for each in data.back_ends.values())
    slots = sum(each.slots for each in data.deployment.configuration.back_ends)
    warm = [each for each in data.records if _is_warm(data, each)]
    seconds = data.phase.seconds - _WARM_UP_SECONDS
    answered = sum(each.result is Result.ANSWERED for each in warm)
    breaches = find_breaches(data.records, data.back_ends, data.repeatable)
    return {
        "requests": len(data.records),
        "over_slots": over,
        "over_share": over / max(1, starts),
        "throughput_share": answered * data.mean_work_seconds / seconds / slots,
        "answered_per_second": answered / seconds,
        "late_p99": 1000 * _quantile([each.late_seconds for each in data.records], 0.99),
        "broken_promises": breaches.broken_promises(),
        "lost": len(breaches.lost),
        "cut": len(breaches.cut),
        "unknown_share": _share(data.records, Result.UNKNOWN),
    }


def _around_event(data: PhaseData) -> dict[str, float]:
    """Return throughput before and after the first event, and refusals once it has settled."""
    at = data.event_times[0]
    before = [each for each in data.records if _is_warm(data, each) and each.started_at < at]
    settled = at + _SETTLE_SECONDS
    after = [each for each in data.records if each.started_at >= settled]
    end = data.start_at + data.phase.seconds
    rate_before = _answered(before) / max(0.1, at - data.start_at - _WARM_UP_SECONDS)
    rate_after = _answered(after) / max(0.1, end - settled)
    figures = {
        "throughput_before": rate_before,
        "throughput_after": rate_after,
        "refused_after": _share(after, Result.NOT_RUN),
    }
    for stream in sorted({each.stream for each in after}):
        mine = [each for each in after if each.stream == stream]
        failed = sum(each.result is not Result.ANSWERED for each in mine)
        figures[f"failed_after/{stream}"] = failed / len(mine)
        figures[f"p99_after/{stream}"] = percentile_ms(mine, 99)
    return figures


def _largest_moved_share(data: PhaseData, shift: Shift) -> float:
    """Return the largest share, over any second, of moved among the source's arriving requests.

    Arrivals, not runs, are what the shift's share is of: while the source is without a keeper few
    requests run there, and the moved ones would seem more than they are.
    """
    moved: list[float] = []
    region = data.deployment.configuration.find_region(shift.source)
    zones = region.zones if region is not None else ()
    total = [
        each.started_at
        for each in data.records
        if each.stream.startswith(f"{shift.service}/")
        and any(f"-{zone}-" in each.request_id for zone in zones)
    ]
    for back_end in data.deployment.configuration.back_ends:
        if back_end.service != shift.service:
            continue
        starts = data.back_ends[back_end.name].starts
        moved += [at for at, _, name in starts if name == shift.name]
    return max_share_over_a_second(sorted(moved), sorted(total))


def max_share_over_a_second(moved: Sequence[float], total: Sequence[float]) -> float:
    """Return the largest share of moved among all in any second that begins with a moved one.

    Seconds with few requests are left out: one request of five says nothing.
    """
    largest = 0.0
    first_total = last_total = last_moved = 0
    for index, at in enumerate(moved):
        while first_total < len(total) and total[first_total] < at:
            first_total += 1
        while last_total < len(total) and total[last_total] < at + 1:
            last_total += 1
        while last_moved < len(moved) and moved[last_moved] < at + 1:
            last_moved += 1
        count = last_total - first_total
        if count >= _MIN_REQUESTS_IN_SECOND:
            largest = max(largest, (last_moved - index) / count)
    return largest


def _last_work(data: PhaseData, drain: Drain) -> float:
    names = [
        each.name
        for each in data.deployment.configuration.back_ends
        if drain.name in (each.name, each.zone, each.region)
    ]
    return max(data.back_ends[name].last_started_at for name in names) - data.event_times[0]


def _is_warm(data: PhaseData, record: LoadRecord) -> bool:
    return record.started_at >= data.start_at + _WARM_UP_SECONDS


def _share(records: Iterable[LoadRecord], result: Result) -> float:
    results = [each.result for each in records]
    return results.count(result) / max(1, len(results))


def _answered(records: Iterable[LoadRecord]) -> int:
    return sum(each.result is Result.ANSWERED for each in records)


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def flatten(figures: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
    """Return the figures of all phases, each name preceded by its phase's."""
    return {
        f"{phase}.{name}": value for phase, each in figures.items() for name, value in each.items()
    }
