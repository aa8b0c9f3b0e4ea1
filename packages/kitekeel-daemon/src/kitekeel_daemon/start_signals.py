"""Signals that come while a program's modules are still being loaded.

Imports nothing but ``signal``, so that programs can call it before they load anything else.
"""

from __future__ import annotations

import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def hold_signals() -> None:
    """Keep a stop signal for later, and ignore a reload, which has nothing to reload yet."""
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def unblock_stop_signals() -> None:
    """Let stop signals reach their handlers, those included that came meanwhile."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
