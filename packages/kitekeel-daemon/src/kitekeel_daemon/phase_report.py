"""Tells where requests spend their time: counters for all of them, lines for some.

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

# Upper ends of the counted classes, in milliseconds: a quiet daemon's phases are in the first two,
# and callers of urgent classes give 4 s.
_CLASS_ENDS_MS = (10, 100, 500, 1000, 2000, 4000, 8000)
# An answer that a back end's deadline made leaves by so much after it even on an idle machine.
_TOLERATED_SECONDS = 0.25
# A full queue is detected when a slot is requested; a slower refusal indicates an earlier delay.
_SLOW_REFUSAL_SECONDS = 0.5
_LINES_PER_SECOND = 20


class PhaseReport:
    """Takes the phases of each request that has ended; safe to call from many threads.

    Args:
        metrics: counts each phase by the class of its time.
        daemon: put on every line.
    """

    def __init__(self, metrics: Metrics, daemon: str) -> None:
        self._metrics = metrics
        self._daemon = daemon
        self._lines = LineBudget(_LINES_PER_SECOND)
        self._lock = threading.Lock()

    def note_ended(self, request: CallerRequest, outcome: str, cause: str) -> None:
        """Count the phases of a request, and log it if it was late, unknown or refused slowly.

        Args:
            request: its phases have ended.
            outcome: what its caller was told.
            cause: why there was no answer of a back end, empty where there was one.
        """
        for phase, seconds in request.phases.seconds.items():
            self._metrics.increment(f"phases.{phase.value}.{_time_class(seconds)}")
        late = request.phases.total_seconds() - request.deadline_seconds
        is_late = late > _TOLERATED_SECONDS
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


def _time_class(seconds: float) -> str:
    milliseconds = seconds * 1000
    for end in _CLASS_ENDS_MS:
        if milliseconds < end:
            return f"below-{end}-ms"
    return f"from-{_CLASS_ENDS_MS[-1]}-ms"
