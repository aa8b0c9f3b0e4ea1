"""Counts failed exchanges against their back ends, and logs back ends that are ejected.

While the links of this daemon are lost, a failed exchange says nothing about its back end, unless
it was relayed and the received bytes show that the fault is the back end's own.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_steering.answer_bounds import CALLER_MARGIN_SECONDS
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.back_end_load import SentRequest
from kitekeel_steering.back_end_log_messages import BackEndEjected
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import (
    EndlessAnswerError,
    FaultyAnswerError,
    KitekeelError,
    OutcomeUnknownError,
)
from kitekeel_steering.placement_policy import Candidate


class SilentBackEndError(OutcomeUnknownError):
    """The back end has answered none of its requests for some time."""

    code = "back-end-silent"


class BackEndFaults:
    """Records failed exchanges.

    Args:
        links: the state of this daemon's links to back ends.
    """

    def __init__(self, links: LinkHealth, metrics: GatewayMetrics, log: DecisionLog) -> None:
        self._links = links
        self._metrics = metrics
        self._log = log

    def note_unreachable(self, candidate: Candidate, error: KitekeelError) -> None:
        """Record that no connection could be opened."""
        with self._logging_ejection(candidate, error):
            candidate.load.note_unreachable(steady_seconds())

    def note_broken(
        self,
        candidate: Candidate,
        connection: BackEndConnection,
        sent: SentRequest,
        error: KitekeelError,
    ) -> None:
        """Record an exchange that ended without a valid answer."""
        is_own_fault = bool(connection.relay) and isinstance(error, FaultyAnswerError)
        if self._is_link_lost(candidate) and not is_own_fault:
            candidate.load.note_abandoned(sent)
            return
        with self._logging_ejection(candidate, error):
            candidate.load.note_broken(sent, steady_seconds())

    def note_given_up(
        self,
        candidate: Candidate,
        connection: BackEndConnection,
        sent: SentRequest,
        deadline: float,
    ) -> None:
        """Record an exchange that was cancelled before its answer came."""
        # Bytes that came through another daemon show that its link works.
        is_own_fault = bool(connection.relay) and connection.received_bytes > 0
        if self._is_link_lost(candidate) and not is_own_fault:
            candidate.load.note_abandoned(sent)
            return
        now = steady_seconds()
        has_expired = now >= deadline - CALLER_MARGIN_SECONDS
        with self._logging_ejection(candidate, SilentBackEndError("no answer in time")):
            candidate.load.note_given_up(sent, now, has_expired)

    def note_rest_left(
        self, candidate: Candidate, connection: BackEndConnection, sent: SentRequest
    ) -> None:
        """Record that the caller left within an answer; at its deadline, it was likely endless."""
        bounds = connection.bounds
        if bounds is None or not bounds.is_overdue(steady_seconds()):
            candidate.load.note_rest_given_up(sent)
            return
        error = EndlessAnswerError("the caller left at its deadline")
        self.note_rest_faulty(candidate, sent, error)

    def note_rest_faulty(
        self, candidate: Candidate, sent: SentRequest, error: EndlessAnswerError
    ) -> None:
        """Record an answer that did not end within its bounds."""
        self._metrics.increment("back-ends.endless-answers")
        with self._logging_ejection(candidate, error):
            candidate.load.note_rest_faulty(sent, steady_seconds())

    def _is_link_lost(self, candidate: Candidate) -> bool:
        return self._links.is_lost(candidate.record.instance, candidate.record.service)

    @contextmanager
    def _logging_ejection(self, candidate: Candidate, error: KitekeelError) -> Iterator[None]:
        """Log the back end if what is recorded within the context ejects it."""
        was_ejected = candidate.load.is_ejected(steady_seconds())
        yield
        if was_ejected or not candidate.load.is_ejected(steady_seconds()):
            return
        record = candidate.record
        self._metrics.increment("back-ends.ejected")
        self._log.state(BackEndEjected(record.instance, record.service, error.message))
