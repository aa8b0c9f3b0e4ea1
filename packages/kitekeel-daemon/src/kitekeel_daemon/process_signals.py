"""Signal handling: a planned stop, a reload where the program supports it, never an abrupt exit.

Python runs signal handlers on the main thread only, between two bytecode instructions, while the
kernel may deliver the signal to any thread. An event loop is woken by a file descriptor that each
signal writes to; a main thread that blocks in another way must wake up periodically.

No signal ever has its default action, as that would end the process at once:

- while the program is loaded, stop signals are blocked (:mod:`kitekeel_daemon.start_signals`);
- handlers are installed before the signals are unblocked, and are later replaced only by
  ``SIG_IGN``;
- handlers are not registered through the event loop, which restores the default action when it
  removes them.
"""

from __future__ import annotations

import asyncio
import signal
import socket
import threading
from collections.abc import Callable
from types import FrameType

from kitekeel_daemon.start_signals import STOP_SIGNALS, unblock_stop_signals

# Without this wake-up, a daemon that was paused when the stop signal arrived never left. A delay of
# 0.5 s is within the time that callers and other daemons are given to learn of the stop.
_WAKE_SECONDS = 0.5
_WAKE_BYTES = 4096


def ignore_signals() -> None:
    """Ignore all signals handled by this module, in a process that is already ending."""
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


class StopSignals:
    """Handles SIGTERM and SIGINT in a process without an event loop; used on its main thread.

    SIGHUP is ignored, as settings are only read at startup.
    """

    def __init__(self) -> None:
        self._is_received = False

    def listen(self) -> None:
        """Install the handlers; stop signals received while the program was loading count too."""
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        for number in STOP_SIGNALS:
            signal.signal(number, self._on_signal)
        unblock_stop_signals()

    def wait(self, stop_requested: threading.Event) -> None:
        """Wait for a stop signal or the event, then ignore further signals."""
        while not self._is_received and not stop_requested.wait(_WAKE_SECONDS):
            continue
        ignore_signals()

    def _on_signal(self, _number: int, _frame: FrameType | None) -> None:
        # Must not take a lock, such as that of an Event: the main thread may hold it when this
        # handler interrupts it.
        self._is_received = True


class LoopSignals:
    """Handles signals in a process with an event loop; used on its main thread, within the loop.

    Args:
        on_stop: called on SIGTERM and SIGINT.
        on_reload: called on SIGHUP.
    """

    def __init__(self, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._wake_reader, self._wake_writer = socket.socketpair()

    def listen(self) -> None:
        """Install the handlers, which run the callbacks on the event loop.

        Stop signals that were blocked until now are delivered too.
        """
        loop = asyncio.get_running_loop()
        self._wake_on_signals(loop)
        self._install_handler(loop, signal.SIGHUP, self._on_reload)
        for number in STOP_SIGNALS:
            self._install_handler(loop, number, self._on_stop)
        unblock_stop_signals()

    def _install_handler(
        self, loop: asyncio.AbstractEventLoop, number: signal.Signals, callback: Callable[[], None]
    ) -> None:
        signal.signal(number, lambda _number, _frame: loop.call_soon_threadsafe(callback))

    def _wake_on_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """Make each signal wake the loop, whichever thread the kernel delivers it to."""
        for each in (self._wake_reader, self._wake_writer):
            each.setblocking(False)
        loop.add_reader(self._wake_reader, self._discard_wake_bytes)
        signal.set_wakeup_fd(self._wake_writer.fileno(), warn_on_full_buffer=False)

    def _discard_wake_bytes(self) -> None:
        try:
            self._wake_reader.recv(_WAKE_BYTES)
        except BlockingIOError:
            # Nothing is left to read: an earlier call read the bytes of several signals.
            pass
