"""The load reports that a pool's keeper has of its back ends, and how they age.

A report can only reduce a back end's room. When reports stop, the room decreases step by step to
the work in flight when they stopped, and never increases: missing reports do not mean low load.
"""

from __future__ import annotations

import msgspec

from kitekeel_steering.clock import Clock

_STALE_STEP_SECONDS = 1.0
_STALE_STEP_FACTOR = 0.9
_FAILURES_UNTIL_DOWN = 2


class LoadReport(msgspec.Struct, frozen=True):
    """One response of a back end's load endpoint.

    Attributes:
        running: number of running requests.
        slots: number of slots.
        draining: whether it asks for no new work.
        age_seconds: age of the figures.
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
    in_flight_when_stale: int | None = None


class LoadReports:
    """The latest report of each back end of one pool.

    Args:
        stale_after_seconds: age from which a report is considered stale.
    """

    def __init__(self, clock: Clock, stale_after_seconds: float = 3.0) -> None:
        self._clock = clock
        self._stale_after_seconds = stale_after_seconds
        self._records: dict[str, _Record] = {}

    def note(self, back_end: str, report: LoadReport) -> None:
        """Record a report."""
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
            record.in_flight_when_stale = None

    def note_refused(self, back_end: str) -> bool:
        """Record a refused connection; return whether it marks the back end as down."""
        record = self._records.get(back_end)
        if record is None:
            return False
        record.failures += 1
        return record.failures == _FAILURES_UNTIL_DOWN

    def up_since(self, back_end: str) -> float | None:
        """Return the monotonic time since which the back end has been up, or ``None``."""
        record = self._records.get(back_end)
        return record.up_since if record else None

    def running_since(self, back_end: str, earliest: float) -> int | None:
        """Return the reported running requests, or ``None`` if measured before ``earliest``."""
        record = self._records.get(back_end)
        if record is None or record.measured_at < earliest:
            return None
        return record.report.running

    def room(self, back_end: str, slots: int, in_flight: int) -> int:
        """Return the slots that may be used, according to the report and its age.

        Args:
            back_end: name of the back end.
            slots: the slots configured for it.
            in_flight: its requests in flight that the ledger knows of.
        """
        record = self._records.get(back_end)
        if record is None or record.failures >= _FAILURES_UNTIL_DOWN or record.report.draining:
            return 0
        reported = min(slots, record.report.slots)
        stale_seconds = self._stale_seconds(record)
        if stale_seconds <= 0:
            return reported
        if record.in_flight_when_stale is None:
            record.in_flight_when_stale = in_flight
        steps = int(stale_seconds / _STALE_STEP_SECONDS)
        return max(
            min(reported, record.in_flight_when_stale),
            int(reported * _STALE_STEP_FACTOR**steps),
        )

    def _stale_seconds(self, record: _Record) -> float:
        age = self._clock.monotonic() - record.measured_at
        return age - self._stale_after_seconds
