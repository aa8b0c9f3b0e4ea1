"""Detects when the store stops answering and when it answers again.

A pending watch looks the same whether nothing changes or its connection is dead, and one that was
sent during an outage is never answered. The store is therefore probed with a minimal request every
second; after an outage the watches are restarted instead of awaited. A daemon that does not watch
the store does not probe it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_platform.fleet_store import FleetStore
from kitekeel_platform.store_contact import StoreContact
from kitekeel_steering.errors import PlatformError
from kitekeel_steering.interruptible_sleep import InterruptibleSleep

_INTERVAL_SECONDS = 1.0
_INTERVAL_WHILE_LOST_SECONDS = 0.3
# The time-out is long so that a slow store is not taken for a lost one. While the store is lost, it
# is shorter, to notice the return soon: a healthy store answers in milliseconds, and the longest
# round trip takes 0.12 s.
_TIMEOUT_SECONDS = 1.0
_TIMEOUT_WHILE_LOST_SECONDS = 0.5


class StoreProbe:
    """The task that probes the store.

    Args:
        on_answer: called at each answer.
        on_change: called each time the state changes, with whether the store answers and, if not,
            the reason.
        contact: shared by everything that calls the store.
    """

    def __init__(
        self,
        store: FleetStore,
        on_answer: Callable[[], None],
        on_change: Callable[[bool, str], None],
        generator: random.Random,
        contact: StoreContact,
    ) -> None:
        self._store = store
        self._on_answer = on_answer
        self._on_change = on_change
        self._random = generator
        self._contact = contact
        self._is_needed = asyncio.Event()
        self._pause = InterruptibleSleep()
        self.is_store_lost = False

    def follow(self, is_following: bool) -> None:
        """Start probing, or pause; a pause resets the state."""
        if is_following:
            self._is_needed.set()
            return
        self._is_needed.clear()
        self.is_store_lost = False

    def ask_soon(self) -> None:
        """Probe now instead of waiting for the end of the interval."""
        self._pause.end()

    async def run(self) -> None:
        """Probe the store, while that is needed, until cancelled."""
        while True:
            await self._is_needed.wait()
            await self._probe()
            seconds = _INTERVAL_WHILE_LOST_SECONDS if self.is_store_lost else _INTERVAL_SECONDS
            await self._pause.sleep(seconds * self._random.uniform(0.8, 1.2))

    async def _probe(self) -> None:
        seconds = _TIMEOUT_WHILE_LOST_SECONDS if self.is_store_lost else _TIMEOUT_SECONDS
        try:
            await self._store.probe(seconds)
        except PlatformError as error:
            self._report_state(error.message)
            return
        self._contact.note_answer()
        self._report_state("")
        self._on_answer()

    def _report_state(self, failure: str) -> None:
        if not self._is_needed.is_set():
            return
        is_lost = bool(failure)
        if is_lost != self.is_store_lost:
            self.is_store_lost = is_lost
            self._on_change(not is_lost, failure)
