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
# Stamps further ahead of the own clock are not followed: the clocks of machines in use differ by
# seconds, and one broken daemon's stamp would else be handed on for good. A day, in milliseconds.
_FARTHEST_AHEAD_MILLISECONDS = 86_400_000
# A stamp is sent as 64 bits; no daemon sends so many messages in a millisecond.
_MOST_COUNTER = 1 << 32


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
        """Return a stamp later than every earlier one and than the one received.

        A stamp that no daemon with a working clock can have sent is not followed.
        """
        now = int(self._clock.wall() * 1000)
        with self._lock:
            newest = max(self._last, seen) if _is_credible(seen, now) else self._last
            self._last = _later_stamp(newest, now)
            return self._last


def _is_credible(seen: Stamp, now_milliseconds: int) -> bool:
    is_near = seen.milliseconds <= now_milliseconds + _FARTHEST_AHEAD_MILLISECONDS
    return is_near and seen.counter <= _MOST_COUNTER


def _later_stamp(newest: Stamp, now_milliseconds: int) -> Stamp:
    if now_milliseconds > newest.milliseconds:
        return Stamp(now_milliseconds, 0)
    if newest.counter >= _MOST_COUNTER:
        return Stamp(newest.milliseconds + 1, 0)
    return Stamp(newest.milliseconds, newest.counter + 1)


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
