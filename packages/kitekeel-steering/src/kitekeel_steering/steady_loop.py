"""An event loop whose timers count the time that the machine is suspended.

Deadlines are readings of :func:`kitekeel_steering.clock.steady_seconds`; asyncio compares them with
the loop's own clock. Timers that fell due while the machine was suspended fire once it has woken:
the operating system lets the loop sleep on for what was left, so at latest with the next short
timer, which every daemon has.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from kitekeel_steering.clock import steady_seconds

Result = TypeVar("Result")


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """asyncio's loop on the steady clock."""

    def time(self) -> float:
        """Return the steady clock's reading; called by asyncio."""
        return steady_seconds()


def run_on_steady_loop(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on such a loop, as ``asyncio.run`` does on its own."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(main)
