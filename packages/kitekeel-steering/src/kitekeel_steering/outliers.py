"""Detects back ends that fail or are slow, independently of their load reports."""

from __future__ import annotations

import statistics

import msgspec

from kitekeel_steering.answer_window import AnswerWindow
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import ResultCount

_WINDOW_SECONDS = 5.0
_MIN_ANSWERS = 8
_MAX_FAILURE_SHARE = 0.5
_SLOWNESS_FACTOR = 4.0
_FIRST_EJECTION_SECONDS = 3.0
_MAX_EJECTION_SECONDS = 30.0


class _Record(msgspec.Struct):
    """Answers of one back end in the current window, and its ejections."""

    window_started_at: float
    window: AnswerWindow
    ejections: int = 0
    ejected_until: float = 0.0


class OutlierDetector:
    """Ejects back ends that fail or are much slower than the pool's median.

    Args:
        max_share: maximum share of the pool that may be ejected at the same time.
    """

    def __init__(self, clock: Clock, max_share: float = 0.3) -> None:
        self._clock = clock
        self._max_share = max_share
        self._records: dict[str, _Record] = {}

    def note(self, results: tuple[ResultCount, ...], pool_size: int) -> list[str]:
        """Count answers; return the names of the back ends that are ejected as a result."""
        now = self._clock.monotonic()
        for result in results:
            record = self._records.setdefault(result.back_end, _Record(now, AnswerWindow()))
            if now - record.window_started_at > _WINDOW_SECONDS:
                record.window_started_at = now
                record.window = AnswerWindow()
            record.window.add(result.successes, result.failures, result.total_seconds)
        return self._eject(now, pool_size)

    def is_ejected(self, back_end: str) -> bool:
        """Return whether the back end is currently ejected."""
        record = self._records.get(back_end)
        return record is not None and record.ejected_until > self._clock.monotonic()

    def returned_at(self, back_end: str) -> float | None:
        """Return when the last ejection ended or will end; ``None`` if there was none."""
        record = self._records.get(back_end)
        return record.ejected_until if record is not None and record.ejections else None

    def _eject(self, now: float, pool_size: int) -> list[str]:
        most = int(pool_size * self._max_share)
        ejected = sum(record.ejected_until > now for record in self._records.values())
        median = self._median_seconds()
        names: list[str] = []
        for name, record in self._records.items():
            if ejected >= most:
                break
            if record.ejected_until > now or not _is_outlier(record.window, median):
                continue
            self._start_ejection(record, now)
            names.append(name)
            ejected += 1
        return names

    def _start_ejection(self, record: _Record, now: float) -> None:
        record.ejections += 1
        length = min(_MAX_EJECTION_SECONDS, _FIRST_EJECTION_SECONDS * 2 ** (record.ejections - 1))
        record.ejected_until = now + length
        record.window_started_at = now
        record.window = AnswerWindow()

    def _median_seconds(self) -> float:
        means = [
            record.window.mean_seconds
            for record in self._records.values()
            if record.window.successes >= _MIN_ANSWERS
        ]
        return statistics.median(means) if len(means) > 2 else 0.0


def _is_outlier(window: AnswerWindow, median_seconds: float) -> bool:
    if window.answers < _MIN_ANSWERS:
        return False
    if window.failure_share > _MAX_FAILURE_SHARE:
        return True
    if not median_seconds or window.successes < _MIN_ANSWERS:
        return False
    return window.mean_seconds > _SLOWNESS_FACTOR * median_seconds
