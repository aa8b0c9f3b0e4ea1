"""An HTTP connection whose every wait ends at one deadline, and the ones kept for later requests.

The library's time-outs hold for each read anew: a back end whose head came byte by byte kept a
caller for 8.5 s where 0.8 s was given, and one whose body did for 3.3 s where 1.0 s was.
"""

from __future__ import annotations

import socket
import threading
from collections import defaultdict

from urllib3.connection import HTTPConnection

from kitekeel_steering.clock import steady_seconds

# Of a connection within the users' networks, some 60 ms one way, with one lost packet.
_MAX_CONNECT_SECONDS = 1.0
# At the deadline, what the kernel already has is still read; nothing more is waited for.
_NO_WAIT_SECONDS = 0.001
# Servers commonly close connections that rest for 10 s; one that rests longer than this may be
# closed in the moment in which a request is written to it.
_MAX_REST_SECONDS = 6.0


class DeadlineSocket(socket.socket):
    """A socket whose reads and writes end at a deadline, however many they are.

    Attributes:
        deadline: monotonic time.
    """

    deadline = float("inf")

    def recv_into(self, *arguments: object, **options: object) -> int:
        """Read what is there, waiting for it until the deadline."""
        self.settimeout(max(_NO_WAIT_SECONDS, self.deadline - steady_seconds()))
        return super().recv_into(*arguments, **options)  # type: ignore[arg-type]

    def sendall(self, *arguments: object, **options: object) -> None:
        """Write everything until the deadline.

        Raises:
            TimeoutError: it has passed; where it had passed before, nothing was written.
        """
        remaining = self.deadline - steady_seconds()
        if remaining <= 0:
            raise TimeoutError("the deadline passed")
        self.settimeout(remaining)
        super().sendall(*arguments, **options)  # type: ignore[arg-type]


class DeadlineConnection(HTTPConnection):
    """A connection to one address; ``set_deadline`` comes before each exchange.

    Args:
        address: ``IP:port``.
        deadline: monotonic time of the first exchange.

    Attributes:
        exchanges: requests that were sent on it; more than one on a kept connection.
        rests_since: monotonic time since which it has waited for a request.
    """

    def __init__(self, address: str, deadline: float) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host.strip("[]"), int(port))
        self._deadline = deadline
        self.exchanges = 0
        self.rests_since = steady_seconds()

    def connect(self) -> None:
        """Connect within the deadline, and within a second.

        Raises:
            urllib3.exceptions.HTTPError, OSError: no connection.
        """
        self.timeout = min(
            _MAX_CONNECT_SECONDS, max(_NO_WAIT_SECONDS, self._deadline - steady_seconds())
        )
        super().connect()
        # The library sets its own time-out on the socket; the deadline takes its place there.
        self.timeout = None
        self.sock = DeadlineSocket(fileno=self.sock.detach())
        self.sock.deadline = self._deadline

    def set_deadline(self, deadline: float) -> None:
        """Have all waits from now on end at a deadline, in monotonic time."""
        self._deadline = deadline
        if isinstance(self.sock, DeadlineSocket):
            self.sock.deadline = deadline


class KeptConnections:
    """Connections that rest until the next request to their address; safe for many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._resting: dict[str, list[DeadlineConnection]] = defaultdict(list)

    def take(self, address: str, deadline: float) -> DeadlineConnection | None:
        """Return the connection that has rested least, if one is still good."""
        while True:
            with self._lock:
                resting = self._resting[address]
                connection = resting.pop() if resting else None
            if connection is None:
                return None
            rested = steady_seconds() - connection.rests_since
            if rested <= _MAX_REST_SECONDS and connection.is_connected:
                connection.set_deadline(deadline)
                return connection
            connection.close()

    def give_back(self, address: str, connection: DeadlineConnection, most: int) -> None:
        """Keep a connection whose answer was read to its end, up to so many for an address."""
        connection.rests_since = steady_seconds()
        with self._lock:
            resting = self._resting[address]
            is_kept = connection.sock is not None and len(resting) < most
            if is_kept:
                resting.append(connection)
        if not is_kept:
            connection.close()
