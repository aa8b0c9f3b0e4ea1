"""Decides from connection attempts whether this daemon has lost its links to back ends.

A failed connection alone does not tell a lost link from a back end that is down. A link is lost if
another daemon reaches the back end at the same time. Several lost links without a successful
connection in between mean that all back ends of the service, or all back ends, are out of reach.

Several failed connections while no back end answers mean the same, although the back ends may be
down: a request is then refused at once, unless another daemon reaches them.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Callable

import msgspec

from kitekeel_steering.clock import Clock

# Number of failed connections, and of different back ends unless there are fewer, after which the
# links to the others count as lost.
_FAILURES_UNTIL_LOST = 3
# A failed connection is no evidence after this time.
_FAILURE_EXPIRY_SECONDS = 5.0
# Number of connections in a row that must succeed before lost links count as restored. It doubles
# each time that links are lost again soon after, so that flapping links are not used.
_SUCCESSES_UNTIL_RESTORED = 2
_MAX_SUCCESSES_UNTIL_RESTORED = 8
_FLAPPING_SECONDS = 15.0
# Links work if a back end has answered, or accepted a connection, within this time.
_RECENT_SECONDS = 1.0

ALL_SERVICES = ""


class LinkEvidence(enum.Enum):
    """Why links count as lost."""

    PEERS_REACH_THEM = "peers-reach-them"
    NONE_ANSWERS = "none-answers"


class LinkLoss(msgspec.Struct, frozen=True):
    """The loss of all links to the back ends of a service, or of all services.

    Attributes:
        service: the service; ``ALL_SERVICES`` for all.
        evidence: why the links count as lost.
        back_ends: the back ends that could not be connected to.
        since: monotonic time in seconds.
    """

    service: str
    evidence: LinkEvidence
    back_ends: tuple[str, ...]
    since: float


class _Failure(msgspec.Struct):
    """The failed connections to one back end since the last successful one."""

    service: str
    last_at: float
    count: int = 0
    is_reached_by_peers: bool = False


class _Recovery(msgspec.Struct):
    """The progress towards the restoration of a loss."""

    loss: LinkLoss
    successes_wanted: int
    successes: int = 0


class LinkHealth:
    """The state of one daemon's links to its back ends; used on one event loop.

    Args:
        clock: provides the time of the observations.
        count_back_ends: returns the number of back ends of a service.
        on_lost: called with each new loss.
        on_restored: called with a loss that has ended, and its duration in seconds.
    """

    def __init__(
        self,
        clock: Clock,
        count_back_ends: Callable[[str], int],
        on_lost: Callable[[LinkLoss], None],
        on_restored: Callable[[LinkLoss, float], None],
    ) -> None:
        self._clock = clock
        self._count_back_ends = count_back_ends
        self._on_lost = on_lost
        self._on_restored = on_restored
        self._failures: dict[str, _Failure] = {}
        self._connected_at: defaultdict[str, float] = defaultdict(lambda: float("-inf"))
        self._answered_at: defaultdict[str, float] = defaultdict(lambda: float("-inf"))
        self._recoveries: dict[str, _Recovery] = {}
        self._last_wanted: dict[str, int] = {}
        self._restored_at: defaultdict[str, float] = defaultdict(lambda: float("-inf"))

    def is_lost(self, back_end: str, service: str) -> bool:
        """Return whether this daemon cannot connect to a back end that others may reach."""
        if ALL_SERVICES in self._recoveries or service in self._recoveries:
            return True
        failure = self._failures.get(back_end)
        return failure is not None and failure.is_reached_by_peers

    def is_any_lost(self) -> bool:
        """Return whether the link to any back end is lost."""
        is_one_lost = any(each.is_reached_by_peers for each in self._failures.values())
        return bool(self._recoveries) or is_one_lost

    def is_cut_off(self) -> bool:
        """Return whether the links to all back ends are lost."""
        return ALL_SERVICES in self._recoveries

    def answers_arrive(self, service: str = ALL_SERVICES) -> bool:
        """Return whether back ends of a service, or of any, still answer on open connections."""
        silent_for = self._clock.monotonic() - self._answered_at[service]
        return silent_for <= _RECENT_SECONDS

    def connected_recently(self) -> bool:
        """Return whether this daemon connected to any back end a moment ago."""
        return self._clock.monotonic() - self._connected_at[ALL_SERVICES] <= _RECENT_SECONDS

    def answered_at(self) -> float:
        """Return the monotonic time of the last answer on a direct connection, in seconds."""
        return self._answered_at[ALL_SERVICES]

    def restored_at(self, service: str) -> float:
        """Return the monotonic time at which links to a service were last restored, in seconds."""
        return max(self._restored_at[service], self._restored_at[ALL_SERVICES])

    def note_answered(self, service: str) -> None:
        """Record an answer on a direct connection."""
        now = self._clock.monotonic()
        self._answered_at[service] = self._answered_at[ALL_SERVICES] = now

    def note_connected(self, back_end: str, service: str) -> None:
        """Record that this daemon connected to a back end."""
        now = self._clock.monotonic()
        self._connected_at[service] = self._connected_at[ALL_SERVICES] = now
        self._failures.pop(back_end, None)
        for scope in (ALL_SERVICES, service):
            recovery = self._recoveries.get(scope)
            if recovery is None:
                continue
            recovery.successes += 1
            if recovery.successes >= recovery.successes_wanted:
                self._restore(scope, recovery.loss, now)

    def note_failed(self, back_end: str, service: str) -> None:
        """Record that this daemon could not connect to a back end."""
        now = self._clock.monotonic()
        failure = self._failures.setdefault(back_end, _Failure(service, now))
        failure.last_at = now
        failure.count += 1
        for scope in (ALL_SERVICES, service):
            if scope in self._recoveries:
                self._recoveries[scope].successes = 0
        self._forget_old(now)
        self._judge()

    def note_reached_by_peer(self, back_end: str, service: str) -> None:
        """Record that another daemon reached a back end that this one could not connect to."""
        now = self._clock.monotonic()
        failure = self._failures.setdefault(back_end, _Failure(service, now))
        failure.last_at = now
        failure.is_reached_by_peers = True
        self._judge()

    def forget(self, back_end: str) -> None:
        """Forget a back end that was removed or restarted."""
        self._failures.pop(back_end, None)

    def _forget_old(self, now: float) -> None:
        for back_end, failure in list(self._failures.items()):
            is_old = now - failure.last_at > _FAILURE_EXPIRY_SECONDS
            if is_old and not failure.is_reached_by_peers:
                del self._failures[back_end]

    def _judge(self) -> None:
        services = {each.service for each in self._failures.values()}
        for scope in (ALL_SERVICES, *sorted(services)):
            if ALL_SERVICES in self._recoveries or scope in self._recoveries:
                continue
            reached = self._failed_since_connected(scope, only_reached=True)
            if len(reached) >= _FAILURES_UNTIL_LOST:
                self._lose(scope, LinkEvidence.PEERS_REACH_THEM, reached)
                continue
            failed = self._failed_since_connected(scope, only_reached=False)
            if not self.answers_arrive(scope) and self._are_enough(scope, failed):
                self._lose(scope, LinkEvidence.NONE_ANSWERS, failed)

    def _failed_since_connected(self, scope: str, only_reached: bool) -> list[str]:
        connected_at = self._connected_at[scope]
        return [
            back_end
            for back_end, failure in self._failures.items()
            if scope in (ALL_SERVICES, failure.service)
            and failure.last_at > connected_at
            and (failure.is_reached_by_peers or not only_reached)
        ]

    def _are_enough(self, scope: str, back_ends: list[str]) -> bool:
        """Return whether enough connections failed, to several back ends or to all of a service."""
        wanted = _FAILURES_UNTIL_LOST
        if scope != ALL_SERVICES:
            wanted = min(wanted, self._count_back_ends(scope))
        failures = sum(self._failures[each].count for each in back_ends)
        return len(back_ends) >= wanted and failures >= _FAILURES_UNTIL_LOST

    def _lose(self, scope: str, evidence: LinkEvidence, back_ends: list[str]) -> None:
        now = self._clock.monotonic()
        wanted = _SUCCESSES_UNTIL_RESTORED
        if now - self._restored_at[scope] < _FLAPPING_SECONDS:
            wanted = min(_MAX_SUCCESSES_UNTIL_RESTORED, 2 * self._last_wanted[scope])
        self._last_wanted[scope] = wanted
        loss = LinkLoss(scope, evidence, tuple(back_ends), now)
        self._recoveries[scope] = _Recovery(loss, wanted)
        self._on_lost(loss)

    def _restore(self, scope: str, loss: LinkLoss, now: float) -> None:
        del self._recoveries[scope]
        self._restored_at[scope] = now
        for back_end, failure in list(self._failures.items()):
            if scope in (ALL_SERVICES, failure.service):
                del self._failures[back_end]
        self._on_restored(loss, now - loss.since)
