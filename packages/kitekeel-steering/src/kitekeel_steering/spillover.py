"""Bounds what leaves a region because its own back ends are busy.

Guards against a region whose callers ask for much more than usual for a few seconds: within half a
second the first back ends of most keys are busy, and every key with a second one elsewhere would
leave at once, to return as quickly afterwards. 0.28 of the region's requests changed their region
from one window of two seconds to the next, 0.12 with the bound (four times the usual requests,
tests/test_region_bursts.py), where callers expect 0.15 at most while nothing fails. What may not
leave waits in the own region as far as that answers in time, or is refused at once.

Each daemon counts its own placements, so that no exchange is needed: where every daemon of a region
keeps the bound in each window, the region keeps it, and a part that never exceeds the bound cannot
fall by more than it either. Daemons with fewer than ten requests in a window may exceed it, by one.
"""

from __future__ import annotations

from collections import deque

import msgspec

# The window in which callers compare, in seconds.
WINDOW_SECONDS = 2.0
# Part of a daemon's placements in a window; of the 0.15 that callers expect, the rest is for shares
# of keys that move at the same time (gradual_share) and for the draw of objects.
MOST_SHARE = 0.10
# A daemon with few requests would else send none elsewhere.
_ALWAYS_ALLOWED = 1


class _Placed(msgspec.Struct, frozen=True):
    at: float
    is_spilled: bool


class Spillover:
    """The placements of one daemon in the last window."""

    def __init__(self) -> None:
        self._placed: deque[_Placed] = deque()
        self._spilled = 0

    def has_room(self, now: float) -> bool:
        """Tell whether one more request may leave the region.

        Args:
            now: monotonic time in seconds.
        """
        self._forget_before(now - WINDOW_SECONDS)
        most = MOST_SHARE * (len(self._placed) + 1)
        return self._spilled + 1 <= max(_ALWAYS_ALLOWED, most)

    def note_placed(self, is_spilled: bool, now: float) -> None:
        """Count a placement, and whether it left the region because its own was busy."""
        self._forget_before(now - WINDOW_SECONDS)
        self._placed.append(_Placed(now, is_spilled))
        self._spilled += is_spilled

    def _forget_before(self, begin: float) -> None:
        while self._placed and self._placed[0].at < begin:
            self._spilled -= self._placed.popleft().is_spilled
