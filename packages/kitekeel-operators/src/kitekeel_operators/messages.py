"""JSON requests and replies of the operators' HTTP interface."""

from __future__ import annotations

import msgspec

from kitekeel_steering.events import Event


class StatementRequest(msgspec.Struct, frozen=True):
    """A statement to run.

    Attributes:
        command_id: idempotency key; a command repeated with the same id takes effect once.
        dry_run: check the command and report what it would change, without changing anything.
    """

    text: str
    command_id: str = ""
    dry_run: bool = False


class ApplyRequest(msgspec.Struct, frozen=True):
    """A configuration text to apply."""

    text: str
    command_id: str = ""
    dry_run: bool = False


class CommandReply(msgspec.Struct, frozen=True):
    """The result of a command.

    Attributes:
        revision: the revision that contains the change; for a dry run, the one it would change.
        in_force: instances on which the revision is in force.
        missing: instances that have not confirmed it.
    """

    command_id: str
    revision: int
    dry_run: bool
    changes: tuple[str, ...]
    in_force: tuple[str, ...]
    missing: tuple[str, ...]


class QueryReply(msgspec.Struct, frozen=True):
    """The result of a query as a table.

    Attributes:
        rows: the rows, each with one cell for every column.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


class EventsReply(msgspec.Struct, frozen=True):
    """The events of one daemon, and the addresses of the others it knows."""

    instance: str
    events: tuple[Event, ...]
    operator_addresses: tuple[str, ...]


class FailureReply(msgspec.Struct, frozen=True):
    """The code and message of a failed request; also the reply to a stop request."""

    code: str
    message: str
    retry_after_seconds: float | None = None
