"""What a pool's keeper knows of its back ends' load, and how it ages.

A report bounds a back end's room only downward. When reports fall silent the room shrinks step by
step toward the work in flight when they stopped, and never grows: silence does not read as calm.
"""

from __future__ import annotations

import msgspec

from kitekeel_steering.clock import Clock

_SILENCE_STEP_SECONDS = 1.0
_SILENCE_STEP_FACTOR = 0.9
_FAILURES_UNTIL_DOWN = 2


class LoadReport(msgspec.Struct, frozen=True):
    """One answer of a back end's load end point.

    Attributes:
        running: requests it says it is running.
        slots: slots it says it has.
        draining: it asks for no new work.
        age_seconds: how old it says its figures are.
    """

    running: int
    slots: int
    draining: bool
    age_seconds: float = 0.0


class _Record(msgspec.Struct):
    report: LoadReport
    measured_at: float
    up_since: float
    failures: int = 0
    in_flight_at_silence: int | None = None


class LoadReports:
    """The latest report of each back end of one pool.

    Args:
        stale_after_seconds: age from which a report counts as silence.
    """

    def __init__(self, clock: Clock, stale_after_seconds: float = 3.0) -> None:
        self._clock = clock
        self._stale_after_seconds = stale_after_seconds
        self._records: dict[str, _Record] = {}

    def note(self, back_end: str, report: LoadReport) -> None:
        """Take in a report."""
        now = self._clock.monotonic()
        record = self._records.get(back_end)
        measured_at = now - report.age_seconds
        if record is None or record.failures >= _FAILURES_UNTIL_DOWN:
            self._records[back_end] = _Record(report, measured_at, now)
            return
        record.failures = 0
        if measured_at <= record.measured_at:
            return
        record.report = report
        record.measured_at = measured_at
        if now - measured_at < self._stale_after_seconds:
            record.in_flight_at_silence = None

    def note_refused(self, back_end: str) -> bool:
        """Take in that a connection was refused; tell whether that means the back end is down."""
        record = self._records.get(back_end)
        if record is None:
            return False
        record.failures += 1
        return record.failures == _FAILURES_UNTIL_DOWN

    def up_since(self, back_end: str) -> float | None:
        """Return the monotonic time since which the back end answers, if it does."""
        record = self._records.get(back_end)
        return record.up_since if record else None

    def running_since(self, back_end: str, earliest: float) -> int | None:
        """Return the reported running count if it was measured after that monotonic time."""
        record = self._records.get(back_end)
        if record is None or record.measured_at < earliest:
            return None
        return record.report.running

    def room(self, back_end: str, slots: int, in_flight: int) -> int:
        """Return the slots that may be used, from the report and its age.

        Args:
            back_end: its name.
            slots: the slots configured for it.
            in_flight: work on it that the ledger knows of.
        """
        record = self._records.get(back_end)
        if record is None or record.failures >= _FAILURES_UNTIL_DOWN or record.report.draining:
            return 0
        reported = min(slots, record.report.slots)
        silence = self._silence_seconds(record)
        if silence <= 0:
            return reported
        if record.in_flight_at_silence is None:
            record.in_flight_at_silence = in_flight
        steps = int(silence / _SILENCE_STEP_SECONDS)
        return max(
            min(reported, record.in_flight_at_silence),
            int(reported * _SILENCE_STEP_FACTOR**steps),
        )

    def _silence_seconds(self, record: _Record) -> float:
        age = self._clock.monotonic() - record.measured_at
        return age - self._stale_after_seconds
