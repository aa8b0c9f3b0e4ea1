"""A pause between two questions that can be cut short."""

from __future__ import annotations

import asyncio


class InterruptibleSleep:
    """Lets one task sleep until its time is over or somebody ends it; of one event loop."""

    def __init__(self) -> None:
        self._ended = asyncio.Event()

    def end(self) -> None:
        """End the present pause, or the next one at once."""
        self._ended.set()

    async def sleep(self, seconds: float) -> None:
        """Pause for so long at most."""
        try:
            async with asyncio.timeout(seconds):
                await self._ended.wait()
        except TimeoutError:
            return
        self._ended.clear()
