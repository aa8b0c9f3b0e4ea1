"""Notices that the store has fallen silent, and that it answers again.

A watch that waits looks the same whether nothing changes or its connection leads nowhere, and one
that was sent into an outage is never answered. So the store is asked for next to nothing every
second; after an outage the watches are started anew instead of being waited for. A daemon that does
not watch does not ask.
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
# A slow store is not a lost one. Once it is lost, its return is to be noticed soon: a healthy one
# answers in milliseconds, and the longest way there and back takes 0.12 s.
_TIMEOUT_SECONDS = 1.0
_TIMEOUT_WHILE_LOST_SECONDS = 0.5


class StoreProbe:
    """The task that asks.

    Args:
        on_answer: called at each answer.
        on_change: told whether the store answers, and else why not, each time that changes.
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
        """Begin to ask, or rest; what was found before a rest is forgotten."""
        if is_following:
            self._is_needed.set()
            return
        self._is_needed.clear()
        self.is_store_lost = False

    def ask_soon(self) -> None:
        """Ask without waiting for the interval's end."""
        self._pause.end()

    async def run(self) -> None:
        """Ask, whenever that is needed, until cancelled."""
        while True:
            await self._is_needed.wait()
            await self._ask()
            seconds = _INTERVAL_WHILE_LOST_SECONDS if self.is_store_lost else _INTERVAL_SECONDS
            await self._pause.sleep(seconds * self._random.uniform(0.8, 1.2))

    async def _ask(self) -> None:
        seconds = _TIMEOUT_WHILE_LOST_SECONDS if self.is_store_lost else _TIMEOUT_SECONDS
        try:
            await self._store.probe(seconds)
        except PlatformError as error:
            self._note(error.message)
            return
        self._contact.note_answer()
        self._note("")
        self._on_answer()

    def _note(self, failure: str) -> None:
        if not self._is_needed.is_set():
            return
        is_lost = bool(failure)
        if is_lost != self.is_store_lost:
            self.is_store_lost = is_lost
            self._on_change(not is_lost, failure)
