"""A bounded log of state changes, stamped so that logs of several daemons merge causally.

The stamp is a hybrid logical clock (Kulkarni et al., 2014): wall-clock milliseconds with a counter,
moved forward by the stamp of each message received, so that an effect never sorts before its cause.
"""

from __future__ import annotations

import threading
from collections import deque

import msgspec

from kitekeel_steering.clock import Clock

_REMEMBERED_EVENTS = 5_000


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A hybrid logical time: milliseconds since 1970, then a counter."""

    milliseconds: int
    counter: int


class Event(msgspec.Struct, frozen=True):
    """One change of state in one daemon."""

    stamp: Stamp
    instance: str
    kind: str
    text: str


class HybridClock:
    """Issues stamps that grow with wall time and with every stamp seen."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event or of a message about to be sent."""
        return self.observe(Stamp(0, 0))

    def observe(self, seen: Stamp) -> Stamp:
        """Return a stamp later than every earlier one and than the one received."""
        now = int(self._clock.wall() * 1000)
        with self._lock:
            newest = max(self._last, seen)
            self._last = (
                Stamp(now, 0)
                if now > newest.milliseconds
                else Stamp(newest.milliseconds, newest.counter + 1)
            )
            return self._last


class EventLog:
    """Keeps the last events of one daemon in memory."""

    def __init__(self, instance: str, hybrid_clock: HybridClock) -> None:
        self._instance = instance
        self.hybrid_clock = hybrid_clock
        self._events: deque[Event] = deque(maxlen=_REMEMBERED_EVENTS)

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
        """Return the remembered events, oldest first."""
        return list(self._events)
