"""Limits the requests that leave a region because its own back ends are busy.

During a demand burst of a few seconds, the first back ends of most keys are busy within half a
second. Without a limit, every key whose second back end is in another region would move there at
once and return as quickly afterwards. With four times the usual requests, 0.28 of the region's
requests changed region from one window of two seconds to the next, and 0.12 with the limit
(tests/test_region_bursts.py); callers expect at most 0.15 while nothing fails. Requests that may
not leave wait in the own region if they can still be answered in time, or are refused immediately.

Each daemon counts only its own placements, so no communication is needed: if every daemon of a
region keeps the limit in each window, so does the region, and a share that never exceeds the limit
cannot fall by more than the limit either. A daemon with fewer than ten requests in a window may
exceed it by one request.
"""

from __future__ import annotations

from collections import deque

import msgspec

# The window over which callers compare moves, in seconds.
WINDOW_SECONDS = 2.0
# Maximum share of a daemon's placements in a window. The rest of the 0.15 that callers expect is
# for shares of keys that move at the same time (gradual_share) and for random choices of objects.
MAX_SPILLED_SHARE = 0.10
# Otherwise a daemon with few requests could send none to other regions.
_MIN_ALLOWED = 1


class _Placed(msgspec.Struct, frozen=True):
    at: float
    is_spilled: bool


class Spillover:
    """The placements of one daemon in the last window."""

    def __init__(self) -> None:
        self._placed: deque[_Placed] = deque()
        self._spilled = 0

    def has_room(self, now: float) -> bool:
        """Return whether one more request may leave the region.

        Args:
            now: monotonic time in seconds.
        """
        self._forget_before(now - WINDOW_SECONDS)
        most = MAX_SPILLED_SHARE * (len(self._placed) + 1)
        return self._spilled + 1 <= max(_MIN_ALLOWED, most)

    def note_placed(self, is_spilled: bool, now: float) -> None:
        """Count a placement, and whether it left the region because its own was busy."""
        self._forget_before(now - WINDOW_SECONDS)
        self._placed.append(_Placed(now, is_spilled))
        self._spilled += is_spilled

    def _forget_before(self, begin: float) -> None:
        while self._placed and self._placed[0].at < begin:
            self._spilled -= self._placed.popleft().is_spilled
