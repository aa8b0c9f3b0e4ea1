"""Collects the decisions about each request; counts and logs them when the request ends."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_daemon.gateway_metrics import GatewayMetrics
from kitekeel_daemon.request_outcomes import Outcome, Reason
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.send_result import SendProgress, SendResult
from kitekeel_steering.clock import Clock
from kitekeel_steering.fleet_view import FleetView
from kitekeel_steering.log_messages import LogMessage
from kitekeel_steering.placement_policy import Placement
from kitekeel_steering.proxied_messages import HeaderNames, ProxiedRequest, find_header
from kitekeel_steering.request_log_messages import (
    RequestAdmitted,
    RequestEnded,
    RequestSent,
    SendSummary,
    TenantOverLimit,
)
from kitekeel_steering.tenant_quota import TokenClaim
from kitekeel_steering.tenants import Tenant


class RequestRecorder:
    """Records the decisions about requests in the metrics and the log.

    Args:
        view: provides the age of the information that decisions were based on.
        names: names the header that holds a request's id.
    """

    def __init__(
        self,
        view: FleetView,
        names: HeaderNames,
        clock: Clock,
        metrics: GatewayMetrics,
        log: DecisionLog,
    ) -> None:
        self._view = view
        self._names = names
        self._clock = clock
        self._metrics = metrics
        self._log = log

    def request_id(self, request: ProxiedRequest) -> str:
        """Return the id that the caller gave its request; empty if it gave none."""
        return (find_header(request.headers, self._names.request_id) or b"").decode("latin-1")

    def note_admitted(self, routed: RoutedRequest, configuration_version: int) -> None:
        """Record that a request was matched to a route and a service."""
        routed.messages.append(
            RequestAdmitted(
                request=routed.request_id,
                at=self._clock.wall(),
                route=routed.route.name,
                service=routed.service,
                priority=routed.priority,
                configuration_version=configuration_version,
                view_age=round(self._view.age_seconds(), 2),
                allowed_seconds=round(routed.deadline - routed.request.received_at, 3),
                tenant=routed.caller.tenant.name if routed.caller.tenant is not None else "",
            )
        )

    def note_over_limit(self, routed: RoutedRequest, tenant: Tenant, claim: TokenClaim) -> None:
        """Record that a request was refused because its tenant was over its rate limit."""
        routed.messages.append(
            TenantOverLimit(
                request=routed.request_id,
                at=self._clock.wall(),
                tenant=tenant.name,
                rate=tenant.rate,
                burst=tenant.burst,
                decided_by=claim.value,
            )
        )

    def note_sent(
        self,
        routed: RoutedRequest,
        placement: Placement,
        result: SendResult,
        progress: SendProgress,
        sent_at: float,
        report_age: float | None,
        number: int,
        is_second_try: bool,
    ) -> None:
        """Record a send and its result.

        Args:
            routed: the request.
            placement: the decision that chose the back end.
            result: the result of the send.
            progress: how far the send got.
            sent_at: monotonic time in seconds.
            report_age: age in seconds of the load report that the placement was based on.
            number: number of the send among those of the request, from 1.
            is_second_try: whether it was sent while an earlier send had no answer yet.
        """
        if placement.candidate is None:
            return
        instance = placement.candidate.record.instance
        region = placement.candidate.region
        routed.messages.append(
            RequestSent(
                request=routed.request_id,
                at=self._clock.wall(),
                attempt=number,
                back_end=instance,
                load_share=round(placement.load_share, 2),
                report_age=round(report_age, 2) if report_age is not None else None,
                record_age=round(self._view.record_age_seconds(instance), 1),
                seconds=round(self._clock.monotonic() - sent_at, 3),
                outcome=result.error or "answered",
                may_have_run=result.may_have_run,
                region=region,
                cause=placement.cause.value,
                connection=progress.connection.value,
                relay=progress.relay,
                second_try=is_second_try,
                open_ended=progress.is_open_ended,
                connection_number=progress.connection_number,
                exchange_number=progress.exchange_number,
                status=progress.status,
                matched_by=progress.matched_by,
                states_not_run=progress.states_not_run,
                skipped_answers=progress.skipped_answers,
            )
        )
        self._metrics.count_placement(region, placement.cause.value)

    def note_ended(self, routed: RoutedRequest, outcome: Outcome, reason: str, status: int) -> None:
        """Count a request that has ended, and log the decisions about it."""
        route = routed.route
        seconds = self._clock.monotonic() - routed.request.received_at
        is_late = seconds > route.objective_seconds
        self._metrics.note_ended(outcome.value, reason, routed.service, routed.priority, seconds)
        is_answered = outcome is Outcome.ANSWERED and status < HTTPStatus.INTERNAL_SERVER_ERROR
        is_open_ended = any(_is_open_ended(each) for each in routed.messages)
        is_ordinary = is_answered and routed.sends == 1 and not is_late and not is_open_ended
        ended = RequestEnded(
            request=routed.request_id,
            at=self._clock.wall(),
            outcome=outcome.value,
            reason=reason,
            status=status,
            attempts=routed.attempts,
            seconds=round(seconds, 3),
            view_age=round(self._view.age_seconds(), 2),
            sends=() if is_ordinary else _summarize_sends(routed.messages),
            known=routed.known,
            usable=routed.usable,
            is_late=is_late,
            identity=routed.identity,
        )
        if outcome is Outcome.REFUSED and routed.sends:
            self._metrics.increment("requests.refused-after-send")
            self._log.refusal_after_send(routed.messages, ended)
        else:
            self._log.request((*routed.messages, ended), is_ordinary)

    def note_unrouted(
        self, request: ProxiedRequest, outcome: Outcome, reason: Reason, key: str = ""
    ) -> None:
        """Count and log a request that was answered without a route, or without a valid API key.

        Args:
            request: the request.
            outcome: the outcome.
            reason: the reason for the outcome.
            key: fingerprint of the API key that the request carried; empty if it carried none.
        """
        seconds = self._clock.monotonic() - request.received_at
        self._metrics.note_ended(outcome.value, reason.value, "", 0, seconds)
        ended = RequestEnded(
            request=self.request_id(request),
            at=self._clock.wall(),
            outcome=outcome.value,
            reason=reason.value,
            status=0,
            attempts=0,
            seconds=round(seconds, 3),
            view_age=round(self._view.age_seconds(), 2),
            key=key,
            configuration_version=self._view.configuration_version(),
        )
        self._log.request((ended,), is_ordinary=False)


def _is_open_ended(message: LogMessage) -> bool:
    return isinstance(message, RequestSent) and message.open_ended


def _summarize_sends(messages: Iterable[LogMessage]) -> tuple[SendSummary, ...]:
    return tuple(
        SendSummary(
            each.back_end,
            each.connection_number,
            each.exchange_number,
            each.status,
            each.matched_by,
            each.states_not_run,
            each.outcome,
        )
        for each in messages
        if isinstance(each, RequestSent)
    )
