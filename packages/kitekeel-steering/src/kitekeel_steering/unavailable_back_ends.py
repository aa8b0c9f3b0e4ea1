"""Back ends that must get no requests because of what they announced in their answers.

A back end announces that it is about to stop, or requests a pause with status 503 and
``Retry-After``. After a pause it gets one request at a time until it has answered one without
requesting another pause.
"""

from __future__ import annotations

import threading
from collections.abc import Collection, Iterable

import msgspec

from kitekeel_steering.clock import Clock


class _Pause(msgspec.Struct):
    """A requested pause.

    Attributes:
        until: monotonic time in seconds.
        is_probing: whether the first request after the pause is in progress.
    """

    until: float
    is_probing: bool = False


class UnavailableBackEnds:
    """The back ends that one daemon must not use now; safe to call from many threads."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._leaving: set[str] = set()
        self._pauses: dict[str, _Pause] = {}

    def note_leaving(self, back_end: str) -> bool:
        """Record that a back end is about to stop; return whether this was not known."""
        with self._lock:
            is_new = back_end not in self._leaving
            self._leaving.add(back_end)
            return is_new

    def note_gone(self, back_end: str) -> None:
        """Record that the process of a back end has ended, so that its announcements are over."""
        with self._lock:
            self._leaving.discard(back_end)
            self._pauses.pop(back_end, None)

    def note_pause(self, back_end: str, seconds: float) -> bool:
        """Record a requested pause; return whether none was in progress.

        A pause that ends earlier than the one in progress has no effect.
        """
        with self._lock:
            now = self._clock.monotonic()
            pause = self._pauses.setdefault(back_end, _Pause(now))
            was_over = pause.until <= now
            pause.until = max(pause.until, now + seconds)
            return was_over

    def note_answered(self, back_end: str) -> None:
        """Record an answer that requested no pause."""
        with self._lock:
            pause = self._pauses.get(back_end)
            if pause is not None and pause.until <= self._clock.monotonic():
                del self._pauses[back_end]

    def try_start(self, back_end: str) -> bool:
        """Return whether a request may be sent now; :meth:`note_ended` must follow if it may."""
        with self._lock:
            if back_end in self._leaving:
                return False
            pause = self._pauses.get(back_end)
            if pause is None:
                return True
            if pause.is_probing or pause.until > self._clock.monotonic():
                return False
            pause.is_probing = True
            return True

    def note_ended(self, back_end: str) -> None:
        """Record the end of a request that was sent."""
        with self._lock:
            pause = self._pauses.get(back_end)
            if pause is not None:
                pause.is_probing = False

    def leaving(self) -> frozenset[str]:
        """Return the back ends that are about to stop."""
        with self._lock:
            return frozenset(self._leaving)

    def excluded(self) -> frozenset[str]:
        """Return the back ends that may not be sent another request now."""
        with self._lock:
            now = self._clock.monotonic()
            paused = {
                name for name, each in self._pauses.items() if each.until > now or each.is_probing
            }
            return frozenset(self._leaving | paused)

    def seconds_until_usable(self, back_ends: Collection[str]) -> float | None:
        """Return when the first of several back ends may be sent a request again.

        Returns:
            Seconds from now, 0 for now; ``None`` if all of them are about to stop.
        """
        with self._lock:
            now = self._clock.monotonic()
            ends = [self._pause_end(each) for each in back_ends if each not in self._leaving]
            return max(0.0, min(ends) - now) if ends else None

    def retain(self, back_ends: Iterable[str]) -> None:
        """Forget all other back ends, which are not configured any more."""
        with self._lock:
            kept = set(back_ends)
            self._leaving &= kept
            self._pauses = {name: each for name, each in self._pauses.items() if name in kept}

    def _pause_end(self, back_end: str) -> float:
        pause = self._pauses.get(back_end)
        return pause.until if pause is not None else float("-inf")
