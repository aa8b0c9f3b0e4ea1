"""What signals do to a process that runs one event loop: stop, reload, and nothing at the end."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Follows the signals of this process; used on its main thread, within the event loop.

    Args:
        on_stop: called on SIGTERM and SIGINT.
        on_reload: called on SIGHUP.
    """

    def __init__(self, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        self._on_stop = on_stop
        self._on_reload = on_reload

    def listen(self) -> None:
        """Call back on the event loop from now on."""
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self._on_stop)
        # Not a handler of the loop: closing the loop would give the signal its default action,
        # which ends the process with a failure status before its planned end is over.
        signal.signal(
            signal.SIGHUP, lambda _number, _frame: loop.call_soon_threadsafe(self._on_reload)
        )

    def ignore(self) -> None:
        """Let no signal cut the end of a process that is about to exit by itself."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
