"""Checks whether a back end's process is running by opening a connection to it."""

from __future__ import annotations

import asyncio
import enum


class ProcessState(enum.Enum):
    """State of a process as shown by a connection attempt.

    ``GONE``: nothing listens at the address, although the machine answers. ``SILENT``: there is no
    answer, as with a network partition or a machine without power.
    """

    GONE = "gone"
    ALIVE = "alive"
    SILENT = "silent"


async def find_process_state(address: str, timeout_seconds: float) -> ProcessState:
    """Return the state of the process that should listen at ``IP:port``."""
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
