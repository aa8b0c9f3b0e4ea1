"""Requests and answers of the operators' HTTP interface, as JSON."""

from __future__ import annotations

import msgspec

from kitekeel_steering.events import Event


class StatementRequest(msgspec.Struct, frozen=True):
    """A statement to run.

    Attributes:
        command_id: repeats of a command under the same id take effect once.
        dry_run: check the command and say what it would change, and change nothing.
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
    """What became of a command.

    Attributes:
        revision: the revision that has it; for a dry run the one that it would change.
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
    """A table.

    Attributes:
        rows: as many cells as there are columns.
    """

    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


class EventsReply(msgspec.Struct, frozen=True):
    """The events of one daemon, and the addresses of the others it knows."""

    instance: str
    events: tuple[Event, ...]
    operator_addresses: tuple[str, ...]


class FailureReply(msgspec.Struct, frozen=True):
    """Why a request was not done."""

    code: str
    message: str
    retry_after_seconds: float | None = None
