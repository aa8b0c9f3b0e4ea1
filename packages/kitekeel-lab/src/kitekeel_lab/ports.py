"""Free ports on the loopback interface, below the range that the kernel hands out by itself."""

from __future__ import annotations

import itertools
import os
import socket

LOOPBACK = "127.0.0.1"

_FIRST_PORT = 12_000
_LAST_PORT = 31_000
_STRIDE = 211

_candidates = itertools.cycle(range(_FIRST_PORT, _LAST_PORT))


def free_address() -> str:
    """Return a loopback address that nothing listens on; no address is returned twice soon.

    Ports below the ephemeral range cannot be taken by an outgoing connection in the meantime.
    """
    for port in _candidates:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
            return f"{LOOPBACK}:{port}"
    raise AssertionError("unreachable")


def skip_ports() -> None:
    """Start at a place that depends on the process, so that runs side by side rarely collide."""
    for _ in range(os.getpid() * _STRIDE % (_LAST_PORT - _FIRST_PORT)):
        next(_candidates)
