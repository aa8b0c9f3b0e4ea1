"""A sleep that can be ended early, for polling loops."""

from __future__ import annotations

import asyncio


class InterruptibleSleep:
    """Lets one task sleep until a timeout or until :meth:`end` is called.

    All calls must be made on the same event loop.
    """

    def __init__(self) -> None:
        self._ended = asyncio.Event()

    def end(self) -> None:
        """End the current sleep, or the next one if no task is sleeping."""
        self._ended.set()

    async def sleep(self, seconds: float) -> None:
        """Sleep for at most the given time."""
        try:
            async with asyncio.timeout(seconds):
                await self._ended.wait()
        except TimeoutError:
            return
        self._ended.clear()
