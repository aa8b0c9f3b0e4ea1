"""Measures how late an event loop runs its timers.

Load: a machine whose processor is slow or used by others. Whatever a request waits for on the
event loop, a timer waits for as well, so the delay of a periodic timer is what each step of a
request loses.
"""

from __future__ import annotations

from collections import deque

from kitekeel_steering.clock import Clock

_SMOOTHING_SECONDS = 1.0
_WINDOW_SECONDS = 1.0
# A single delay this long means that the process was paused; several in a row are lateness.
_PAUSE_SECONDS = 2.0


class LoopLateness:
    """The smoothed and the largest recent delay of a periodic timer.

    Args:
        clock: measures the time between two observations.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._smoothed_seconds = 0.0
        self._recent: deque[tuple[float, float]] = deque()
        self._observed_at = clock.monotonic()
        self._was_paused = False

    def observe(self, delay_seconds: float) -> None:
        """Record by how much later than due the timer fired."""
        now = self._clock.monotonic()
        elapsed = now - self._observed_at
        self._observed_at = now
        is_pause = delay_seconds >= _PAUSE_SECONDS and not self._was_paused
        self._was_paused = delay_seconds >= _PAUSE_SECONDS
        if is_pause:
            return
        delay_seconds = max(0.0, delay_seconds)
        weight = min(1.0, elapsed / _SMOOTHING_SECONDS)
        self._smoothed_seconds += weight * (delay_seconds - self._smoothed_seconds)
        self._recent.append((now, delay_seconds))
        self._forget_old(now)

    def smoothed_seconds(self) -> float:
        """Return the mean delay, in which an observation loses its weight within a second."""
        return self._smoothed_seconds

    def largest_seconds(self) -> float:
        """Return the largest delay of the last second."""
        self._forget_old(self._clock.monotonic())
        return max((delay for _, delay in self._recent), default=0.0)

    def lasting_seconds(self) -> float:
        """Return the smoothed delay, limited to the largest of the last second.

        After a single long delay the smoothed one stays high for seconds though timers are on time.
        """
        return min(self._smoothed_seconds, self.largest_seconds())

    def _forget_old(self, now: float) -> None:
        while self._recent and now - self._recent[0][0] > _WINDOW_SECONDS:
            self._recent.popleft()
