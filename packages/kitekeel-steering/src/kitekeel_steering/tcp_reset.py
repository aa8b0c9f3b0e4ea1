"""Closes TCP connections with a reset instead of an orderly end.

A peer may take an orderly end for the end of a message without a length. A reset also discards the
bytes that the kernel has not sent yet.
"""

from __future__ import annotations

import asyncio
import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_ORDERLY_CLOSE = struct.pack("ii", 0, 0)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection now."""
    reset_on_close(transport, True)
    transport.abort()


def reset_on_close(transport: asyncio.BaseTransport, is_enabled: bool) -> None:
    """Set whether closing a connection resets it, also when the kernel closes it at a kill."""
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return
    option = _RESET_ON_CLOSE if is_enabled else _ORDERLY_CLOSE
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    except OSError:
        # The peer has closed the connection; the transport reports that.
        return
