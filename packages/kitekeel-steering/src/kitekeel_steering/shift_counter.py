"""Determines which requests a shift moves, by exact counts local to each daemon.

After every request, moved <= floor(sum of the shares at the arrival of each eligible request). The
sum over all daemons therefore never exceeds the shift's share, without any communication. A daemon
that restarts begins from zero, including the ramp. A turn that the target could not serve is lost
instead of being saved up for a burst.
"""

from __future__ import annotations

from kitekeel_steering.clock import Clock
from kitekeel_steering.model import Shift


class ShiftCounter:
    """The counts of one shift in one daemon.

    Args:
        clock: measures the ramp, which starts when the shift is first seen.
    """

    def __init__(self, shift: Shift, clock: Clock) -> None:
        self.shift = shift
        self._clock = clock
        self._ramp_from = 0.0
        self._ramp_started_at = clock.monotonic()
        self._held = False
        self._credit = 0.0
        self.eligible = 0
        self.moved = 0

    def update(self, shift: Shift) -> None:
        """Apply a changed shift or a cancellation, ramping from the current share."""
        if shift == self.shift:
            return
        self._ramp_from = self.share()
        self._ramp_started_at = self._clock.monotonic()
        self.shift = shift

    def hold(self, held: bool) -> None:
        """Pause the ramp at the current share, or resume it, depending on the target's health."""
        if held == self._held:
            return
        self._ramp_from = self.share()
        self._ramp_started_at = self._clock.monotonic()
        self._held = held

    def share(self) -> float:
        """Return the current share."""
        goal = 0.0 if self.shift.cancelled else self.shift.share
        if self._held and goal > self._ramp_from:
            return self._ramp_from
        if self.shift.ramp_seconds <= 0:
            return goal
        elapsed = self._clock.monotonic() - self._ramp_started_at
        step = elapsed / self.shift.ramp_seconds * self.shift.share
        if goal > self._ramp_from:
            return min(goal, self._ramp_from + step)
        return max(goal, self._ramp_from - step)

    def note_eligible(self) -> bool:
        """Count a request that the shift may move; return whether it should be moved."""
        self.eligible += 1
        self._credit = min(self._credit + self.share(), 1.0 + self.share())
        return self._credit >= 1.0

    def note_moved(self) -> None:
        """Count a request that was sent to the target, including retries."""
        self.moved += 1
        self._credit -= 1.0

    def has_turn(self) -> bool:
        """Return whether one more request, such as a retry, may be moved to the target."""
        return self._credit >= 1.0
