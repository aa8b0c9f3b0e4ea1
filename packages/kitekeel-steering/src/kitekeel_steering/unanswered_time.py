"""Measures how long requests have waited for one back end since its last answer.

A request waits until its deadline at the longest, which may be less than it takes to know that the
back end is silent. Therefore the waits of successive requests count together.
"""

from __future__ import annotations

# What was observed before a longer time without requests says nothing about the present.
_EXPIRY_SECONDS = 4.0


class UnansweredTime:
    """Waits that ended without an answer; all times are readings of one monotonic clock."""

    def __init__(self) -> None:
        self._seconds = 0.0
        self._counted_until = float("-inf")

    def note_answer(self) -> None:
        """Record an answer, after which the time is measured anew."""
        self._seconds = 0.0

    def note_expired(self, began_at: float, now: float) -> None:
        """Record that a request has reached its deadline.

        Args:
            began_at: when the first of the requests in flight was sent, or a later answer arrived.
            now: the present time.
        """
        self._seconds = self.seconds(began_at, now)
        self._counted_until = now

    def seconds(self, began_at: float, now: float) -> float:
        """Return the time waited since the last answer; that of simultaneous waits counts once.

        Args:
            began_at: as for ``note_expired``.
            now: the present time.
        """
        is_recent = began_at - self._counted_until <= _EXPIRY_SECONDS
        earlier = self._seconds if is_recent else 0.0
        return earlier + now - max(began_at, self._counted_until)
