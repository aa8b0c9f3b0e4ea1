"""The operators' HTTP interface: CherryPy handlers that call the daemon's operations."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from importlib import resources
from typing import Any, Protocol, TypeVar

import cherrypy
import msgspec

from kitekeel_operators.language import LanguageError, parse_command, parse_statement
from kitekeel_operators.messages import (
    ApplyRequest,
    CommandReply,
    EventsReply,
    FailureReply,
    QueryReply,
    StatementRequest,
)
from kitekeel_operators.statements import ApplyCommand, Command, Query, Subject
from kitekeel_steering.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    ConfigurationOutcomeUnknownError,
    KitekeelError,
    PlatformError,
)

KEY_HEADER = "Kitekeel-Operator-Key"

_MAX_BODY_BYTES = 2 * 1024 * 1024
_BAD_REQUEST = 400
_FORBIDDEN = 403
_CONFLICT = 409
_UNAVAILABLE = 503
_INTERNAL = 500

Body = TypeVar("Body", bound=msgspec.Struct)


class Operations(Protocol):
    """Operations of a daemon that operators can call."""

    def query(self, subject: Subject) -> QueryReply:
        """Return a table of the current state of a subject."""

    def command(self, command: Command, text: str, command_id: str, dry_run: bool) -> CommandReply:
        """Execute a command, or only check it in a dry run."""

    def events(self) -> EventsReply:
        """Return the daemon's events."""

    def stop(self) -> None:
        """Begin a planned stop."""


class OperatorEndpoints:
    """Handlers of ``/v1/...``; all but the OpenAPI document require the operators' key."""

    def __init__(self, operations: Operations, key: str) -> None:
        self._operations = operations
        self._key = key.encode()

    @cherrypy.expose
    def query(self) -> bytes:
        """Run a query."""
        return self._respond(lambda: self._query(_read_body(StatementRequest)))

    @cherrypy.expose
    def command(self) -> bytes:
        """Run a command."""
        return self._respond(lambda: self._command(_read_body(StatementRequest)))

    @cherrypy.expose
    def apply(self) -> bytes:
        """Apply a configuration text."""
        return self._respond(lambda: self._apply(_read_body(ApplyRequest)))

    @cherrypy.expose
    def events(self) -> bytes:
        """Return the events of this daemon."""
        return self._respond(self._operations.events)

    @cherrypy.expose
    def stop(self) -> bytes:
        """Begin a planned stop of this daemon."""
        return self._respond(self._stop)

    @cherrypy.expose
    def openapi(self) -> bytes:
        """Return the OpenAPI document of the callers' and operators' interfaces."""
        cherrypy.response.headers["Content-Type"] = "application/json"
        return resources.files("kitekeel_operators").joinpath("openapi.json").read_bytes()

    def _query(self, request: StatementRequest) -> QueryReply:
        statement = parse_statement(request.text)
        if not isinstance(statement, Query):
            raise LanguageError(1, "a command", ("'show'",))
        return self._operations.query(statement.subject)

    def _command(self, request: StatementRequest) -> CommandReply:
        command = parse_command(request.text)
        return self._operations.command(command, request.text, request.command_id, request.dry_run)

    def _apply(self, request: ApplyRequest) -> CommandReply:
        command = ApplyCommand(request.text)
        return self._operations.command(
            command, "apply a configuration text", request.command_id, request.dry_run
        )

    def _stop(self) -> FailureReply:
        self._operations.stop()
        return FailureReply("stopping", "the daemon leaves, finishes its work and stops")

    def _respond(self, operation: Callable[[], msgspec.Struct]) -> bytes:
        cherrypy.response.headers["Content-Type"] = "application/json"
        given_key = str(cherrypy.request.headers.get(KEY_HEADER, ""))
        if not hmac.compare_digest(given_key.encode(), self._key):
            cherrypy.response.status = _FORBIDDEN
            return msgspec.json.encode(FailureReply("operator-key", "the operators' key is wrong"))
        try:
            return msgspec.json.encode(operation())
        except KitekeelError as error:
            cherrypy.response.status = _http_status(error)
            failure = FailureReply(error.code, error.message, error.retry_after_seconds)
            return msgspec.json.encode(failure)


def create_operator_application(operations: Operations, key: str) -> Any:
    """Return the WSGI application of the operators' interface."""
    application = cherrypy.Application(OperatorEndpoints(operations, key), script_name="/v1")
    application.merge(
        {
            "/": {
                "request.show_tracebacks": False,
                "request.process_request_body": False,
                "tools.log_headers.on": False,
                "tools.log_tracebacks.on": False,
                "error_page.default": _error_page,
            }
        }
    )
    # Counters cover the calls; the log records only changes of state.
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def _read_body(body_type: type[Body]) -> Body:
    length = int(cherrypy.request.headers.get("Content-Length") or 0)
    if length > _MAX_BODY_BYTES:
        raise ConfigurationError(f"a request may have {_MAX_BODY_BYTES} bytes")
    raw = cherrypy.request.rfile.read(length)
    try:
        return msgspec.json.decode(raw, type=body_type)
    except msgspec.DecodeError as error:
        raise ConfigurationError(f"the request is not the documented JSON: {error}") from error


def _http_status(error: KitekeelError) -> int:
    if isinstance(error, ConfigurationConflictError):
        return _CONFLICT
    if isinstance(error, PlatformError | ConfigurationOutcomeUnknownError):
        return _UNAVAILABLE
    if isinstance(error, ConfigurationError | LanguageError):
        return _BAD_REQUEST
    return _INTERNAL


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(FailureReply("http", f"{status}: {message}"))
