"""Notices that the store has fallen silent, and that it answers again.

A watch that waits looks the same whether nothing changes or its connection leads nowhere, and one
that was sent into an outage is never answered. So the store is asked for next to nothing every
second; after an outage the watches are started anew instead of being waited for.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_platform.fleet_store import FleetStore
from kitekeel_steering.errors import PlatformError

_INTERVAL_SECONDS = 1.0
_INTERVAL_WHILE_LOST_SECONDS = 0.3


class StoreProbe:
    """The task that asks.

    Args:
        on_change: told whether the store answers, and else why not, each time that changes.
    """

    def __init__(
        self,
        store: FleetStore,
        on_change: Callable[[bool, str], None],
        generator: random.Random,
    ) -> None:
        self._store = store
        self._on_change = on_change
        self._random = generator
        self.is_store_lost = False

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._ask()
            seconds = _INTERVAL_WHILE_LOST_SECONDS if self.is_store_lost else _INTERVAL_SECONDS
            await asyncio.sleep(seconds * self._random.uniform(0.8, 1.2))

    async def _ask(self) -> None:
        reason = ""
        try:
            await self._store.probe()
        except PlatformError as error:
            reason = error.message
        is_lost = bool(reason)
        if is_lost != self.is_store_lost:
            self.is_store_lost = is_lost
            self._on_change(not is_lost, reason)
