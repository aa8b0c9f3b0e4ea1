"""TCP options of connections to back ends, so that a connection that went silent is closed.

Without them the kernel keeps a connection to an unreachable machine open for a quarter of an hour,
and a request that is sent on it waits until its deadline.
"""

from __future__ import annotations

import asyncio
import socket

# An idle connection is closed about 3 s after the last sign of its peer, with two probes
# unanswered. If a user time-out is set, it decides that instead of the number of probes.
_PROBE_IDLE_SECONDS = 1
_PROBE_INTERVAL_SECONDS = 1
_UNANSWERED_PROBES = 2
_USER_TIMEOUT_MILLISECONDS = 2500


def close_when_silent(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a connection whose peer acknowledges nothing for some seconds."""
    close_when_idle_and_silent(transport)
    _set(transport, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS)


def close_when_idle_and_silent(transport: asyncio.BaseTransport) -> None:
    """Make the kernel close a silent connection unless bytes wait to be acknowledged on it."""
    _set(transport, socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    _set(transport, socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS)
    _set(transport, socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS)
    _set(transport, socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _UNANSWERED_PROBES)


def allow_slow_reader(transport: asyncio.BaseTransport) -> None:
    """Keep a connection open whose peer acknowledges but does not read.

    The user time-out also counts the time in which the peer has no room for more bytes.
    """
    _set(transport, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def _set(transport: asyncio.BaseTransport, level: int, option: int, value: int) -> None:
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return
    try:
        connection.setsockopt(level, option, value)
    except OSError:
        # The peer has closed the connection; the transport reports that.
        return
