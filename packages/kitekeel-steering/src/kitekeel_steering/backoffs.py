"""The pauses that back ends request from one daemon, with ``Retry-After`` in an answer 503.

A back end requests a pause from each daemon separately. The daemon's connections that lead through
another daemon count as that daemon's, since the back end sees the address of the latter.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kitekeel_steering.back_end_load import SentRequest
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.process_table import ProcessTable


class Backoff:
    """The pause requested by one process of a back end; times are monotonic, in seconds.

    After the pause, the back end gets one request at a time until it has answered one of them
    without requesting another pause.
    """

    def __init__(self) -> None:
        self.until = float("-inf")
        self._awaits_answer = False
        self.is_requester_alive: Callable[[], bool] = _is_not_alive

    def extend(self, until: float, is_requester_alive: Callable[[], bool] | None = None) -> None:
        """Extend the pause; an earlier end than the current one has no effect.

        Args:
            until: the end of the pause.
            is_requester_alive: returns whether the process that requested it may still run.
        """
        if until > self.until:
            self.until = until
            self._awaits_answer = True
            self.is_requester_alive = is_requester_alive or _is_not_alive

    def was_requested_by_successor(self, now: float) -> bool:
        """Return whether the pause applies to the process that has replaced the known one.

        A process may request it before its record arrives. Its predecessor has ended by then.
        """
        return self.is_active(now) and self.is_requester_alive()

    def is_active(self, now: float) -> bool:
        """Return whether nothing may be sent now."""
        return now < self.until

    def allows_another(self, now: float, in_flight: Iterable[SentRequest]) -> bool:
        """Return whether a request may be sent in addition to those in flight."""
        if self.is_active(now):
            return False
        return not (self._awaits_answer and any(each.sent_at >= self.until for each in in_flight))

    def note_answered(self, sent_at: float) -> None:
        """Record an answer that requested no pause, to a request sent at a monotonic time."""
        if sent_at >= self.until:
            self._awaits_answer = False


def _is_not_alive() -> bool:
    return False


class Backoffs:
    """The pauses requested from one daemon by all back ends."""

    def __init__(self) -> None:
        self._table: ProcessTable[Backoff] = ProcessTable()

    def of(self, record: BackEndRecord) -> Backoff:
        """Return the pause requested by a back end's process, which may have ended long ago."""
        found = self._table.find(record.instance, record.started_at_ms)
        if found is None:
            found = Backoff()
            self._table.store(record.instance, record.started_at_ms, found)
        return found

    def note_restart(
        self, record: BackEndRecord, now: float, is_requester_alive: Callable[[], bool]
    ) -> None:
        """Apply a pause to a new process if that process has requested it.

        Args:
            record: the record of the new process.
            now: monotonic time in seconds.
            is_requester_alive: tells for a further restart whether the requester may still run.
        """
        known = self._table.latest(record.instance)
        if known is None or self._table.find(record.instance, record.started_at_ms) is not None:
            return
        if known.was_requested_by_successor(now):
            self.of(record).extend(known.until, is_requester_alive)

    def first_end(self, records: Iterable[BackEndRecord]) -> float:
        """Return the monotonic time at which the first pause of several back ends ends."""
        return min((self.of(each).until for each in records), default=float("-inf"))

    def count_active(self, now: float) -> int:
        """Return the number of back ends that have requested a pause which is not over yet."""
        return sum(each.is_active(now) for _, _, each in self._table)
