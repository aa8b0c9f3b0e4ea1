"""Tells when a request arrived at this machine, by the kernel's record of its connection.

A worker thread reads a request only after it has waited in the listen backlog, for the thread that
watches the connections and in the queue of the workers. On two loaded cores that took up to seconds
(measured by the phase ``unread``), and a deadline counts from the arrival.
"""

from __future__ import annotations

import socket
import struct
from typing import Any

from cheroot import wsgi

from kitekeel_steering.clock import steady_seconds

ARRIVED_AT = "kitekeel.arrived_at"
"""Key in the WSGI environment of the monotonic time at which the request arrived."""

# Of `struct tcp_info` in linux/tcp.h: the milliseconds since data last came in, as 32 bits.
_LAST_DATA_RECEIVED_OFFSET = 52
_TCP_INFO_BYTES = 104
_MILLISECONDS = 1000.0


def seconds_since_data(connection: socket.socket) -> float:
    """Return the time since the kernel last took data in for a TCP connection.

    Raises:
        OSError: it is no open TCP connection.
    """
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    (milliseconds,) = struct.unpack_from("=I", info, _LAST_DATA_RECEIVED_OFFSET)
    return float(milliseconds) / _MILLISECONDS


class ArrivalGateway(wsgi.Gateway_10):
    """Adds the time of arrival to each request's WSGI environment.

    For a request whose body comes in several segments it is the time of the latest one so far.
    """

    # The library's type stub says that nothing is returned.
    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Return the environment of the request; called by the server."""
        environment: dict[str, Any] = super().get_environ()  # type: ignore[no-untyped-call]
        environment[ARRIVED_AT] = steady_seconds() - seconds_since_data(self.req.conn.socket)
        return environment
