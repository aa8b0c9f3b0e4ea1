"""Reports how long requests spend in each phase: counters for all, log lines for some.

A request is logged if it was answered late, if its outcome is unknown, or if it was refused for a
full queue after a delay.
"""

from __future__ import annotations

import threading

import eliot

from kitekeel_callers.answers import NOT_RUN, UNKNOWN
from kitekeel_callers.caller_request import CallerRequest
from kitekeel_daemon.line_budget import LineBudget
from kitekeel_steering.errors import QueueFullError
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.request_phases import Phase

# Upper bounds of the histogram buckets, in milliseconds. The phases of a lightly loaded daemon fall
# into the first two, and callers of urgent classes allow 4 s.
_BUCKET_BOUNDS_MS = (10, 100, 500, 1000, 2000, 4000, 8000)
# Even on an idle machine, an answer caused by a back end's deadline leaves this long after it.
_LATENESS_TOLERANCE_SECONDS = 0.25
# A full queue is detected when a slot is requested; a slower refusal indicates an earlier delay.
_SLOW_REFUSAL_SECONDS = 0.5
_LINES_PER_SECOND = 20


class PhaseReport:
    """Counts and logs the phases of requests that have ended; safe to call from many threads.

    Args:
        metrics: counts each phase in the bucket of its duration.
        daemon: name of the daemon, written to every log line.
    """

    def __init__(self, metrics: Metrics, daemon: str) -> None:
        self._metrics = metrics
        self._daemon = daemon
        self._lines = LineBudget(_LINES_PER_SECOND)
        self._lock = threading.Lock()

    def note_ended(self, request: CallerRequest, outcome: str, cause: str) -> None:
        """Count the phases of a request, and log it if it was late, unknown or refused slowly.

        Args:
            request: the request, whose phases have ended.
            outcome: the outcome reported to the caller.
            cause: why no back end answered; empty if one did.
        """
        for phase, seconds in request.phases.seconds.items():
            self._metrics.increment(f"phases.{phase.value}.{_duration_bucket(seconds)}")
        late = request.phases.total_seconds() - request.deadline_seconds
        is_late = late > _LATENESS_TOLERANCE_SECONDS
        if is_late:
            self._metrics.increment("requests.late")
        message_type = _message_type(request, outcome, cause, is_late)
        if not message_type:
            return
        with self._lock:
            may_write = self._lines.try_take(1)
        if may_write:
            self._write(message_type, request, outcome, cause, late)

    def _write(
        self, message_type: str, request: CallerRequest, outcome: str, cause: str, late: float
    ) -> None:
        spent = request.phases.seconds
        eliot.log_message(
            message_type=message_type,
            daemon=self._daemon,
            request_id=request.forwarded.request_id,
            service=request.service,
            class_name=request.class_name,
            outcome=outcome,
            cause=cause,
            deadline_seconds=request.deadline_seconds,
            late_seconds=round(late, 3),
            phases={each.value: round(spent[each], 3) for each in Phase if each in spent},
        )


def _message_type(request: CallerRequest, outcome: str, cause: str, is_late: bool) -> str:
    """Return the message type of a request's log line, or an empty string if it has none."""
    if is_late:
        return "request-late"
    if outcome == UNKNOWN:
        return "request-unknown"
    is_slow = request.phases.total_seconds() > _SLOW_REFUSAL_SECONDS
    if outcome == NOT_RUN and is_slow and cause.startswith(QueueFullError.code):
        return "request-refused-late"
    return ""


def _duration_bucket(seconds: float) -> str:
    milliseconds = seconds * 1000
    for end in _BUCKET_BOUNDS_MS:
        if milliseconds < end:
            return f"below-{end}-ms"
    return f"from-{_BUCKET_BOUNDS_MS[-1]}-ms"
