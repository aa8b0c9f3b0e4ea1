"""Sums up load records: outcomes, latency percentiles, throughput."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import msgspec
from hdrh.histogram import HdrHistogram

from kitekeel_lab.caller import Result
from kitekeel_lab.load_messages import LoadRecord

_MAX_MICROSECONDS = 600_000_000
_DIGITS = 3


class StreamSummary(msgspec.Struct, frozen=True):
    """One kind of requests; latencies in milliseconds, of answered requests only."""

    name: str
    sent: int
    results: dict[str, int]
    codes: dict[str, int]
    p50_ms: float
    p99_ms: float
    answered_per_second: float


def summarise(records: Iterable[LoadRecord], seconds: float) -> list[StreamSummary]:
    """Return one summary for each kind, in the order of their names."""
    by_stream: dict[str, list[LoadRecord]] = {}
    for record in records:
        by_stream.setdefault(record.stream, []).append(record)
    return [_summary(name, by_stream[name], seconds) for name in sorted(by_stream)]


def percentile_ms(records: Iterable[LoadRecord], percentile: float) -> float:
    """Return a latency percentile of the answered requests, 0 where there is none."""
    histogram = HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)
    for record in records:
        if record.result is Result.ANSWERED:
            histogram.record_value(max(1, int(record.seconds * 1_000_000)))
    if not histogram.total_count:
        return 0.0
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def _summary(name: str, records: list[LoadRecord], seconds: float) -> StreamSummary:
    results = Counter(record.result.value for record in records)
    codes = Counter(record.code for record in records if record.code)
    return StreamSummary(
        name=name,
        sent=len(records),
        results=dict(results),
        codes=dict(codes),
        p50_ms=percentile_ms(records, 50),
        p99_ms=percentile_ms(records, 99),
        answered_per_second=results[Result.ANSWERED.value] / seconds,
    )
