"""Which daemon a holder takes for a pool's keeper, and when its vote may go there.

A vote is a promise: having sent it to one keeper, the holder votes for no other until that keeper
has resigned to it or the switch time has passed since the last send. It may ask another keeper for
slots before that, only without a vote.
"""

from __future__ import annotations

from collections.abc import Callable

from kitekeel_peers.messages import MemberRecord
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.rendezvous import rank_nodes

_FAILURES_UNTIL_SILENT = 2
_AVOID_SECONDS = 3.0


def best_keeper(pool: PoolName, members: list[MemberRecord]) -> MemberRecord | None:
    """Return the member of the pool's region that should keep it."""
    by_instance = {each.instance: each for each in members if each.region == pool.region}
    ranked = rank_nodes(str(pool), by_instance)
    return by_instance[ranked[0]] if ranked else None


class KeeperChoice:
    """The choice of one holder for one pool; used by one thread.

    Args:
        members: returns the members of the pool's region that are serving.
    """

    def __init__(
        self,
        pool: PoolName,
        clock: Clock,
        timing: GrantTiming,
        members: Callable[[], list[MemberRecord]],
    ) -> None:
        self._pool = pool
        self._clock = clock
        self._timing = timing
        self._members = members
        self._present: MemberRecord | None = None
        self._failures = 0
        self._avoided: dict[str, float] = {}
        # A former process of this machine may have voted just before this one started.
        self._voted_for = ""
        self._voted_at = clock.monotonic()
        self._after_silence = True
        self.echo = 0.0

    @property
    def after_silence(self) -> bool:
        """Tell whether the present keeper was chosen after the former one's silence."""
        return self._after_silence

    def keeper(self) -> MemberRecord | None:
        """Return the keeper to ask now; it is kept until it resigns or falls silent."""
        if self._present is None:
            self._present = self._choose()
        return self._present

    def may_vote(self) -> bool:
        """Tell whether an exchange with the present keeper may carry this machine's vote."""
        if self._present is None:
            return False
        if self._voted_for == self._present.instance:
            return True
        return self._clock.monotonic() - self._voted_at >= self._timing.switch_seconds

    def note_sent(self, with_vote: bool) -> None:
        """Record that an exchange is about to be sent."""
        if with_vote and self._present is not None:
            self._voted_for = self._present.instance
            self._voted_at = self._clock.monotonic()

    def note_answered(self, keeper_time: float) -> None:
        """Record that the keeper answered, and its time for the next request."""
        self.echo = keeper_time
        self._failures = 0

    def note_failed(self) -> None:
        """Record that the keeper did not answer; after a few times another one is asked."""
        self._failures += 1
        if self._failures >= _FAILURES_UNTIL_SILENT and self._present is not None:
            self._avoid(self._present)
            self._after_silence = True
        self.echo = 0.0

    def note_resigned(self) -> None:
        """Record that the keeper resigned, which frees this holder's vote at once.

        The resigned keeper grants nothing more, but what it granted to others may still be good.
        """
        if self._present is None:
            return
        if self._voted_for == self._present.instance:
            self._voted_for = ""
            self._voted_at = self._clock.monotonic() - self._timing.switch_seconds
            self._after_silence = False
        self._avoid(self._present)

    def _avoid(self, keeper: MemberRecord) -> None:
        self._avoided[keeper.instance] = self._clock.monotonic() + _AVOID_SECONDS
        self._present = None
        self._failures = 0
        self.echo = 0.0

    def _choose(self) -> MemberRecord | None:
        now = self._clock.monotonic()
        self._avoided = {name: until for name, until in self._avoided.items() if until > now}
        members = self._members()
        others = [each for each in members if each.instance not in self._avoided]
        return best_keeper(self._pool, others or members)
