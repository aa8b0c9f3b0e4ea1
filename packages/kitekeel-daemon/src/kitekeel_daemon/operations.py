"""Implements the operator interface of a daemon."""

from __future__ import annotations

import secrets
import threading

from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_daemon.queries import Queries
from kitekeel_operators.changes import change_configuration
from kitekeel_operators.describe import describe_changes
from kitekeel_operators.messages import CommandReply, EventsReply, QueryReply
from kitekeel_operators.statements import Command, Subject
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.membership import Membership
from kitekeel_peers.messages import MemberRecord, MemberState, SpreadTarget
from kitekeel_platform.configuration_store import ConfigurationStore

_WRITE_SECONDS = 8.0
_SPREAD_SECONDS = 4.0


class DaemonOperations:
    """Answers operators' queries and executes their commands."""

    def __init__(
        self,
        store: ConfigurationStore,
        spread: ConfigurationSpread,
        membership: Membership,
        queries: Queries,
        recorder: EventRecorder,
        stop_requested: threading.Event,
    ) -> None:
        self._store = store
        self._spread = spread
        self._membership = membership
        self._queries = queries
        self._recorder = recorder
        self._stop_requested = stop_requested

    def query(self, subject: Subject) -> QueryReply:
        """Return the table of a subject; the revisions table includes the other daemons."""
        if subject is Subject.REVISIONS:
            return self._revisions()
        return self._queries.answer(subject)

    def command(self, command: Command, text: str, command_id: str, dry_run: bool) -> CommandReply:
        """Write a configuration change to the platform, then distribute it to every daemon."""
        before = self._spread.current()
        if dry_run:
            changed = change_configuration(before, command)
            changes = describe_changes(before, changed)
            return CommandReply(command_id, before.revision, True, changes, (), ())
        command_id = command_id or secrets.token_hex(8)
        written = self._store.change(
            command_id,
            text,
            lambda base: change_configuration(base, command),
            _WRITE_SECONDS,
            self._spread.current,
        )
        self._recorder.add("command-accepted", f"revision {written.revision}: {text}")
        self._spread.adopt(written)
        targets = self._spread_targets()
        confirmed = self._spread.spread(targets, _SPREAD_SECONDS)
        missing = sorted({each.instance for each in targets} - confirmed)
        return CommandReply(
            command_id=command_id,
            revision=written.revision,
            dry_run=False,
            changes=describe_changes(before, written),
            in_force=tuple(sorted(confirmed)),
            missing=tuple(missing),
        )

    def events(self) -> EventsReply:
        """Return this daemon's events and the operator addresses of the other daemons."""
        own = self._membership.table.own()
        others = {
            each.operator_address
            for each in self._membership.table.all()
            if each.state is not MemberState.LEFT and each.instance != own.instance
        }
        return EventsReply(own.instance, tuple(self._recorder.log.all()), tuple(sorted(others)))

    def stop(self) -> None:
        """Begin a planned stop."""
        self._stop_requested.set()

    def _revisions(self) -> QueryReply:
        targets = self._spread_targets()
        confirmed = self._spread.spread(targets, _SPREAD_SECONDS)
        revision = str(self._spread.revision())
        rows = tuple(
            (each.instance, revision if each.instance in confirmed else "not confirmed")
            for each in sorted(targets, key=lambda each: each.instance)
        )
        return QueryReply(("daemon", "revision"), rows)

    def _spread_targets(self) -> list[SpreadTarget]:
        """Return every daemon that should have the configuration.

        A daemon believed dead is included until another daemon has taken its place, because it may
        only be unreachable.
        """
        records = self._membership.table.all()
        occupied_places = {_place(each) for each in records if each.state <= MemberState.SUSPECT}
        return [
            SpreadTarget(each.instance, each.peer_address)
            for each in records
            if each.state <= MemberState.SUSPECT
            or (each.state is MemberState.DEAD and _place(each) not in occupied_places)
        ]


def _place(record: MemberRecord) -> tuple[str, int]:
    return record.region, record.place
