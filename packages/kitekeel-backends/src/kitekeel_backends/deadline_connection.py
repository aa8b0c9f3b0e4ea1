"""HTTP connections with one overall deadline, and a pool of idle ones for later requests.

The library's time-outs apply to each read separately: a back end that sent its head byte by byte
delayed a caller for 8.5 s although 0.8 s was allowed, and one that sent its body that way for 3.3 s
instead of 1.0 s.
"""

from __future__ import annotations

import socket
import threading
from collections import defaultdict

from urllib3.connection import HTTPConnection

from kitekeel_steering.answer_bounds import MAX_LATE_BYTES
from kitekeel_steering.clock import steady_seconds

# Allows for one lost packet within the users' networks, which take some 60 ms one way.
_MAX_CONNECT_SECONDS = 1.0
# At the deadline, data already in the kernel's buffer is still read, without waiting for more.
_MIN_SOCKET_TIMEOUT_SECONDS = 0.001
# A back end that sends without end always has data there, so the amount is bounded too: that of a
# head here, and that of a body as in the gateway.
_MAX_LATE_HEAD_BYTES = 64 * 1024
# Servers commonly close connections that are idle for 10 s; one that is idle for longer than this
# may be closed at the moment a request is written to it.
_MAX_IDLE_SECONDS = 6.0


class DeadlineSocket(socket.socket):
    """A socket with one deadline for all reads and writes together.

    Attributes:
        deadline: monotonic time.
        late_bytes_left: how much may still be read after the deadline.
    """

    deadline = float("inf")
    late_bytes_left = _MAX_LATE_HEAD_BYTES

    def recv_into(self, *arguments: object, **options: object) -> int:
        """Read the available data, waiting for some until the deadline.

        Raises:
            TimeoutError: the deadline passed, and no data is available or too much was read since.
        """
        remaining = self.deadline - steady_seconds()
        if remaining <= 0 and self.late_bytes_left <= 0:
            raise TimeoutError("the deadline passed, and the answer does not end")
        self.settimeout(max(_MIN_SOCKET_TIMEOUT_SECONDS, remaining))
        size = super().recv_into(*arguments, **options)  # type: ignore[arg-type]
        if remaining <= 0:
            self.late_bytes_left -= size
        return size

    def sendall(self, *arguments: object, **options: object) -> None:
        """Write all data before the deadline.

        Raises:
            TimeoutError: the deadline passed; nothing was written if it had passed before the call.
        """
        remaining = self.deadline - steady_seconds()
        if remaining <= 0:
            raise TimeoutError("the deadline passed")
        self.settimeout(remaining)
        super().sendall(*arguments, **options)  # type: ignore[arg-type]


class DeadlineConnection(HTTPConnection):
    """A connection to one address; call ``set_deadline`` before each further exchange.

    Args:
        address: ``IP:port``.
        deadline: monotonic time of the first exchange.

    Attributes:
        exchanges: number of requests sent on it; more than one if it was reused.
        idle_since: monotonic time at which it became idle.
    """

    def __init__(self, address: str, deadline: float) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self._deadline = deadline
        self.exchanges = 0
        self.idle_since = steady_seconds()

    def connect(self) -> None:
        """Connect before the deadline and within one second.

        Raises:
            urllib3.exceptions.HTTPError, OSError: the connection could not be opened.
        """
        self.timeout = min(
            _MAX_CONNECT_SECONDS,
            max(_MIN_SOCKET_TIMEOUT_SECONDS, self._deadline - steady_seconds()),
        )
        super().connect()
        # The library sets its own time-out on the socket; the deadline replaces it.
        self.timeout = None
        self.sock = DeadlineSocket(fileno=self.sock.detach())
        self.sock.deadline = self._deadline

    def set_deadline(self, deadline: float) -> None:
        """Set the monotonic time at which all further waits end."""
        self._deadline = deadline
        if isinstance(self.sock, DeadlineSocket):
            self.sock.deadline = deadline
            self.sock.late_bytes_left = _MAX_LATE_HEAD_BYTES

    def note_head_read(self) -> None:
        """Allow what a body needs to be read after the deadline."""
        if isinstance(self.sock, DeadlineSocket):
            self.sock.late_bytes_left = MAX_LATE_BYTES


class IdleConnections:
    """Thread-safe pool of idle connections by address."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[str, list[DeadlineConnection]] = defaultdict(list)

    def take(self, address: str, deadline: float) -> DeadlineConnection | None:
        """Return the most recently used idle connection that is still usable, or ``None``."""
        while True:
            with self._lock:
                idle = self._idle[address]
                connection = idle.pop() if idle else None
            if connection is None:
                return None
            idle_seconds = steady_seconds() - connection.idle_since
            if idle_seconds <= _MAX_IDLE_SECONDS and connection.is_connected:
                connection.set_deadline(deadline)
                return connection
            connection.close()

    def release(self, address: str, connection: DeadlineConnection, max_idle: int) -> None:
        """Keep a connection whose answer was read to its end, up to ``max_idle`` for an address."""
        connection.idle_since = steady_seconds()
        with self._lock:
            idle = self._idle[address]
            is_kept = connection.sock is not None and len(idle) < max_idle
            if is_kept:
                idle.append(connection)
        if not is_kept:
            connection.close()
