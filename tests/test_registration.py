"""Registering in the store: what fails is told once, and so is its end."""

import asyncio
import time

from memory_store import MemoryStore

from kitekeel_platform.fleet_store import RegisteredDaemon
from kitekeel_platform.registration import Registration

OWN = RegisteredDaemon("g1", "127.0.0.1:1")


def test_a_failing_registration_is_told_with_its_reason_and_its_end() -> None:
    async def scenario() -> None:
        store = MemoryStore()
        store.turned_away.add("g1")
        told: list[tuple[str, bool, str]] = []
        registration = Registration(
            store.open_for("g1"), OWN, lambda _daemons: None, lambda *news: told.append(news)
        )
        task = asyncio.create_task(registration.run())
        await asyncio.sleep(1.3)
        assert told == [("store/registration", False, "turned away")]
        store.turned_away.clear()
        end = time.monotonic() + 3.0
        while len(told) < 2 and time.monotonic() < end:
            await asyncio.sleep(0.05)
        assert told[1:] == [("store/registration", True, "")]
        assert set(store.daemons) == {"g1"}
        task.cancel()

    asyncio.run(scenario())
