"""Selects the daemon that a holder uses as a pool's keeper, and decides when it may vote for it.

A vote is a promise: after voting for one keeper, the holder votes for no other until that keeper
has resigned to it or the switch time has passed since the vote was last sent. Until then it may
request slots from another keeper, but without a vote.
"""

from __future__ import annotations

from collections.abc import Callable

from kitekeel_peers.messages import MemberRecord
from kitekeel_steering.clock import Clock
from kitekeel_steering.grant_messages import PoolName
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.rendezvous import rank_nodes

_MAX_FAILURES = 2
_AVOID_SECONDS = 3.0


def best_keeper(pool: PoolName, members: list[MemberRecord]) -> MemberRecord | None:
    """Return the member of the pool's region that should keep it."""
    by_instance = {each.instance: each for each in members if each.region == pool.region}
    ranked = rank_nodes(str(pool), by_instance)
    return by_instance[ranked[0]] if ranked else None


class KeeperChoice:
    """The keeper selection of one holder for one pool; must be used by a single thread.

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
        self._current: MemberRecord | None = None
        self._failures = 0
        self._avoided_until: dict[str, float] = {}
        # A former process on this machine may have voted just before this one started.
        self._voted_for = ""
        self._voted_at = clock.monotonic()
        self._after_silence = True
        self.echo = 0.0

    @property
    def after_silence(self) -> bool:
        """Return whether the previous keeper was replaced because it did not answer."""
        return self._after_silence

    def keeper(self) -> MemberRecord | None:
        """Return the keeper to use; it changes only if it resigns or stops answering."""
        if self._current is None:
            self._current = self._select()
        return self._current

    def may_vote(self) -> bool:
        """Return whether an exchange with the current keeper may carry this machine's vote."""
        if self._current is None:
            return False
        if self._voted_for == self._current.instance:
            return True
        return self._clock.monotonic() - self._voted_at >= self._timing.switch_seconds

    def note_sent(self, with_vote: bool) -> None:
        """Record that an exchange is about to be sent."""
        if with_vote and self._current is not None:
            self._voted_for = self._current.instance
            self._voted_at = self._clock.monotonic()

    def note_answered(self, keeper_time: float) -> None:
        """Record that the keeper answered, and its time to echo in the next request."""
        self.echo = keeper_time
        self._failures = 0

    def note_failed(self) -> None:
        """Record that the keeper did not answer; repeated failures select another one."""
        self._failures += 1
        if self._failures >= _MAX_FAILURES and self._current is not None:
            self._avoid(self._current)
            self._after_silence = True
        self.echo = 0.0

    def note_resigned(self) -> None:
        """Record that the keeper resigned, which releases this holder's vote immediately.

        The resigned keeper grants nothing more, but its grants to others may still be valid.
        """
        if self._current is None:
            return
        if self._voted_for == self._current.instance:
            self._voted_for = ""
            self._voted_at = self._clock.monotonic() - self._timing.switch_seconds
            self._after_silence = False
        self._avoid(self._current)

    def _avoid(self, keeper: MemberRecord) -> None:
        self._avoided_until[keeper.instance] = self._clock.monotonic() + _AVOID_SECONDS
        self._current = None
        self._failures = 0
        self.echo = 0.0

    def _select(self) -> MemberRecord | None:
        now = self._clock.monotonic()
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }
        members = self._members()
        others = [each for each in members if each.instance not in self._avoided_until]
        return best_keeper(self._pool, others or members)
