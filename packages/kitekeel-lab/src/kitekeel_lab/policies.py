"""Other ways of taking slots, to be measured beside grants: each daemon decides alone.

``two-choices`` sends each request to the better, by reported load, of two drawn at random.
``static-split`` gives each entry machine of a region an equal part of every back end's slots.
"""

from __future__ import annotations

import enum
import random
import threading
from pathlib import Path

from kitekeel_backends.load_probes import LoadProbes, ProbeTarget
from kitekeel_daemon.daemon import Daemon
from kitekeel_daemon.main import run_checked
from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.grant_messages import (
    Allowance,
    DemandKey,
    ExchangeReply,
    KeeperState,
    PoolName,
    Quota,
)
from kitekeel_steering.grant_table import GrantTable
from kitekeel_steering.load_reports import LoadReport
from kitekeel_steering.model import BackEnd
from kitekeel_steering.settings import parse_settings

_RENEW_SECONDS = 0.25
_UNLIMITED = 100_000


class Policy(enum.Enum):
    """How a daemon takes slots."""

    GRANTS = "grants"
    TWO_CHOICES = "two-choices"
    STATIC_SPLIT = "static-split"


class TwoChoicesTable(GrantTable):
    """Chooses by reported load between two back ends drawn at random."""

    reported: dict[str, int] = {}
    _drawn = random.Random(1)

    def _least_used(self, excluded: frozenset[str]) -> str | None:
        names = [name for name in self._allowed if name not in excluded]
        if not names:
            return None
        pair = self._drawn.sample(names, min(2, len(names)))
        return min(pair, key=lambda name: self.reported.get(name, 0))


class LocalExchanges:
    """Stands in for the exchanges with a keeper: grants itself what the policy allows."""

    def __init__(self, daemon: Daemon, pool: PoolName, policy: Policy) -> None:
        self._daemon = daemon
        self._pool = pool
        self._policy = policy

    def ask_soon(self) -> None:
        """Do nothing: there is nobody to ask."""

    def run(self, stop: threading.Event) -> None:
        """Renew the own allowances until told to stop."""
        admission = self._daemon.admissions.find(self._pool.service)
        while not stop.is_set():
            request = admission.prepare_exchange(self._pool, True, False, 0.0)
            allowances = tuple(
                Allowance(each.name, self._slots(each)) for each in self._back_ends()
            )
            reply = ExchangeReply(
                request.sequence, KeeperState.GRANTING, allowances, self._quotas(), 1.0
            )
            admission.apply_reply(self._pool, reply)
            stop.wait(_RENEW_SECONDS)

    def _back_ends(self) -> list[BackEnd]:
        configuration = self._daemon.spread.current()
        pool = configuration.pool_back_ends(self._pool.service, self._pool.region)
        return [each for each in pool if not configuration.is_drained(each)]

    def _slots(self, back_end: BackEnd) -> int:
        if self._policy is Policy.TWO_CHOICES:
            return _UNLIMITED
        region = self._daemon.spread.current().find_region(self._pool.region)
        machines = region.entry_machines if region else 1
        if self._daemon.settings.daemon.region != self._pool.region:
            return 0
        turn = (self._daemon.settings.daemon.place + sum(back_end.name.encode())) % machines
        return back_end.slots // machines + int(turn < back_end.slots % machines)

    def _quotas(self) -> tuple[Quota, ...]:
        service = self._daemon.spread.current().find_service(self._pool.service)
        classes = service.classes if service else ()
        return tuple(Quota(DemandKey(each.name), _UNLIMITED) for each in classes)


class PolicyDaemon(Daemon):
    """A daemon that takes slots by another policy."""

    policy = Policy.TWO_CHOICES

    def _make_exchanges(self, pool: PoolName) -> LocalExchanges:  # type: ignore[override]
        return LocalExchanges(self, pool, self.policy)

    def start(self) -> None:
        """Start, and follow the load reports of all back ends."""
        super().start()
        if self.policy is Policy.TWO_CHOICES:
            probes = LoadProbes(self._all_back_ends, self._note_report, lambda _: None, 0.2)
            threading.Thread(target=probes.run, args=(threading.Event(),), daemon=True).start()

    def _all_back_ends(self) -> list[ProbeTarget]:
        region = self.settings.daemon.region
        return [
            ProbeTarget(each.name, each.address)
            for each in self.spread.current().back_ends
            if each.region == region
        ]

    def _note_report(self, name: str, report: LoadReport) -> None:
        TwoChoicesTable.reported[name] = report.running


def run_policy_daemon(policy: Policy, settings: Path) -> int:
    """Run a daemon with a policy of the lab until it is told to stop."""
    PolicyDaemon.policy = policy
    if policy is Policy.TWO_CHOICES:
        ServiceAdmission.table_type = TwoChoicesTable
    return run_checked(parse_settings(settings.read_text(), str(settings)), PolicyDaemon)
