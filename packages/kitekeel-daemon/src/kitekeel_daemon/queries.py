"""Builds the tables that answer operators' queries."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from kitekeel_daemon.admissions import Admissions
from kitekeel_operators.messages import QueryReply
from kitekeel_operators.statements import Subject
from kitekeel_peers.keeper import Keeper
from kitekeel_peers.membership import Membership
from kitekeel_peers.messages import describe_state
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import BackEnd, Configuration

Rows = Iterable[tuple[object, ...]]


class Queries:
    """Builds each table from this daemon's state and configuration."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        membership: Membership,
        admissions: Admissions,
        keeper: Keeper,
        metrics: MemoryMetrics,
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._admissions = admissions
        self._keeper = keeper
        self._metrics = metrics
        self._tables: dict[Subject, Callable[[], QueryReply]] = {
            Subject.SERVICES: self._services,
            Subject.REGIONS: self._regions,
            Subject.ZONES: self._zones,
            Subject.BACKENDS: self._back_ends,
            Subject.DAEMONS: self._daemons,
            Subject.CLASSES: self._classes,
            Subject.SHIFTS: self._shifts,
            Subject.DRAINS: self._drains,
            Subject.POOLS: self._pools,
            Subject.CONFIGURATION: self._commands,
            Subject.REVISIONS: self._revisions,
            Subject.COUNTERS: self._counters,
        }

    def answer(self, subject: Subject) -> QueryReply:
        """Return the table of a subject."""
        return self._tables[subject]()

    def _services(self) -> QueryReply:
        configuration = self._configuration()
        rows = (
            (
                service.name,
                sum(each.service == service.name for each in configuration.back_ends),
                sum(each.slots for each in configuration.back_ends if each.service == service.name),
                f"{service.longest_run_seconds:g}s",
                f"{service.warm_up_seconds:g}s",
                sum(self._admissions.find(service.name).waiting().values()),
            )
            for service in configuration.services
        )
        return _table(
            ("service", "backends", "slots", "longest run", "warm up", "waiting here"), rows
        )

    def _regions(self) -> QueryReply:
        configuration = self._configuration()
        live = self._membership.table.live()
        rows = (
            (
                region.name,
                " ".join(region.zones),
                region.entry_machines,
                sum(each.region == region.name for each in live),
                sum(each.slots for each in configuration.back_ends if each.region == region.name),
            )
            for region in configuration.regions
        )
        return _table(("region", "zones", "entry machines", "live daemons", "slots"), rows)

    def _zones(self) -> QueryReply:
        configuration = self._configuration()
        live = self._membership.table.live()
        rows = (
            (
                zone,
                region.name,
                sum(each.zone == zone for each in live),
                sum(each.zone == zone for each in configuration.back_ends),
                sum(
                    each.zone == zone and not configuration.is_drained(each)
                    for each in configuration.back_ends
                ),
            )
            for region in configuration.regions
            for zone in region.zones
        )
        return _table(("zone", "region", "live daemons", "backends", "not drained"), rows)

    def _back_ends(self) -> QueryReply:
        configuration = self._configuration()
        rows = (
            (
                each.name,
                each.service,
                each.zone,
                each.address,
                each.slots,
                _drain_state(configuration, each),
            )
            for each in configuration.back_ends
        )
        return _table(("backend", "service", "zone", "address", "slots", "state"), rows)

    def _daemons(self) -> QueryReply:
        rows = (
            (
                each.instance,
                each.region,
                each.zone,
                each.place,
                each.caller_address,
                each.operator_address,
                describe_state(each),
            )
            for each in sorted(self._membership.table.all(), key=lambda each: each.instance)
        )
        return _table(("daemon", "region", "zone", "place", "callers", "operators", "state"), rows)

    def _classes(self) -> QueryReply:
        rows = (
            (
                service.name,
                each.name,
                each.rank,
                f"{each.sure_share:.0%}",
                f"{each.most_share:.0%}",
                " ".join(each.pushes_aside),
                each.queue_places,
            )
            for service in self._configuration().services
            for each in service.classes
        )
        columns = ("service", "class", "rank", "sure", "most", "pushes aside", "queue places")
        return _table(columns, rows)

    def _shifts(self) -> QueryReply:
        rows: list[tuple[object, ...]] = []
        for shift in self._configuration().shifts:
            counts = self._admissions.find(shift.service).shift_counts()
            eligible, moved, share = counts.get(shift.name, (0, 0, 0.0))
            rows.append(
                (
                    shift.name,
                    shift.service,
                    shift.source,
                    shift.target,
                    f"{shift.share:.1%}",
                    shift.slot_cap or "none",
                    "returning" if shift.cancelled else "in force",
                    f"{share:.1%}",
                    eligible,
                    moved,
                )
            )
        columns = (
            "shift", "service", "from", "to", "by", "cap", "state", "share now", "eligible here",
            "moved here",
        )  # fmt: skip
        return _table(columns, rows)

    def _drains(self) -> QueryReply:
        rows = ((each.scope.value, each.name) for each in self._configuration().drains)
        return _table(("scope", "name"), rows)

    def _pools(self) -> QueryReply:
        rows: list[tuple[object, ...]] = [
            (
                each.pool,
                "keeper",
                f"{each.authority:g}",
                each.room,
                each.held_back,
                each.reserved,
                each.in_use,
            )
            for each in self._keeper.pools()
        ]
        rows.extend(
            (use.pool, "holder", "", "", "", use.held, use.in_use)
            for admission in self._admissions.all()
            for use in admission.pools()
        )
        return _table(
            (
                "pool",
                "role here",
                "authority",
                "room",
                "held back",
                "held",
                "in use",
            ),
            rows,
        )

    def _commands(self) -> QueryReply:
        configuration = self._configuration()
        rows = ((each.revision, each.command_id, each.text) for each in configuration.commands)
        return _table(("revision", "command id", "command"), rows)

    def _revisions(self) -> QueryReply:
        own = self._membership.table.own().instance
        return _table(("daemon", "revision"), [(own, self._configuration().revision)])

    def _counters(self) -> QueryReply:
        return _table(("counter", "count"), sorted(self._metrics.snapshot().items()))


def _drain_state(configuration: Configuration, back_end: BackEnd) -> str:
    return "drained" if configuration.is_drained(back_end) else "in use"


def _table(columns: tuple[str, ...], rows: Rows) -> QueryReply:
    return QueryReply(columns, tuple(tuple(str(cell) for cell in row) for row in rows))
