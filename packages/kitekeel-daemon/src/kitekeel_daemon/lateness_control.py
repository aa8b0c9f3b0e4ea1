"""Refuses requests before their bodies are read while the daemon's event loop runs late."""

from __future__ import annotations

from collections.abc import Callable

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.admission_lottery import is_admitted
from kitekeel_steering.clock import Clock
from kitekeel_steering.lateness_admission import LatenessAdmission, is_out_of_reach
from kitekeel_steering.load_log_messages import LateRefusalsBegan, LateRefusalsEnded
from kitekeel_steering.loop_lateness import LoopLateness
from kitekeel_steering.proxied_messages import HeaderNames, ProxiedRequest
from kitekeel_steering.request_identity import identify_caller


class LatenessControl:
    """Decides for each request at its head; used on one event loop.

    Args:
        is_enabled: whether the settings state the daemon's machine.
        lateness: lateness of the event loop.
        objective_seconds: returns the shortest objective of the configuration.
        names: names of the headers that identify a request.
    """

    def __init__(
        self,
        is_enabled: bool,
        lateness: LoopLateness,
        objective_seconds: Callable[[], float],
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._is_enabled = is_enabled
        self._lateness = lateness
        self._objective_seconds = objective_seconds
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._admission = LatenessAdmission()

    def level(self) -> float:
        """Return the part of the requests that is admitted."""
        return self._admission.level

    def is_late(self) -> bool:
        """Return whether requests may be refused at present."""
        if not self._is_enabled:
            return False
        now = self._clock.monotonic()
        if self._admission.is_due(now):
            self._update(now)
        return self._admission.level < 1.0

    def is_refused(self, request: ProxiedRequest, priority: int, deadline: float) -> bool:
        """Return whether a request is refused; called only while :meth:`is_late`.

        Args:
            request: the request without its body.
            priority: its rank; 0 is the most urgent.
            deadline: monotonic time by which its caller must have the answer.
        """
        self._admission.note_asked(priority)
        remaining_seconds = deadline - self._clock.monotonic()
        if not is_out_of_reach(remaining_seconds, self._lateness.lasting_seconds()):
            identity = identify_caller(request, self._names)
            if is_admitted(identity, self._admission.level_of(priority), self._clock.wall()):
                return False
        self._metrics.increment("callers.late-refused")
        return True

    def _update(self, now: float) -> None:
        was_late = self._admission.level < 1.0
        lateness_seconds = self._lateness.lasting_seconds()
        objective_seconds = self._objective_seconds()
        self._admission.update(lateness_seconds, objective_seconds, now)
        is_late = self._admission.level < 1.0
        if is_late and not was_late:
            self._log.state(LateRefusalsBegan(round(lateness_seconds, 3), objective_seconds))
        elif was_late and not is_late:
            self._log.state(LateRefusalsEnded(round(lateness_seconds, 3)))
