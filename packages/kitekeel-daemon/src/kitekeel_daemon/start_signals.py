"""Handling of signals that arrive while a program is still importing its modules.

Imports nothing but ``signal``, so that programs can call it before any other import.
"""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def block_stop_signals() -> None:
    """Block stop signals until they can be handled; ignore SIGHUP: there is nothing to reload."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def unblock_stop_signals() -> None:
    """Deliver stop signals to their handlers, including those that arrived while blocked."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
