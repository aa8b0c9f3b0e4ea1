"""A seeded random fault run over the whole system, with every promise checked at the end.

Equal seeds give equal schedules of faults and of arrivals; what the machine makes of their timing
differs from run to run.
"""

from __future__ import annotations

import random
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import msgspec

from kitekeel_lab.back_end_messages import BackEndFaults
from kitekeel_lab.caller import Result
from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import make_deployment, sample_text
from kitekeel_lab.load_messages import LoadRecord
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.partition import ProxiedNetwork
from kitekeel_lab.platform_server import PlatformFaults
from kitekeel_lab.proofs import Breaches, find_breaches
from kitekeel_lab.workloads import CATALOGUE, make_streams
from kitekeel_operators.client import DaemonUnreachableError, OperatorRefusedError
from kitekeel_operators.messages import CommandReply

_DAEMONS_PER_REGION = 3
_BACK_ENDS_PER_POOL = 2
_LOAD = 0.4
_MEAN_WORK_SECONDS = 0.25
_REPEATS = 2
_QUIET_SECONDS = 12.0
_SETTLE_SECONDS = 20.0
_POLL_SECONDS = 0.2
# Long enough for daemons to see that the former process is gone.
_RESTART_SECONDS = 1.0


class ChaosReport(msgspec.Struct, frozen=True):
    """The outcome of a run.

    Attributes:
        schedule: the faults, each with its time in the load.
        reverted: instances seen at a lower revision than before.
        lost_changes: accepted commands that the last configuration does not have.
        unknown_share: share of the requests whose outcome stayed unknown.
    """

    seed: int
    minutes: float
    requests: int
    results: dict[str, int]
    schedule: tuple[str, ...]
    breaches: Breaches
    over_slots: int
    reverted: tuple[str, ...]
    accepted_changes: int
    lost_changes: tuple[str, ...]
    unknown_share: float
    revisions_at_end: dict[str, str]

    def is_clean(self) -> bool:
        """Tell whether every promise was kept."""
        if self.breaches.broken_promises() or self.over_slots:
            return False
        return (
            not self.reverted
            and not self.lost_changes
            and len(set(self.revisions_at_end.values())) == 1
        )


class ChaosRun:
    """One run.

    Args:
        has_announcements: whether back ends announce their end or ask for pauses, too. Without,
            seeds draw the same faults as before these existed.
    """

    def __init__(self, seed: int, minutes: float, has_announcements: bool = False) -> None:
        self._has_announcements = has_announcements
        self._seed = seed
        self._seconds = minutes * 60
        self._random = random.Random(seed)
        self._deployment = make_deployment(
            sample_text("catalogue"), _DAEMONS_PER_REGION, _BACK_ENDS_PER_POOL
        )
        self._network = ProxiedNetwork(self._deployment, proxies_callers=False)
        self._cluster = Cluster(
            self._deployment,
            listen=self._network.listen,
            platform_address_of=self._network.platform_address_of,
        )
        self._names = [each.name for each in self._deployment.daemons]
        self._schedule: list[str] = []
        self._accepted: list[CommandReply] = []
        self._revisions: dict[str, int] = {}
        self._reverted: set[str] = set()
        self._done = threading.Event()

    def run(self) -> ChaosReport:
        """Start all, fail what the seed says, and check."""
        with self._cluster:
            self._network.open(self._cluster)
            self._cluster.start()
            self._cluster.wait_for_grants()
            configuration = self._deployment.configuration
            streams = make_streams(configuration, CATALOGUE, _LOAD, _MEAN_WORK_SECONDS)
            load = LoadRun(
                self._cluster, streams, self._seconds, self._seed, threads=300, repeats=_REPEATS
            )
            watcher = threading.Thread(target=self._watch_revisions, daemon=True)
            watcher.start()
            self._fail_until(load, self._seconds - _QUIET_SECONDS)
            self._repair()
            records = load.collect()
            revisions = self._settle()
            self._done.set()
            watcher.join()
            repeatable = {each.name for each in streams if each.request.repeatable}
            report = self._judge(records, repeatable, revisions)
            self._network.close()
            return report

    def _fail_until(self, load: LoadRun, end: float) -> None:
        faults: list[Callable[[], str]] = [
            self._kill,
            self._freeze,
            self._stop,
            self._cut_region,
            self._split_region,
            self._platform_outage,
            self._lose_writes,
            self._operator_race,
            self._operator_race,
            self._break_back_ends,
        ]
        if self._has_announcements:
            faults += [self._leave, self._ask_for_pauses]
        at = 2.0
        while at < end:
            load.wait_for(at)
            fault = self._random.choice(faults)
            text = f"{at:.1f} s: {fault()}"
            self._schedule.append(text)
            print(f"chaos {self._seed}: {text}", file=sys.stderr)
            at = max(at, load.elapsed()) + self._random.uniform(1.5, 5.0)

    def _pick(self) -> str:
        return self._random.choice(self._names)

    def _later(self, seconds: float, action: Callable[[], object]) -> None:
        timer = threading.Timer(seconds, action)
        timer.daemon = True
        timer.start()

    def _kill(self) -> str:
        name, seconds = self._pick(), self._random.uniform(0.5, 6.0)
        if self._cluster.is_usable(name):
            self._cluster.kill(name)
            self._later(seconds, lambda: self._cluster.start_daemon(name))
        return f"kill {name}, start it again after {seconds:.1f} s"

    def _freeze(self) -> str:
        name, seconds = self._pick(), self._random.uniform(0.5, 8.0)
        if self._cluster.is_usable(name):
            self._cluster.freeze(name)
            self._later(seconds, lambda: self._cluster.thaw(name))
        return f"freeze {name} for {seconds:.1f} s"

    def _stop(self) -> str:
        name = self._pick()
        if self._cluster.is_usable(name):
            self._cluster.stop(name)
            self._later(0.0, lambda: self._restart_stopped(name))
        return f"planned stop of {name}, then start it again"

    def _restart_stopped(self, name: str) -> None:
        self._cluster.wait_stopped(name, 90.0)
        if not self._done.is_set():
            self._cluster.start_daemon(name)

    def _cut_region(self) -> str:
        region = self._random.choice(self._deployment.configuration.regions).name
        inside = [each.name for each in self._deployment.daemons if each.region == region]
        outside = [name for name in self._names if name not in inside]
        self._network.cut(inside, outside)
        seconds = self._random.uniform(2.0, 8.0)
        self._later(seconds, self._network.heal)
        return f"cut {region} from the others for {seconds:.1f} s"

    def _split_region(self) -> str:
        region = self._random.choice(self._deployment.configuration.regions).name
        inside = [each.name for each in self._deployment.daemons if each.region == region]
        self._random.shuffle(inside)
        self._network.cut(inside[:1], inside[1:])
        seconds = self._random.uniform(2.0, 8.0)
        self._later(seconds, self._network.heal)
        return f"cut {inside[0]} from its region for {seconds:.1f} s"

    def _platform_outage(self) -> str:
        seconds = self._random.uniform(2.0, 10.0)
        self._cluster.set_platform_faults(PlatformFaults(down=True))
        self._later(seconds, lambda: self._cluster.set_platform_faults(PlatformFaults()))
        return f"platform down for {seconds:.1f} s"

    def _lose_writes(self) -> str:
        self._cluster.set_platform_faults(PlatformFaults(delay_seconds=0.2, lose_write_answers=2))
        self._later(6.0, lambda: self._cluster.set_platform_faults(PlatformFaults()))
        return "platform slow, loses the answers of 2 writes"

    def _break_back_ends(self) -> str:
        faults = BackEndFaults(break_share=0.2, cut_share=0.1)
        self._cluster.set_back_end_faults(faults)
        self._later(3.0, lambda: self._cluster.set_back_end_faults(BackEndFaults()))
        return "back ends break 20% and cut 10% of their answers for 3 s"

    def _leave(self) -> str:
        """A back end announces its end, ends, and starts again."""
        name = self._random.choice(self._deployment.configuration.back_ends).name
        seconds = self._random.uniform(3.0, 6.0)
        self._cluster.set_back_end_faults(BackEndFaults(announces_end=True), (name,))
        self._later(seconds, lambda: self._replace_back_end(name))
        return f"{name} announces its end for {seconds:.1f} s, then starts again"

    def _replace_back_end(self, name: str) -> None:
        self._cluster.stop_back_end(name)
        self._cluster.set_back_end_faults(BackEndFaults(), (name,))
        time.sleep(_RESTART_SECONDS)
        self._cluster.start_back_end(name)

    def _ask_for_pauses(self) -> str:
        """All back ends of a pool turn requests away and ask for a pause."""
        first = self._random.choice(self._deployment.configuration.back_ends)
        names = tuple(
            each.name
            for each in self._deployment.configuration.back_ends
            if (each.service, each.region) == (first.service, first.region)
        )
        asked = f"{self._random.uniform(0.5, 3.0):.2f}"
        seconds = self._random.uniform(1.0, 5.0)
        self._cluster.set_back_end_faults(BackEndFaults(retry_after=asked), names)
        self._later(seconds, lambda: self._cluster.set_back_end_faults(BackEndFaults(), names))
        return f"{', '.join(names)} ask for pauses of {asked} s for {seconds:.1f} s"

    def _operator_race(self) -> str:
        usable = [name for name in self._names if self._cluster.is_usable(name)]
        pair = [self._random.choice(usable), self._random.choice(usable)]
        slots = [self._random.randint(3, 5), self._random.randint(3, 5)]
        texts = [f"set backend search-1 slots {count}" for count in slots]
        self._later(0.0, lambda: self._race(pair, texts))
        return f"two operators at {pair[0]} and {pair[1]}: {texts[0]}, {texts[1]}"

    def _race(self, pair: list[str], texts: list[str]) -> None:
        with ThreadPoolExecutor(2) as workers:
            list(workers.map(self._try_command, pair, texts))

    def _try_command(self, at: str, text: str) -> None:
        try:
            self._accepted.append(self._cluster.command(text, at=at))
        except (OperatorRefusedError, DaemonUnreachableError):
            return

    def _repair(self) -> None:
        self._network.heal()
        self._cluster.set_platform_faults(PlatformFaults())
        self._cluster.set_back_end_faults(BackEndFaults())

    def _watch_revisions(self) -> None:
        """Ask every daemon for its revision again and again; none may ever go lower."""
        while not self._done.wait(0.3):
            for name in self._names:
                if self._done.is_set() or not self._cluster.is_usable(name):
                    continue
                self._note_revision(name)

    def _note_revision(self, name: str) -> None:
        try:
            instance = self._cluster.operator(name, 1.0).events().instance
            rows = self._cluster.operator(name, 1.0).query("show configuration").rows
        except (DaemonUnreachableError, OperatorRefusedError):
            return
        revision = int(rows[-1][0]) if rows else 0
        if revision < self._revisions.get(instance, 0):
            self._reverted.add(instance)
        self._revisions[instance] = max(revision, self._revisions.get(instance, 0))

    def _settle(self) -> dict[str, str]:
        """Wait until all daemons are at one revision, and return each one's in the end."""
        deadline = time.monotonic() + _SETTLE_SECONDS
        while True:
            revisions = {name: self._revision_text(name) for name in self._names}
            if len(set(revisions.values())) == 1 or time.monotonic() >= deadline:
                return revisions
            time.sleep(_POLL_SECONDS)

    def _revision_text(self, name: str) -> str:
        try:
            rows = self._cluster.query("show configuration", at=name).rows
        except (DaemonUnreachableError, OperatorRefusedError):
            return "unreachable"
        return rows[-1][0] if rows else "none"

    def _judge(
        self, records: list[LoadRecord], repeatable: set[str], revisions: dict[str, str]
    ) -> ChaosReport:
        back_ends = self._cluster.records()
        ids = frozenset(each.request_id for each in records if each.stream in repeatable)
        rows = self._cluster.query("show configuration").rows
        recorded = {row[1] for row in rows}
        results: dict[str, int] = {}
        for record in records:
            results[record.result.value] = results.get(record.result.value, 0) + 1
        return ChaosReport(
            seed=self._seed,
            minutes=self._seconds / 60,
            requests=len(records),
            results=results,
            schedule=tuple(self._schedule),
            breaches=find_breaches(records, back_ends, ids),
            over_slots=sum(each.over_slots for each in back_ends.values()),
            reverted=tuple(sorted(self._reverted)),
            accepted_changes=len(self._accepted),
            lost_changes=tuple(
                each.command_id for each in self._accepted if each.command_id not in recorded
            ),
            unknown_share=results.get(Result.UNKNOWN.value, 0) / max(1, len(records)),
            revisions_at_end=revisions,
        )


def run_chaos(seed: int, minutes: float, has_announcements: bool = False) -> ChaosReport:
    """Run the fault schedule of a seed for some minutes."""
    return ChaosRun(seed, minutes, has_announcements).run()
