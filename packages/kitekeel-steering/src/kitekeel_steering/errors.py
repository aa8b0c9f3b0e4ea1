"""The exception hierarchy; each class has a stable code that appears in logs and answers."""

from __future__ import annotations

from typing import ClassVar


class KitekeelError(Exception):
    """Base of all errors raised by the project.

    Attributes:
        code: stable, machine-readable name of the error.
        retry_after_seconds: time after which a retry makes sense, or ``None`` if it does not.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_seconds = retry_after_seconds


class NotRunError(KitekeelError):
    """The request was not run, neither by this attempt nor by an earlier one with the same key."""

    code = "not-run"


class NoRoomError(NotRunError):
    """No region had a free slot before the deadline of the request."""

    code = "no-room"


class QueueFullError(NotRunError):
    """The queue of the class is full."""

    code = "queue-full"


class DisplacedError(NotRunError):
    """A request of a more urgent class took the place of the request in the queue."""

    code = "displaced"


class NoConfigurationError(NotRunError):
    """The daemon has not received a configuration yet."""

    code = "no-configuration"


class UnknownServiceError(NotRunError):
    """The request names a service that is not in the configuration."""

    code = "unknown-service"


class ClassNotProvedError(NotRunError):
    """The caller requests a priority class without presenting the key of that class."""

    code = "class-not-proved"


class BadRequestError(NotRunError):
    """A header or the path of the request is malformed."""

    code = "bad-request"


class IdempotencyKeyRequiredError(NotRunError):
    """A non-idempotent request has no ``Idempotency-Key``."""

    code = "idempotency-key-required"


class IdempotencyKeyInvalidError(NotRunError):
    """The home token of the key is forged or malformed."""

    code = "idempotency-key-invalid"


class IdempotencyKeyReusedError(NotRunError):
    """The key was used before for another method, path or service."""

    code = "idempotency-key-reused"


class KeyTableFullError(NotRunError):
    """The home has reached its maximum number of keys; unexpired keys are not evicted."""

    code = "key-table-full"


class BodyTooLargeError(NotRunError):
    """The body of the request is larger than the settings allow."""

    code = "body-too-large"


class ConnectFailedError(NotRunError):
    """No connection to any back end could be opened, so no part of the request was sent."""

    code = "connect-failed"


class RequestQuarantinedError(NotRunError):
    """The request is quarantined because back-end processes end when they run it."""

    code = "ends-back-ends"


class OutcomeUnknownError(KitekeelError):
    """The request may or may not have run; it must not be reported as not run."""

    code = "unknown"


class ConnectionBrokenError(OutcomeUnknownError):
    """The connection to the back end broke after part of the request may have been sent."""

    code = "connection-broken"


class FaultyAnswerError(ConnectionBrokenError):
    """The back end ended the exchange without a valid answer, so the fault is not the link's."""

    code = "faulty-answer"


class EndlessAnswerError(FaultyAnswerError):
    """The back end sent more than a sound answer holds, or too little of it in time."""

    code = "endless-answer"


class DeadlinePassedError(OutcomeUnknownError):
    """The deadline passed while the back end was working on the request."""

    code = "deadline-passed"


class HomeUnreachableError(OutcomeUnknownError):
    """The home of the key, the only daemon that may run it or knows its outcome, is unreachable."""

    code = "home-unreachable"


class HomeMovedError(OutcomeUnknownError):
    """The home is handing its keys over to another daemon, which will know the outcome."""

    code = "home-moved"


class ClaimFailedError(OutcomeUnknownError):
    """The platform did not return the home of a key that has no home token.

    This attempt was not run, but an earlier one may have been.
    """

    code = "claim-failed"


class KeyExpiredError(OutcomeUnknownError):
    """The home token of the key has expired, so the outcome is no longer stored."""

    code = "key-expired"


class StillRunningError(OutcomeUnknownError):
    """An earlier attempt with the same key was still running at the deadline of this attempt."""

    code = "still-running"


class ConfigurationError(KitekeelError):
    """A configuration, or a change to it, is invalid."""

    code = "configuration-invalid"


class ConfigurationConflictError(ConfigurationError):
    """The configuration was changed concurrently by another operator; nothing was written."""

    code = "configuration-conflict"


class PlatformError(KitekeelError):
    """Base of errors in calls to the platform's service."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform's service did not answer or reported itself unavailable; nothing was written."""

    code = "platform-unavailable"


class PlatformAnswerError(PlatformError):
    """The answer of the platform's service cannot be parsed; the previous state is kept."""

    code = "platform-answer-unreadable"


class PlatformBudgetError(PlatformError):
    """The daemon's rate limit for platform calls is exhausted; nothing was sent."""

    code = "platform-budget"


class WriteOutcomeUnknownError(PlatformError):
    """A write was sent but its answer was lost; the write may have taken effect."""

    code = "platform-write-unknown"


class ConfigurationOutcomeUnknownError(ConfigurationError):
    """The platform did not confirm a change in time; the change may still take effect."""

    code = "configuration-outcome-unknown"


class PeerError(KitekeelError):
    """A call to another daemon failed because it was unreachable or refused the call."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No connection to another daemon could be opened, so it has not received the call."""

    code = "peer-unreachable"
