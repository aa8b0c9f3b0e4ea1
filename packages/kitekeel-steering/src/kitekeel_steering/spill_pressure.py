"""Tells whether a region stays too busy for its part of a service's keys.

What leaves a busy region at once is bounded (:mod:`kitekeel_steering.spillover`). A region that
stays busy beyond that gives keys away, little by little, and takes them back when it no longer is:
else its callers would be refused for as long as they ask for more than others while other regions
have room.
"""

from __future__ import annotations

# As long as the window in which callers compare, so that what spills at once and the keys that
# follow it do not move in the same window.
_SUSTAINED_SECONDS = 2.0
# A busy region holds requests back in bursts; shorter pauses do not end the pressure.
_LONGEST_PAUSE_SECONDS = 0.5


class SpillPressure:
    """The requests of one service that the bound on spilling has held back."""

    def __init__(self) -> None:
        self._begun_at = float("-inf")
        self._last_at = float("-inf")

    def note_held_back(self, now: float) -> None:
        """Count a request that would have left the region.

        Args:
            now: monotonic time in seconds.
        """
        if now - self._last_at > _LONGEST_PAUSE_SECONDS:
            self._begun_at = now
        self._last_at = now

    def is_sustained(self, now: float) -> bool:
        """Tell whether requests have been held back for a while and still are.

        Args:
            now: monotonic time in seconds.
        """
        return self._is_felt(now) and now - self._begun_at >= _SUSTAINED_SECONDS

    def share_to_keep(self, share: float, usual: float, now: float) -> float:
        """Return the part of the keys that the region should move toward keeping, 0 to 1.

        Args:
            share: what it keeps at present.
            usual: what it would keep without pressure.
            now: monotonic time in seconds.
        """
        if self.is_sustained(now):
            return 0.0
        has_ended = now - self._last_at >= _SUSTAINED_SECONDS
        return usual if has_ended else min(share, usual)

    def _is_felt(self, now: float) -> bool:
        return now - self._last_at <= _LONGEST_PAUSE_SECONDS
