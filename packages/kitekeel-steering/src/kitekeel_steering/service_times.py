"""Estimates the answer times of one service from the observations of one daemon."""

from __future__ import annotations

# Above the share of cache hits while caches warm up, and below it once they are warm (0.95 and up).
_SLOW_QUANTILE = 0.9
# Relative change of the value by a full step. The estimate follows a change of the times within
# about twenty answers, and varies by a few per cent while they are constant.
_STEP_SIZE = 0.05


class ServiceTimes:
    """Estimates the 90th percentile of a service's answer times, excluding queueing.

    A cache miss takes several times as long as a hit, so the distribution of the times has two
    peaks. The percentile shows which of them dominates: it is the time of a miss while more than
    one answer in ten is a miss, and the time of a hit once caches are warm.

    The quantile is estimated by stochastic approximation (Robbins and Monro, 1951): each time above
    it raises it by nine steps, and each time below lowers it by one.
    """

    def __init__(self) -> None:
        self._slow_seconds: float | None = None

    def note(self, seconds: float) -> None:
        """Record the time of an answer, which must be above 0."""
        if self._slow_seconds is None:
            self._slow_seconds = seconds
            return
        direction = _SLOW_QUANTILE if seconds > self._slow_seconds else _SLOW_QUANTILE - 1.0
        self._slow_seconds *= 1.0 + _STEP_SIZE * direction

    def slow_seconds(self, default: float) -> float:
        """Return the 90th percentile of the times, or a default before the first answer."""
        return default if self._slow_seconds is None else self._slow_seconds
