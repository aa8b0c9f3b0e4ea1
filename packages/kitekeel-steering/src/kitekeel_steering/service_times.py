"""Estimates the answer times of one service from the observations of one daemon."""

from __future__ import annotations

from kitekeel_steering.present_speed import MeanFactor
from kitekeel_steering.recent_times import RecentTimes

# Above the share of cache hits while caches warm up, and below it once they are warm (0.95 and up).
_SLOW_QUANTILE = 0.9
_USUAL_QUANTILE = 0.5
# Fewer times of cache misses do not tell the usual one.
_MIN_MISSES = 5
# Bounds of the 90th and the 96th percentile, as multiples of the median.
_MAX_MISS_FACTOR = 2.0
_MAX_LATE_FACTOR = 1.25
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

    For back ends that report their present speed, all times are those that the answers would have
    taken at the usual speed. The estimates for them use recent times: a single one that is far too
    long would otherwise count for a long time.

    Attributes:
        work_factors: the recent work factors of all back ends.
    """

    def __init__(self) -> None:
        self._slow_seconds: float | None = None
        self.work_factors = MeanFactor()
        self._recent = RecentTimes()
        self._hits = RecentTimes()
        self._misses = RecentTimes()
        self._known_misses = 0

    def note(self, seconds: float, keeps_object: bool = True) -> None:
        """Record the time of an answer.

        Args:
            seconds: the time, above 0.
            keeps_object: whether the back end is one of those that keep the object cached.
        """
        self._recent.note(seconds)
        if keeps_object:
            self._hits.note(seconds)
        else:
            self._misses.note(seconds)
            self._known_misses += 1
        if self._slow_seconds is None:
            self._slow_seconds = seconds
            return
        direction = _SLOW_QUANTILE if seconds > self._slow_seconds else _SLOW_QUANTILE - 1.0
        self._slow_seconds *= 1.0 + _STEP_SIZE * direction

    def slow_seconds(self, default: float) -> float:
        """Return the 90th percentile of the times, or a default before the first answer."""
        return default if self._slow_seconds is None else self._slow_seconds

    def recent_usual_seconds(self, default: float) -> float:
        """Return the median of the recent times, or a default before the first answer."""
        return self._recent.quantile(_USUAL_QUANTILE) or default

    def recent_miss_seconds(self, default: float, now: float) -> float:
        """Return the usual time at back ends that do not keep the object cached.

        It is the median of such times if there are some, otherwise the 90th percentile of all.
        """
        if self._known_misses >= _MIN_MISSES:
            return self._misses.quantile(_USUAL_QUANTILE)
        slow_seconds = self._recent.quantile(_SLOW_QUANTILE)
        return self._bounded(slow_seconds, _MAX_MISS_FACTOR, now) or default

    def extra_miss_seconds(self, default: float) -> float:
        """Return how much longer answers take where the object is not kept cached.

        It is the 90th percentile of all times until some answers of both kinds are known.
        """
        if self._known_misses < _MIN_MISSES:
            return self.slow_seconds(default)
        missed = self._misses.quantile(_USUAL_QUANTILE)
        return max(0.0, missed - self._hits.quantile(_USUAL_QUANTILE))

    def recent_late_seconds(self, default: float, now: float) -> float:
        """Return the 96th percentile of the recent times, or a default before the first answer."""
        late_seconds = self._recent.slow_seconds()
        return self._bounded(late_seconds, _MAX_LATE_FACTOR, now) or default

    def _bounded(self, seconds: float, factor: float, now: float) -> float:
        """Return a high percentile, bounded while back ends of the service are slow.

        The report in an answer does not tell at which speed the work was done at first. So some
        answers of back ends that were slow are taken for long ones at the usual speed.
        """
        if not self.work_factors.was_slow(now):
            return seconds
        return min(seconds, factor * self._recent.quantile(_USUAL_QUANTILE))
