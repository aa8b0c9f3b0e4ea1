"""Decides whether a daemon watches the platform's store itself or relies on other daemons' news.

A daemon that receives changes from others does not call the store. It starts to as soon as its news
is no longer known to be fresh: no daemon reports to it, or those that do have lost the store
themselves.
"""

from __future__ import annotations

import random

from kitekeel_steering.clock import Clock

# News older than this does not count as fresh. A watcher's last probe of the store is up to 1.2 s
# old, and delivery takes some hundredths of a second, more while a daemon is busy.
FRESH_SECONDS = 1.6
# Time without fresh news after which the daemon watches the store itself: the watchers are asked in
# turn every second (1.2 s at most), and one did not answer within 0.6 s. Including the store's
# answer, the first missed change is known at most 2.3 s after it; the shortest bound on the removal
# of back ends is 2.5 s.
_SILENCE_SECONDS = 1.8
# If the watchers answer but their state was last current this long ago, they have lost the store.
# Most outages affect all daemons, and it does not help if all of them call the store at once; the
# watchers, which probe it every 0.3 s, notice its return.
_WATCHERS_LOST_STORE_SECONDS = 4.0
# Spreads the calls of daemons that lose their watchers at the same time.
_JITTER_SECONDS = 0.4
# A starting daemon that knows no other daemon yet waits this long for answers before it assumes
# that it is the only one. Joining through a seed in another region takes 0.2 s.
_START_SECONDS = 0.25
# If all daemons start together, before there are callers, each first waits to be found by the
# others, so that only the watchers read the store. Machines start within 0.3 s of one
# another, and a daemon has joined the others within a second.
_ALL_START_SECONDS = 1.5


class WatchDuty:
    """Decides for one daemon whether it must watch the store.

    Args:
        generator: source of the jitter that spreads the daemons' calls.
        all_start: whether all daemons start together, before there are callers.
    """

    def __init__(self, clock: Clock, generator: random.Random, all_start: bool = False) -> None:
        self._all_start = all_start
        self._clock = clock
        self._started_at = clock.monotonic()
        # No news can have arrived before the start; the time allowed to the others begins here.
        self._fresh_at = self._started_at + (_ALL_START_SECONDS if all_start else 0.0)
        self._current_at = self._fresh_at
        self._answered_at = float("-inf")
        self._jitter_seconds = generator.uniform(0.0, _JITTER_SECONDS)

    def note_news(self, age_seconds: float | None) -> None:
        """Record that another daemon reported its news.

        Args:
            age_seconds: how long ago that daemon's view was known to be current; ``None`` if its
                view is not complete yet.
        """
        now = self._clock.monotonic()
        self._answered_at = now
        if age_seconds is None:
            return
        self._current_at = max(self._current_at, now - age_seconds)
        if age_seconds <= FRESH_SECONDS:
            self._fresh_at = now

    def has_fresh_news(self) -> bool:
        """Return whether other daemons recently showed that they know the store's state."""
        now = self._clock.monotonic()
        if now - self._answered_at < _SILENCE_SECONDS:
            return now - self._current_at < _WATCHERS_LOST_STORE_SECONDS + self._jitter_seconds
        return now - self._fresh_at < _SILENCE_SECONDS + self._jitter_seconds

    def must_watch(self, is_watcher: bool, is_alone: bool = False) -> bool:
        """Return whether this daemon must call the store itself.

        Args:
            is_watcher: whether it is one of the daemons that watch on behalf of all.
            is_alone: whether it knows no other daemon.
        """
        running_seconds = self._clock.monotonic() - self._started_at
        if self._all_start and running_seconds < _ALL_START_SECONDS:
            return False
        if is_alone and running_seconds < _START_SECONDS:
            return False
        return is_watcher or not self.has_fresh_news()
