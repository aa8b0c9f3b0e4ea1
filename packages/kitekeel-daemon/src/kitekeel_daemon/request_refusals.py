"""Builds the answers to requests that are refused, and decides when their callers should return."""

from __future__ import annotations

import random
from http import HTTPStatus

from kitekeel_daemon.back_end_limiter import BackEndLimiter
from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.request_outcomes import Reason, refusal
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.shortage_control import ShortageControl
from kitekeel_daemon.tenant_admission import quota_retry_after_seconds
from kitekeel_steering.clock import Clock
from kitekeel_steering.placement_policy import RefusalReason
from kitekeel_steering.proxied_messages import ProxiedAnswer

NOT_READY_RETRY_AFTER_SECONDS = 0.5
# Randomized, so that callers refused at the same time do not all retry at the same time.
_MIN_RETRY_AFTER_SECONDS = 0.4
_MAX_RETRY_AFTER_SECONDS = 0.9
_MIN_EARLY_RETRY_SECONDS = 0.03
_MAX_EARLY_RETRY_SECONDS = 0.1
# A new version of the service or an operator may lift the quarantine; an earlier retry is useless.
_QUARANTINED_RETRY_AFTER_SECONDS = 60.0


def usual_refusal() -> ProxiedAnswer:
    """Return a refusal whose cause is expected to pass within a second."""
    return refusal(random.uniform(_MIN_RETRY_AFTER_SECONDS, _MAX_RETRY_AFTER_SECONDS))


class RequestRefusals:
    """Answers refused requests; used on the event loop of the router.

    Args:
        states: provides when back ends may be sent requests again.
        limiter: provides the rate limits of back ends.
        shortage: provides when requests for a service that is short of room are admitted again.
    """

    def __init__(
        self,
        states: BackEndStates,
        limiter: BackEndLimiter,
        shortage: ShortageControl,
        clock: Clock,
    ) -> None:
        self._states = states
        self._limiter = limiter
        self._shortage = shortage
        self._clock = clock

    def answer(self, routed: RoutedRequest, reason: str) -> ProxiedAnswer:
        """Return the answer to a request that no back end ran.

        Args:
            routed: the request.
            reason: a :class:`Reason`, a :class:`RefusalReason` or the failure code of a send.
        """
        tenant = routed.caller.tenant
        if reason == Reason.TENANT_OVER_LIMIT.value and tenant is not None:
            return refusal(quota_retry_after_seconds(tenant.rate), HTTPStatus.TOO_MANY_REQUESTS)
        if reason == RefusalReason.ALL_AT_LIMIT.value:
            return refusal(quota_retry_after_seconds(self._limiter.service_rate(routed.service)))
        if reason == Reason.ENDS_BACK_ENDS.value:
            return refusal(_QUARANTINED_RETRY_AFTER_SECONDS)
        if routed.was_asked_to_pause or reason == RefusalReason.ALL_BACKING_OFF.value:
            return refusal(self._seconds_until_usable(routed))
        shortage_seconds = self._shortage.retry_after_seconds(routed)
        if shortage_seconds is not None:
            return refusal(shortage_seconds)
        if routed.was_rejected_with_free_slot:
            # Back ends have free slots, so an early retry can still meet the caller's deadline.
            return refusal(random.uniform(_MIN_EARLY_RETRY_SECONDS, _MAX_EARLY_RETRY_SECONDS))
        return usual_refusal()

    def _seconds_until_usable(self, routed: RoutedRequest) -> float:
        """Return when a retry may find a back end that has not requested a pause."""
        now = self._clock.monotonic()
        regions = routed.regions or ()
        members = self._states.candidates(routed.service, regions).members
        if any(each.is_working(now) for each in members):
            return random.uniform(_MIN_EARLY_RETRY_SECONDS, _MAX_EARLY_RETRY_SECONDS)
        remaining = self._states.backoff_end(routed.service, regions) - now
        return max(0.0, remaining) + random.uniform(
            _MIN_EARLY_RETRY_SECONDS, _MIN_RETRY_AFTER_SECONDS
        )
