"""Tells whether a back end's process is still there, by opening a connection to it."""

from __future__ import annotations

import asyncio
import enum


class ProcessState(enum.Enum):
    """What a connection shows.

    ``GONE``: nothing listens there, though the machine answers. ``SILENT``: nothing answers, as
    behind a cut or on a machine without power.
    """

    GONE = "gone"
    ALIVE = "alive"
    SILENT = "silent"


async def find_process_state(address: str, timeout_seconds: float) -> ProcessState:
    """Return the state of whatever listens at ``IP:port``."""
    name, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(name, int(port))
    except ConnectionRefusedError:
        return ProcessState.GONE
    except (OSError, TimeoutError):
        return ProcessState.SILENT
    writer.close()
    return ProcessState.ALIVE
