"""Detects that a region is persistently too busy for its share of a service's keys.

The number of requests that may spill over from a busy region is bounded
(:mod:`kitekeel_steering.spillover`). A region that stays busy beyond that bound gives keys away
gradually, and takes them back when it no longer is. Otherwise its callers would be refused for as
long as their demand is above that of other regions, although those have room.
"""

from __future__ import annotations

# The length of the window in which callers compare moves. Spilled requests and the keys that are
# given away after them therefore do not move in the same window.
_SUSTAINED_SECONDS = 2.0
# A busy region holds back requests in bursts, so shorter pauses do not end the pressure.
_MAX_PAUSE_SECONDS = 0.5


class SpillPressure:
    """Tracks the requests of one service that the spillover bound has held back."""

    def __init__(self) -> None:
        self._begun_at = float("-inf")
        self._last_at = float("-inf")

    def note_held_back(self, now: float) -> None:
        """Record a request that would have left the region.

        Args:
            now: monotonic time in seconds.
        """
        if now - self._last_at > _MAX_PAUSE_SECONDS:
            self._begun_at = now
        self._last_at = now

    def is_sustained(self, now: float) -> bool:
        """Return whether requests have been held back for some time and still are.

        Args:
            now: monotonic time in seconds.
        """
        return self._is_current(now) and now - self._begun_at >= _SUSTAINED_SECONDS

    def share_to_keep(self, share: float, usual: float, now: float) -> float:
        """Return the target share of the keys that the region should keep, 0 to 1.

        Args:
            share: the share that it keeps now.
            usual: the share that it would keep without pressure.
            now: monotonic time in seconds.
        """
        if self.is_sustained(now):
            return 0.0
        has_ended = now - self._last_at >= _SUSTAINED_SECONDS
        return usual if has_ended else min(share, usual)

    def _is_current(self, now: float) -> bool:
        return now - self._last_at <= _MAX_PAUSE_SECONDS
