"""An event loop whose timers include the time that the machine is suspended.

Deadlines are times of :func:`kitekeel_steering.clock.steady_seconds`; asyncio compares them with
the clock of the loop. Timers that expire while the machine is suspended fire after it resumes. The
operating system first waits for the rest of the loop's current timeout, so they fire at the latest
with the next short timer, which every daemon has.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from kitekeel_steering.clock import steady_seconds

Result = TypeVar("Result")


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """asyncio's selector event loop on the clock of :func:`steady_seconds`."""

    def time(self) -> float:
        """Return the current time of the loop; called by asyncio."""
        return steady_seconds()


def run_on_steady_loop(main: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new :class:`SteadyEventLoop`, like ``asyncio.run``."""
    with asyncio.Runner(loop_factory=SteadyEventLoop) as runner:
        return runner.run(main)
