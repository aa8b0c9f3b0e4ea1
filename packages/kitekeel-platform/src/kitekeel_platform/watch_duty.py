"""Decides whether a daemon watches the platform's store itself or relies on others' news.

A daemon that others tell of changes asks the store for nothing. It turns to the store as soon as it
can no longer show that its news is fresh: nobody tells it anything, or those who do have lost the
store themselves.
"""

from __future__ import annotations

import random

from kitekeel_steering.clock import Clock

# News this old no longer counts as fresh. A watcher's own proof, its probe of the store, is up to
# 1.2 s old, and the way here takes some hundredths of a second, more while a daemon is busy.
FRESH_SECONDS = 1.6
# Nobody has shown fresh news for so long: the watchers are asked every second in turn, 1.2 s at
# most, and one did not answer within 0.6 s. With the store's answer the first unheard change is
# known 2.3 s after it at most; the shortest bound on back ends that leave is 2.5 s.
_SILENCE_SECONDS = 1.8
# The watchers answer, but what they know was current so long ago: they have lost the store. Most
# outages are everybody's, and a store that all daemons ask at once gains nothing by it; the
# watchers, who ask every 0.3 s, notice its return.
_WATCHERS_LOST_STORE_SECONDS = 4.0
# Daemons that lose their watchers together turn to the store one after another.
_JITTER_SECONDS = 0.4
# A daemon that starts, and knows no other daemon yet, leaves them this much time to answer before
# it takes itself for the only one. Joining through a seed of another region takes 0.2 s.
_START_SECONDS = 0.25
# Where all daemons start together and no callers wait yet, each first lets the others find it, so
# that just the watchers read the store.
# Machines start within 0.3 s of one another, and a daemon has joined the others within a second.
_ALL_START_SECONDS = 1.5


class WatchDuty:
    """The decision of one daemon.

    Args:
        generator: spreads daemons that doubt their news together.
        all_start: whether all daemons start together, before any callers come.
    """

    def __init__(self, clock: Clock, generator: random.Random, all_start: bool = False) -> None:
        self._all_start = all_start
        self._clock = clock
        self._started_at = clock.monotonic()
        # Nobody can have had news before; the others get their time from then on.
        self._fresh_at = self._started_at + (_ALL_START_SECONDS if all_start else 0.0)
        self._current_at = self._fresh_at
        self._answered_at = float("-inf")
        self._jitter_seconds = generator.uniform(0.0, _JITTER_SECONDS)

    def note_news(self, age_seconds: float | None) -> None:
        """Note that another daemon told its news.

        Args:
            age_seconds: how long ago that daemon's beliefs were known to be current; ``None`` where
                it does not yet know enough.
        """
        now = self._clock.monotonic()
        self._answered_at = now
        if age_seconds is None:
            return
        self._current_at = max(self._current_at, now - age_seconds)
        if age_seconds <= FRESH_SECONDS:
            self._fresh_at = now

    def has_fresh_news(self) -> bool:
        """Tell whether others have shown lately that they know what the store holds."""
        now = self._clock.monotonic()
        if now - self._answered_at < _SILENCE_SECONDS:
            return now - self._current_at < _WATCHERS_LOST_STORE_SECONDS + self._jitter_seconds
        return now - self._fresh_at < _SILENCE_SECONDS + self._jitter_seconds

    def must_watch(self, is_watcher: bool, is_alone: bool = False) -> bool:
        """Tell whether this daemon is to ask the store itself.

        Args:
            is_watcher: whether it is among those that watch for all.
            is_alone: whether it knows no other daemon.
        """
        running_seconds = self._clock.monotonic() - self._started_at
        if self._all_start and running_seconds < _ALL_START_SECONDS:
            return False
        if is_alone and running_seconds < _START_SECONDS:
            return False
        return is_watcher or not self.has_fresh_news()
