"""Counts the bytes of this process's HTTP connections, and measures their rate.

Connections to other daemons and tunnels for them are not counted; they carry little beside bodies.
"""

from __future__ import annotations

from kitekeel_steering.clock import Clock


class LinkTraffic:
    """Bytes sent and received; each direction of a link has its full bandwidth."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


# All connections of a process share the link of its machine.
PROCESS_TRAFFIC = LinkTraffic()


class LinkRate:
    """The rate of the busier direction since the last reading.

    Args:
        traffic: the counters to read.
        clock: measures the time between two readings.
    """

    def __init__(self, traffic: LinkTraffic, clock: Clock) -> None:
        self._traffic = traffic
        self._clock = clock
        self._sent_bytes = traffic.sent_bytes
        self._received_bytes = traffic.received_bytes
        self._read_at = clock.monotonic()

    def read_bits_per_second(self) -> float:
        """Return the rate, and start measuring anew."""
        now = self._clock.monotonic()
        elapsed = now - self._read_at
        sent = self._traffic.sent_bytes - self._sent_bytes
        received = self._traffic.received_bytes - self._received_bytes
        if elapsed <= 0.0:
            return 0.0
        self._read_at = now
        self._sent_bytes = self._traffic.sent_bytes
        self._received_bytes = self._traffic.received_bytes
        return 8.0 * max(sent, received) / elapsed
