"""Determines when a request arrived at this machine, from the kernel's TCP statistics.

Before a worker thread reads a request, it waits in the listen backlog, for the thread that polls
the connections, and in the workers' queue. On two loaded cores this took up to seconds (measured by
the phase ``unread``), and deadlines count from the arrival.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

from cheroot import wsgi

from kitekeel_steering.clock import steady_seconds

ARRIVED_AT = "kitekeel.arrived_at"
"""WSGI environment key of the monotonic time at which the request arrived."""

# tcpi_last_data_recv in `struct tcp_info` (linux/tcp.h): 32 bits, milliseconds since the last data.
_LAST_DATA_RECEIVED_OFFSET = 52
_TCP_INFO_BYTES = 104
_MILLISECONDS_PER_SECOND = 1000.0


def seconds_since_last_receive(connection: socket.socket) -> float:
    """Return the seconds since the kernel last received data on a TCP connection.

    Raises:
        OSError: ``connection`` is not an open TCP connection.
    """
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    (milliseconds,) = struct.unpack_from("=I", info, _LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / _MILLISECONDS_PER_SECOND


class ArrivalTimeGateway(wsgi.Gateway_10):
    """Adds the arrival time to each request's WSGI environment.

    For a request whose body arrives in several segments, this is the time of the latest one so far.
    """

    # The library's type stub declares no return value.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the WSGI environment of the request; called by the server."""
        environment: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environment[ARRIVED_AT] = steady_seconds() - seconds_since_last_receive(
            self.req.conn.socket
        )
        return environment
