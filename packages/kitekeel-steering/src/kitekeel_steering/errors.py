"""The one tree of exceptions; each class has a stable code that logs and answers carry."""

from __future__ import annotations

from typing import ClassVar


class KitekeelError(Exception):
    """Base of all errors raised by the project.

    Attributes:
        code: stable, machine-readable name of the error.
        retry_after_seconds: when asking again makes sense, or ``None`` where it does not.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, message: str, retry_after_seconds: float | None = None) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after_seconds = retry_after_seconds


class NotRunError(KitekeelError):
    """The request was not run, under this attempt or an earlier one with the same key."""

    code = "not-run"


class NoRoomError(NotRunError):
    """No region had room before the request's deadline."""

    code = "no-room"


class QueueFullError(NotRunError):
    """The waiting places of the class are taken."""

    code = "queue-full"


class DisplacedError(NotRunError):
    """A more urgent class took the waiting place."""

    code = "displaced"


class NoConfigurationError(NotRunError):
    """The daemon has not yet learnt any configuration."""

    code = "no-configuration"


class UnknownServiceError(NotRunError):
    """The request names a service that the configuration does not have."""

    code = "unknown-service"


class ClassNotProvedError(NotRunError):
    """The caller claims a class without the key that proves the right to it."""

    code = "class-not-proved"


class BadRequestError(NotRunError):
    """A header or a path of the request does not have the documented form."""

    code = "bad-request"


class IdempotencyKeyRequiredError(NotRunError):
    """A request that may not be repeated came without an ``Idempotency-Key``."""

    code = "idempotency-key-required"


class IdempotencyKeyInvalidError(NotRunError):
    """The key's home token is forged or malformed."""

    code = "idempotency-key-invalid"


class IdempotencyKeyReusedError(NotRunError):
    """The key was used before for another method, path or service."""

    code = "idempotency-key-reused"


class KeyTableFullError(NotRunError):
    """The home remembers as many keys as it may; none is forgotten early to make place."""

    code = "key-table-full"


class BodyTooLargeError(NotRunError):
    """The request's body is longer than the settings allow."""

    code = "body-too-large"


class ConnectFailedError(NotRunError):
    """No connection to any back end could be opened, so nothing of the request left."""

    code = "connect-failed"


class EndsBackEndsError(NotRunError):
    """Back ends end when they run the request, so it is kept from them."""

    code = "ends-back-ends"


class OutcomeUnknownError(KitekeelError):
    """The request may or may not have run; it must not be reported as not run."""

    code = "unknown"


class ConnectionBrokenError(OutcomeUnknownError):
    """The connection to the back end broke after a byte of the request may have left."""

    code = "connection-broken"


class DeadlinePassedError(OutcomeUnknownError):
    """The deadline passed while the back end was working on the request."""

    code = "deadline-passed"


class HomeUnreachableError(OutcomeUnknownError):
    """The daemon that alone may run the key, and knows its outcome, cannot be reached."""

    code = "home-unreachable"


class HomeMovedError(OutcomeUnknownError):
    """The key's home is handing its keys over; the daemon that takes them will know."""

    code = "home-moved"


class ClaimFailedError(OutcomeUnknownError):
    """The platform did not tell who the home of a key without a home token is.

    This attempt was not run, but an earlier one may have been.
    """

    code = "claim-failed"


class KeyExpiredError(OutcomeUnknownError):
    """The key's home token has expired, so its outcome is no longer remembered."""

    code = "key-expired"


class StillRunningError(OutcomeUnknownError):
    """An earlier attempt under the same key was still running at this one's deadline."""

    code = "still-running"


class ConfigurationError(KitekeelError):
    """A configuration or a change to it is not acceptable."""

    code = "configuration-invalid"


class ConfigurationConflictError(ConfigurationError):
    """Another operator's change came first; nothing was written."""

    code = "configuration-conflict"


class PlatformError(KitekeelError):
    """Base of the errors in talking to the platform's service."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform's service did not answer, or answered that it cannot; nothing was written."""

    code = "platform-unavailable"


class PlatformAnswerError(PlatformError):
    """The platform's service answered something that cannot be read; the former beliefs hold."""

    code = "platform-answer-unreadable"


class PlatformBudgetError(PlatformError):
    """The daemon's own rate budget for platform calls is used up; nothing was sent."""

    code = "platform-budget"


class WriteOutcomeUnknownError(PlatformError):
    """A write was sent and its answer was lost: it may have taken effect."""

    code = "platform-write-unknown"


class ConfigurationOutcomeUnknownError(ConfigurationError):
    """The platform did not tell in time whether a change was written; it may take effect."""

    code = "configuration-outcome-unknown"


class PeerError(KitekeelError):
    """Another daemon could not be reached or refused the call."""

    code = "peer"


class PeerUnreachableError(PeerError):
    """No connection to another daemon could be opened, so that it has not heard the call."""

    code = "peer-unreachable"
