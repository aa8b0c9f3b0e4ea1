"""What signals do to a process: a stop as planned, a reload where there is one, never a sudden end.

Python runs a signal's handler on the main thread only, between two of its instructions, while the
kernel may hand the signal to any thread. An event loop is woken by a descriptor that each signal
writes to; a main thread that waits otherwise must wake by itself from time to time.

No signal has its default action at any time, as that ends the process at once:

- while the program is loaded, stop signals are blocked (:mod:`kitekeel_daemon.start_signals`);
- a handler is installed before they are unblocked, and is replaced only by one that ignores them;
- handlers are not the event loop's, which restores the default action when it removes them.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import threading
from collections.abc import Callable
from types import FrameType

from kitekeel_daemon.start_signals import STOP_SIGNALS, unblock_stop_signals

# A daemon that was paused while it was told to stop never left without this; one that leaves
# 0.5 s later does so within what callers and other daemons are given to hear of it.
_WAKE_SECONDS = 0.5
_WAKE_BYTES = 4096


def ignore_signals() -> None:
    """Ignore all signals that this module deals with, in a process that ends by itself."""
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


class StopSignals:
    """SIGTERM and SIGINT of a process without an event loop; used on its main thread.

    SIGHUP is ignored, as settings are read at the start only.
    """

    def __init__(self) -> None:
        self._is_received = False

    def listen(self) -> None:
        """Note stop signals from now on, those included that came while the program was loaded."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)
        unblock_stop_signals()

    def wait(self, stop_requested: threading.Event) -> None:
        """Wait for a stop signal or the event; further signals are ignored afterwards."""
        while not self._is_received and not stop_requested.wait(_WAKE_SECONDS):
            continue
        ignore_signals()

    def _note(self, _number: int, _frame: FrameType | None) -> None:
        # Takes no lock, such as an event's: the main thread may hold it when the handler runs.
        self._is_received = True


class LoopSignals:
    """The signals of a process with an event loop; used on its main thread, within the loop.

    Args:
        on_stop: called on SIGTERM and SIGINT.
        on_reload: called on SIGHUP.
    """

    def __init__(self, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._wake_reader, self._wake_writer = socket.socketpair()

    def listen(self) -> None:
        """Call back on the event loop from now on, also for stop signals that were blocked."""
        loop = asyncio.get_running_loop()
        self._wake_on_signals(loop)
        self._handle(loop, signal.SIGHUP, self._on_reload)
        for number in STOP_SIGNALS:
            self._handle(loop, number, self._on_stop)
        unblock_stop_signals()

    def _handle(
        self, loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], None]
    ) -> None:
        signal.signal(number, lambda _number, _frame: loop.call_soon_threadsafe(callback))

    def _wake_on_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """Have each signal wake the loop, whichever thread the kernel hands it to."""
        for each in (self._wake_reader, self._wake_writer):
            each.setblocking(False)
        loop.add_reader(self._wake_reader, self._discard_wake_bytes)
        signal.set_wakeup_fd(self._wake_writer.fileno(), warn_on_full_buffer=False)

    def _discard_wake_bytes(self) -> None:
        try:
            self._wake_reader.recv(_WAKE_BYTES)
        except BlockingIOError:
            # Nothing is left to read: an earlier call took the bytes of several signals.
            pass
