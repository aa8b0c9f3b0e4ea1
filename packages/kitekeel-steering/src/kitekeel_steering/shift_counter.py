"""Counts, exactly and in each daemon alone, which requests a shift moves.

After every request, moved <= floor(sum of the shares in force when each eligible request came). So
the sum over all daemons keeps under the shift's share whatever happens between them, and a daemon
that restarts starts from zero, ramp included. A turn that the target could not take is lost, not
saved up for a burst.
"""

from __future__ import annotations

from kitekeel_steering.clock import Clock
from kitekeel_steering.model import Shift


class ShiftCounter:
    """The count of one shift in one daemon.

    Args:
        clock: times the ramp from the moment the shift is first seen.
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
        """Take a changed share, or a cancellation, on the ramp from the share now in force."""
        if shift == self.shift:
            return
        self._ramp_from = self.share()
        self._ramp_started_at = self._clock.monotonic()
        self.shift = shift

    def hold(self, held: bool) -> None:
        """Stop the ramp where it is, or let it go on, as the target's answers tell."""
        if held == self._held:
            return
        self._ramp_from = self.share()
        self._ramp_started_at = self._clock.monotonic()
        self._held = held

    def share(self) -> float:
        """Return the share in force now."""
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
        """Count a request that the shift may move; tell whether it is this one's turn."""
        self.eligible += 1
        self._credit = min(self._credit + self.share(), 1.0 + self.share())
        return self._credit >= 1.0

    def note_moved(self) -> None:
        """Count a request that was sent to the target, be it the first time or again."""
        self.moved += 1
        self._credit -= 1.0

    def may_move_again(self) -> bool:
        """Tell whether a retry may go to the target as well."""
        return self._credit >= 1.0
