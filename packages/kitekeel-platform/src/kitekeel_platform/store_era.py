"""Tracks the era of the platform's store, which rises each time it is restored from a copy.

The store names its era in every answer, whatever its status. The first answer of a later era shows
that what was read before is outdated. An answer of an earlier era is from before the restore and
only arrived late.
"""

from __future__ import annotations

from collections.abc import Callable

from kitekeel_steering.errors import PlatformUnavailableError

EraListener = Callable[[int, int], None]


class StaleEraError(PlatformUnavailableError):
    """The answer is from an earlier era of the store and says nothing about the present one."""

    code = "platform-stale-era"


class StoreEra:
    """The latest era that the store has named to this daemon.

    Attributes:
        current: the era; 0 until the store names one.
    """

    def __init__(self) -> None:
        self.current = 0
        self._is_unnamed = False
        self._listeners: list[EraListener] = []
        self._finding_listeners: list[Callable[[str], None]] = []

    def add_listener(self, listener: EraListener) -> None:
        """Have a function called with the former and the present era when the era changes."""
        self._listeners.append(listener)

    def add_finding_listener(self, listener: Callable[[str], None]) -> None:
        """Have a function called with the reason when the store stops naming a readable era."""
        self._finding_listeners.append(listener)

    def note_unnamed(self, reason: str) -> int:
        """Record an answer that names no readable era; it is taken to be of the present one."""
        if not self._is_unnamed:
            self._is_unnamed = True
            for listener in self._finding_listeners:
                listener(reason)
        return self.current

    def note(self, era: int) -> int:
        """Record the era that an answer names, and return it.

        Raises:
            StaleEraError: the answer is of an earlier era.
        """
        self._is_unnamed = False
        if era < self.current:
            raise StaleEraError(f"an answer of era {era} came after one of era {self.current}")
        former, self.current = self.current, era
        if era > former:
            for listener in self._listeners:
                listener(former, era)
        return era
