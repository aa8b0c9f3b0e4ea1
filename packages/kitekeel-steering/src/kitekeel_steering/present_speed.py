"""The present speed of one process of a back end, from its load reports.

A back end that shares its machine with others states how long work takes at the moment, as a
multiple of the usual time (its work factor). The factor changes many times a second, so a report
describes the present only for a moment. After that, what the back end reported over the last
seconds is the better estimate.
"""

from __future__ import annotations

import math
import statistics
from collections import deque

import msgspec

# Within about a second a report's weight against the mean falls to a tenth.
_LAST_REPORT_SECONDS = 0.4
# Time constant of the means. A report is forgotten within some ten seconds.
_MEMORY_SECONDS = 3.0
# A mean includes what is assumed without reports, with the weight of this many new reports.
_ASSUMED_WEIGHT = 3.0
# Reports of this long ago say nothing about single requests.
_RECENT_SECONDS = 8.0
_MAX_REPORTS = 32
# No queue within the placement bounds makes a back end this slow worth its price. Higher reports
# change no decision, so they are not remembered for longer than this one.
_MAX_FACTOR = 10.0
# Bounds what one back end's reports tell of the others of its service.
_MAX_SERVICE_FACTOR = 4.0
# Work that is not mixed with other work takes its usual time. A report of less is not believed.
_USUAL_FACTOR = 1.0
# From here on a back end counts as slow: most cache misses elsewhere are then as fast as its hits.
SLOW_FACTOR = 1.25
# A report describes the speed at which a request will run only if slow phases last longer.
_LASTING_SECONDS = 0.5
_LASTING_SHARE = 0.5
_LASTING_WEIGHT = 0.1
# An odd number, so that the median is one of the times; up to four of them may be wrong.
_WORK_TIMES = 9
# With fewer times of its own, a back end is partly taken for one that works like the others.
_MIN_WORK_TIMES = 5


class _Report(msgspec.Struct, frozen=True):
    at: float
    factor: float


class MeanFactor:
    """The mean of recent work factors; times are monotonic, in seconds."""

    def __init__(self) -> None:
        self._total = 0.0
        self._weight = 0.0
        self._updated_at = -math.inf
        self._slow_at = -math.inf
        self._lasting_share = 1.0

    def note(self, factor: float, now: float) -> None:
        """Record a factor."""
        kept = self._kept(now)
        self._total = kept * self._total + factor
        self._weight = kept * self._weight + 1.0
        self._updated_at = now
        if factor >= SLOW_FACTOR:
            self._slow_at = now

    def value(self, now: float, assumed: float) -> float:
        """Return the mean, which approaches an assumed value as the reports become old."""
        kept = self._kept(now)
        total = kept * self._total + _ASSUMED_WEIGHT * assumed
        return total / (kept * self._weight + _ASSUMED_WEIGHT)

    def is_reported(self) -> bool:
        """Return whether any factor was reported."""
        return self._updated_at != -math.inf

    def was_slow(self, now: float) -> bool:
        """Return whether a recent factor was that of a slow back end."""
        return now - self._slow_at <= _RECENT_SECONDS

    def note_after_slow(self, is_slow: bool) -> None:
        """Record whether a back end that reported to be slow still does so a moment later."""
        self._lasting_share += _LASTING_WEIGHT * (is_slow - self._lasting_share)

    def is_slow_for_long(self) -> bool:
        """Return whether slow back ends mostly stay so for about as long as a request takes."""
        return self._lasting_share >= _LASTING_SHARE

    def _kept(self, now: float) -> float:
        return math.exp((self._updated_at - now) / _MEMORY_SECONDS)


class PresentSpeed:
    """Estimates the present work factor of one process; times are monotonic, in seconds.

    A factor below 1 counts as 1. A false report can therefore make the back end look slower than it
    is, but not faster than usual.

    Args:
        service: the factors of all back ends of the service, which one with few reports of its own
            is assumed to have.
    """

    def __init__(self, service: MeanFactor) -> None:
        self._service = service
        self._own = MeanFactor()
        self._reports: deque[_Report] = deque(maxlen=_MAX_REPORTS)

    def note_report(self, factor: float, now: float, run_since: float | None = None) -> None:
        """Record a reported work factor; 1 is the usual speed.

        The means count the highest factor known of each request, because a request that met a slow
        back end often reports only that it has recovered.

        Args:
            factor: the factor.
            now: monotonic time in seconds.
            run_since: when the request was sent whose answer reports it; ``None`` for a probe.
        """
        bounded = min(_MAX_FACTOR, max(_USUAL_FACTOR, factor))
        last = self._reports[-1] if self._reports else None
        if last is not None and last.factor >= SLOW_FACTOR and now - last.at <= _LASTING_SECONDS:
            self._service.note_after_slow(bounded >= SLOW_FACTOR)
        self._reports.append(_Report(now, bounded))
        known = bounded if run_since is None else self.highest_since(run_since)
        self._own.note(known, now)
        self._service.note(min(_MAX_SERVICE_FACTOR, known), now)

    def factor(self, now: float) -> float:
        """Return the expected work factor now, at least 1; 1 without recent reports."""
        mean = self._own.value(now, self._service.value(now, _USUAL_FACTOR))
        if not self._reports:
            return mean
        last = self._reports[-1]
        weight = math.exp((last.at - now) / _LAST_REPORT_SECONDS)
        return weight * last.factor + (1.0 - weight) * mean

    def likely_factor(self, now: float) -> float:
        """Return the most probable work factor now, at least 1.

        A back end that is several times as slow for a part of the time is at its usual speed most
        of the time, although its mean factor is higher.
        """
        recent = [each.factor for each in self._reports if now - each.at <= _RECENT_SECONDS]
        if not recent:
            return _USUAL_FACTOR
        weight = math.exp((self._reports[-1].at - now) / _LAST_REPORT_SECONDS)
        return weight * recent[-1] + (1.0 - weight) * statistics.median_low(recent)

    def highest_since(self, begin: float) -> float:
        """Return the highest factor known since a time, at least 1.

        Reports of shortly before count, as they described the speed at that time.
        """
        first = begin - _LAST_REPORT_SECONDS
        return max((each.factor for each in self._reports if each.at >= first), default=1.0)


class WorkTimes:
    """The time that one back end's work takes at its usual speed, from its latest answers.

    The median is used because a report does not always describe the time in which the work was
    done: an answer that took long may report that the back end has just recovered.
    """

    def __init__(self) -> None:
        self._observed: deque[float] = deque(maxlen=_WORK_TIMES)
        self._at_usual_speed: deque[float] = deque(maxlen=_WORK_TIMES)

    def note(self, seconds: float, factor: float) -> None:
        """Record the time of an answer without queueing, and the work factor that it was under."""
        self._observed.append(seconds)
        self._at_usual_speed.append(seconds / factor)

    def usual_seconds(self, service_seconds: float) -> float | None:
        """Return the time of work at the usual speed; ``None`` before the first answer.

        A back end that overstates its factor would seem to do its work in less time, and would draw
        load by lower reports later. So less than the usual time of the service is believed only if
        answers did arrive in that time.

        Args:
            service_seconds: usual time of work of all back ends of the service.
        """
        if not self._observed:
            return None
        missing = [service_seconds] * (_MIN_WORK_TIMES - len(self._observed))
        proven = min(service_seconds, statistics.median([*self._observed, *missing]))
        return max(proven, statistics.median([*self._at_usual_speed, *missing]))
