"""A bounded log of state changes, with stamps that order the events of several daemons causally.

The stamp is a hybrid logical clock (Kulkarni et al., 2014): wall-clock milliseconds with a counter,
advanced by the stamp of each received message, so that an effect never sorts before its cause.
"""

from __future__ import annotations

import threading
from collections import deque

import msgspec

from kitekeel_steering.clock import Clock

_MAX_EVENTS = 5_000
# Stamps more than a day ahead of the local clock are ignored. The clocks of machines in use differ
# by seconds, and a wrong stamp of one daemon would otherwise spread to all others permanently.
_MAX_AHEAD_MILLISECONDS = 86_400_000
# A stamp is sent as 64 bits; no daemon sends this many messages in a millisecond.
_MAX_COUNTER = 1 << 32


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical time: milliseconds since 1970, then a counter."""

    milliseconds: int
    counter: int


class Event(msgspec.Struct, frozen=True):
    """One state change in one daemon."""

    stamp: Stamp
    instance: str
    kind: str
    text: str


class HybridClock:
    """Issues stamps that increase with wall-clock time and with every received stamp."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event or of a message about to be sent."""
        return self.observe(Stamp(0, 0))

    def observe(self, seen: Stamp) -> Stamp:
        """Return a stamp later than all earlier ones and than the received one.

        A received stamp that is implausibly far ahead is ignored.
        """
        now = int(self._clock.wall() * 1000)
        with self._lock:
            newest = max(self._last, seen) if _is_plausible(seen, now) else self._last
            self._last = _later_stamp(newest, now)
            return self._last


def _is_plausible(seen: Stamp, now_milliseconds: int) -> bool:
    is_near = seen.milliseconds <= now_milliseconds + _MAX_AHEAD_MILLISECONDS
    return is_near and seen.counter <= _MAX_COUNTER


def _later_stamp(newest: Stamp, now_milliseconds: int) -> Stamp:
    if now_milliseconds > newest.milliseconds:
        return Stamp(now_milliseconds, 0)
    if newest.counter >= _MAX_COUNTER:
        return Stamp(newest.milliseconds + 1, 0)
    return Stamp(newest.milliseconds, newest.counter + 1)


class EventLog:
    """Keeps the most recent events of one daemon in memory."""

    def __init__(self, instance: str, hybrid_clock: HybridClock) -> None:
        self._instance = instance
        self.hybrid_clock = hybrid_clock
        self._events: deque[Event] = deque(maxlen=_MAX_EVENTS)

    def add(self, kind: str, text: str) -> Event:
        """Record a change of state.

        Args:
            kind: a short stable name such as ``configuration-adopted``.
            text: what changed, in a few words.
        """
        event = Event(self.hybrid_clock.tick(), self._instance, kind, text)
        self._events.append(event)
        return event

    def all(self) -> list[Event]:
        """Return the stored events, oldest first."""
        return list(self._events)
