"""Runs RPC handlers on the event loop, the only thread that may access the daemon's state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

Request = TypeVar("Request")
Reply = TypeVar("Reply")


def on_event_loop(
    answer: Callable[[Request], Coroutine[Any, Any, Reply]],
    loop: asyncio.AbstractEventLoop,
    timeout_seconds: float,
) -> Callable[[Request], Reply]:
    """Return a blocking handler, for the peer server's threads, that runs a coroutine on the loop.

    Args:
        answer: runs on the event loop.
        loop: the event loop.
        timeout_seconds: maximum time that a thread waits for the answer.
    """

    def handle(request: Request) -> Reply:
        return asyncio.run_coroutine_threadsafe(answer(request), loop).result(timeout_seconds)

    return handle
