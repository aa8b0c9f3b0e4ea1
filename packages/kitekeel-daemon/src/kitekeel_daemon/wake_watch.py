"""Notices that this process did not run for a while, and checks its beliefs before it goes on.

A machine that was suspended, or a process that was paused, wakes with beliefs that were current
then: its watches may lead nowhere, and back ends have come and gone. Requests wait, for a moment at
most, until the store or another daemon has told what has changed since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView

_TICK_SECONDS = 0.1
# A busy event loop comes to its timers within some tenths of a second.
_LEAST_PAUSE_SECONDS = 2.0
# An answer takes 0.12 s on the longest way, and 0.6 s where a first watcher does not answer.
_LONGEST_HOLD_SECONDS = 0.7
_POLL_SECONDS = 0.02


class WakeWatch:
    """Tells when one daemon has woken, and holds its requests; used on one event loop.

    Args:
        view: tells when its beliefs were last known to be current.
        on_woke: called with the time in seconds for which the process did not run.
    """

    def __init__(self, view: FleetView, clock: Clock, on_woke: Callable[[float], None]) -> None:
        self._view = view
        self._clock = clock
        self._on_woke = on_woke
        self._seen_at = clock.monotonic()
        self._woke_at = float("-inf")

    async def run(self) -> None:
        """Look at the clock in short steps, until cancelled."""
        while True:
            self._look()
            await asyncio.sleep(_TICK_SECONDS)

    async def until_current(self) -> None:
        """Wait, where this process has just woken, until its beliefs are known to be current."""
        now = self._look()
        while (
            self._view.confirmed_at < self._woke_at and now - self._woke_at < _LONGEST_HOLD_SECONDS
        ):
            await asyncio.sleep(_POLL_SECONDS)
            now = self._look()

    def _look(self) -> float:
        now = self._clock.monotonic()
        paused_seconds = now - self._seen_at - _TICK_SECONDS
        self._seen_at = now
        if paused_seconds >= _LEAST_PAUSE_SECONDS:
            self._woke_at = now
            self._on_woke(paused_seconds)
        return now
