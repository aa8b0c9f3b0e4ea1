"""Detects that this process was paused, and holds requests until its fleet view is current again.

After a machine was suspended or a process was paused, the fleet view is stale: store watches may be
dead, and back ends may have come and gone. Requests wait briefly until the store or another daemon
has reported the changes since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView

_TICK_SECONDS = 0.1
# A shorter delay is not taken for a pause: a busy event loop may run its timers a few tenths of a
# second late.
_MIN_PAUSE_SECONDS = 2.0
# The slowest route takes 0.12 s to answer, or 0.6 s if the first watcher asked does not answer.
_MAX_HOLD_SECONDS = 0.7
_POLL_SECONDS = 0.02


class PauseDetector:
    """Detects pauses of one daemon and holds its requests after them; used on one event loop.

    Args:
        view: knows when it was last confirmed to be current.
        on_wake: called with the number of seconds for which the process did not run.
        on_tick: called each 0.1 s with the number of seconds by which the event loop was late.
    """

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        on_wake: Callable[[float], None],
        on_tick: Callable[[float], None],
    ) -> None:
        self._view = view
        self._clock = clock
        self._on_wake = on_wake
        self._on_tick = on_tick
        self._last_tick_at = clock.monotonic()
        self._woke_at = float("-inf")

    async def run(self) -> None:
        """Check the clock at short intervals, until cancelled."""
        while True:
            started_at = self._check_clock()
            await asyncio.sleep(_TICK_SECONDS)
            self._on_tick(self._clock.monotonic() - started_at - _TICK_SECONDS)

    async def wait_until_current(self) -> None:
        """After a pause, wait until the fleet view is confirmed as current, but not for long."""
        now = self._check_clock()
        while self._view.confirmed_at < self._woke_at and now - self._woke_at < _MAX_HOLD_SECONDS:
            await asyncio.sleep(_POLL_SECONDS)
            now = self._check_clock()

    def _check_clock(self) -> float:
        now = self._clock.monotonic()
        paused_seconds = now - self._last_tick_at - _TICK_SECONDS
        self._last_tick_at = now
        if paused_seconds >= _MIN_PAUSE_SECONDS:
            self._woke_at = now
            self._on_wake(paused_seconds)
        return now
