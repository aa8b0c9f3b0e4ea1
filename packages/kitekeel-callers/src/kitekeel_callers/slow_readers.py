"""Detects callers that do not read their answers.

Load: callers that leave an answer unread hold its bytes, and the back end that still sends it. A
caller that reads slowly is served; one that reads nothing for some seconds is past the deadline of
most requests and does not want the answer any more.
"""

from __future__ import annotations

import asyncio
import fcntl
import struct
import termios

SLOW_READER_SECONDS = 5.0
CHECK_SECONDS = 1.0
_INT = struct.Struct("i")


class ReadingProgress:
    """Tells whether a peer takes anything of what was written to it.

    Args:
        outstanding: bytes that the peer has not taken yet.
        now: monotonic time in seconds.
    """

    def __init__(self, outstanding: int, now: float) -> None:
        self._outstanding = outstanding
        self._progressed_at = now

    def has_stalled(self, outstanding: int, now: float) -> bool:
        """Return whether the peer has taken nothing for too long."""
        if outstanding < self._outstanding:
            self._progressed_at = now
        self._outstanding = outstanding
        return now - self._progressed_at >= SLOW_READER_SECONDS


def outstanding_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that were written to a transport and not acknowledged by its peer.

    The transport's own buffer alone says too little: the kernel reports room for more only when a
    third of its send buffer is free, for which a slow reader may need longer than the limit.
    """
    return transport.get_write_buffer_size() + _bytes_in_kernel(transport)


def _bytes_in_kernel(transport: asyncio.Transport) -> int:
    try:
        descriptor = transport.get_extra_info("socket").fileno()
        found = fcntl.ioctl(descriptor, termios.TIOCOUTQ, _INT.pack(0))
    except OSError:
        return 0
    return int(_INT.unpack(found)[0])
