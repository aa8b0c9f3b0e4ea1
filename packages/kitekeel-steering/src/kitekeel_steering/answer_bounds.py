"""Bounds the part of a large answer that is passed on while it arrives.

Load: a back end in trouble may send a body that never ends, or that almost stops. Such an answer
holds its caller, and a connection, for as long as it is passed on. A sound back end stops working
at the request's deadline, so that later bytes only have to be delivered; a caller that reads slowly
still gets them.
"""

from __future__ import annotations

# No larger answer is passed on unless its length is stated: the size of the largest bodies known.
MAX_UNSIZED_BYTES = 64 * 1024 * 1024
# What a back end has sent before the deadline waits in the buffers along the way.
MAX_LATE_BYTES = 8 * 1024 * 1024
# Exceeds the longest round trip between two regions, which takes 0.12 s.
LATE_WAIT_SECONDS = 0.3
# A tenth of what the slowest known links carry, since several answers may share one.
MIN_LATE_BYTES_PER_SECOND = 64 * 1024
# A caller's own deadline passes earlier than the daemon's, by the time that its request took.
CALLER_MARGIN_SECONDS = 0.25


class AnswerBounds:
    """Bounds the rest of one answer; all times are readings of one monotonic clock, in seconds.

    Only the time in which the daemon waits for the back end counts after the deadline, not the time
    in which the caller does not read. An answer whose length bounds it gets more of it for what it
    delivers; any other one may be endless.

    Args:
        deadline: time after which the answer is of no use.
        length: stated length of the body in bytes; ``None`` if it has none.
        received: bytes of the body that were received before.
    """

    def __init__(self, deadline: float, length: int | None, received: int) -> None:
        self._deadline = deadline
        self._length = length
        self._received = received
        self._late_bytes = 0
        self._late_wait_seconds = 0.0

    def wait_seconds(self, now: float) -> float:
        """Return how long the daemon may wait for further bytes."""
        earned = self._late_bytes / MIN_LATE_BYTES_PER_SECOND if self._is_bounded() else 0.0
        late = max(0.0, LATE_WAIT_SECONDS + earned - self._late_wait_seconds)
        return max(0.0, self._deadline - now) + late

    def note_received(self, count: int, asked_at: float, now: float) -> None:
        """Record bytes for which the daemon has waited since ``asked_at``."""
        self._received += count
        if now <= self._deadline:
            return
        self._late_bytes += count
        self._late_wait_seconds += now - max(asked_at, self._deadline)

    def is_exceeded(self) -> bool:
        """Return whether the answer is too large, or too late, to be a sound one."""
        if self._is_bounded():
            return False
        is_too_large = self._length is None and self._received > MAX_UNSIZED_BYTES
        is_too_late = self._late_wait_seconds > LATE_WAIT_SECONDS
        return is_too_large or is_too_late or self._late_bytes > MAX_LATE_BYTES

    def is_overdue(self, now: float) -> bool:
        """Return whether a caller that leaves now has probably waited for an endless answer."""
        return not self._is_bounded() and now >= self._deadline - CALLER_MARGIN_SECONDS

    def _is_bounded(self) -> bool:
        return self._length is not None and self._length <= MAX_UNSIZED_BYTES
