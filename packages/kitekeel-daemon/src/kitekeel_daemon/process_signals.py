"""What signals do to a process: stop, reload where it can, and nothing at the end.

Python runs a signal's handler on the main thread only, between two of its instructions, while the
kernel may hand the signal to any thread. An event loop is woken by a descriptor that each signal
writes to; a main thread that waits otherwise must wake by itself from time to time.
"""

from __future__ import annotations

import asyncio
import signal
import threading
from collections.abc import Callable

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# A daemon that was paused while it was told to stop never left without this; one that leaves
# 0.5 s later does so within what callers and other daemons are given to hear of it.
_WAKE_SECONDS = 0.5


def heed_stop_signals(stop_requested: threading.Event) -> None:
    """Have SIGTERM and SIGINT set an event; called on the main thread."""
    for number in _STOP_SIGNALS:
        signal.signal(number, lambda *_: stop_requested.set())


def wait_for_stop(stop_requested: threading.Event) -> None:
    """Wait on the main thread until the event is set, by a signal or otherwise."""
    while not stop_requested.wait(_WAKE_SECONDS):
        continue


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
