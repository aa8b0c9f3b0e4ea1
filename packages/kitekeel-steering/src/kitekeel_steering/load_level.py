"""Decides how loaded a daemon reports itself to be, from what its machine has left.

Load: a machine that is slow, shared with others or given more callers than it bears. Callers drop
their connections to a daemon that look-ups no longer name, so a level is changed rarely: raised
after it was reached for a second, and lowered only after five seconds well below it.
"""

from __future__ import annotations

import enum

import msgspec

from kitekeel_steering.clock import Clock

_RAISE_AFTER_SECONDS = 1.0
# Longer than callers keep the answer to a look-up, so that they see each level at least once.
_LOWER_AFTER_SECONDS = 5.0


class LoadLevel(enum.IntEnum):
    """How loaded a daemon is, as told to the other daemons."""

    NORMAL = 0
    BUSY = 1
    OVERLOADED = 2


def stated_load_level(number: int) -> LoadLevel:
    """Return the level for a number that another daemon sent, the nearest one if it is unknown."""
    return LoadLevel(max(LoadLevel.NORMAL, min(number, LoadLevel.OVERLOADED)))


class _Bounds(msgspec.Struct, frozen=True):
    """From which share of a resource a level applies, and by which factor below it ends."""

    busy: float
    overloaded: float
    release: float

    def level(self, share: float, is_releasing: bool) -> LoadLevel:
        factor = self.release if is_releasing else 1.0
        if share > self.overloaded * factor:
            return LoadLevel.OVERLOADED
        if share > self.busy * factor:
            return LoadLevel.BUSY
        return LoadLevel.NORMAL


# Lateness as a share of the shortest objective. A tenth of it is lost without harm; with three
# tenths of it lost, work that takes the rest is answered late.
_LATENESS = _Bounds(busy=0.1, overloaded=0.3, release=0.5)
# A process that exceeds its memory limit is killed with all requests of its callers.
_MEMORY = _Bounds(busy=0.8, overloaded=0.9, release=0.95)
# On a link used to seven tenths, a message waits two to three times as long as it takes to send; at
# nine tenths nine times as long (M/M/1 queue).
_LINK = _Bounds(busy=0.7, overloaded=0.9, release=0.8)


class LoadReading(msgspec.Struct, frozen=True):
    """The use of a daemon's resources; 0 where it is unknown.

    Attributes:
        lateness_share: lasting lateness of the event loop, divided by the shortest objective.
        memory_share: memory of the process, divided by its limit.
        link_share: bits per second in the busier direction, divided by the link's bandwidth.
    """

    lateness_share: float = 0.0
    memory_share: float = 0.0
    link_share: float = 0.0

    def level(self, is_releasing: bool = False) -> LoadLevel:
        """Return the level of the scarcest resource; the lower bounds apply to releasing one."""
        return max(
            _LATENESS.level(self.lateness_share, is_releasing),
            _MEMORY.level(self.memory_share, is_releasing),
            _LINK.level(self.link_share, is_releasing),
        )


class LoadLevelTracker:
    """The level in force; changes at most once per second.

    Args:
        clock: measures how long a reading has called for another level.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.level = LoadLevel.NORMAL
        self._above_since: float | None = None
        self._below_since: float | None = None

    def update(self, reading: LoadReading) -> LoadLevel:
        """Take a reading into account and return the level in force."""
        now = self._clock.monotonic()
        reached = reading.level()
        held = reading.level(is_releasing=True)
        self._above_since = _since(self._above_since, reached > self.level, now)
        self._below_since = _since(self._below_since, held < self.level, now)
        if _has_lasted(self._above_since, _RAISE_AFTER_SECONDS, now):
            self._change(reached)
        elif _has_lasted(self._below_since, _LOWER_AFTER_SECONDS, now):
            self._change(held)
        return self.level

    def _change(self, level: LoadLevel) -> None:
        self.level = level
        self._above_since = None
        self._below_since = None


def _since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds
