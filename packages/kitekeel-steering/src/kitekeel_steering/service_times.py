"""How long the back ends of one service take for an answer, as one daemon observes it."""

from __future__ import annotations

# Above the share of hits while caches warm up, and below it once they are warm: 0.95 and more.
_SLOW_QUANTILE = 0.9
# Part of the value that a whole step changes: follows a change of the times within some twenty
# answers, and strays by a few per cent while they do not change.
_STEP_SHARE = 0.05


class ServiceTimes:
    """The slow end of a service's times, queueing left out.

    A back end that has not seen an object lately takes several times as long, so the times have two
    peaks. The slow end tells which of them the service is at: the time of a miss while more than
    one answer in ten is one, the time of a hit once caches are warm.

    The quantile is followed by stochastic approximation (Robbins and Monro, 1951): each time above
    it raises it by nine steps, each below lowers it by one.
    """

    def __init__(self) -> None:
        self._slow_seconds: float | None = None

    def note(self, seconds: float) -> None:
        """Count the time of one answer, above 0."""
        if self._slow_seconds is None:
            self._slow_seconds = seconds
            return
        direction = _SLOW_QUANTILE if seconds > self._slow_seconds else _SLOW_QUANTILE - 1.0
        self._slow_seconds *= 1.0 + _STEP_SHARE * direction

    def slow_seconds(self, default: float) -> float:
        """Return the time that nine answers in ten stay below, or a default before the first."""
        return default if self._slow_seconds is None else self._slow_seconds
