"""Limits on requests over all daemons together, kept as a fixed amount of tokens.

A limit applies to the requests of a tenant, or to the requests sent to a back end.

Each admitted request takes one token. Tokens come into being in one way only: every daemon earns
its equal part of a tenant's rate for each second that passes. A daemon lends those seconds to a
keeper of its region, which turns them into tokens and hands them to the daemons that ask. Lent
seconds and tokens are spent once, whoever is the keeper, however many daemons believe to be it, and
also where messages are lost. So the limit holds with any daemons cut off, frozen, killed or added.

What may lie unused bounds how many requests can come at once. It is divided among the places where
tokens lie: the keepers' pools, the stocks of the daemons, and seconds that are not lent yet.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import Annotated

import msgspec

from kitekeel_steering.tenants import Tenant

# Daemons lend their seconds at least this often.
LENDING_SECONDS = 0.5
# Parts of the margin above rate and burst. What is left covers requests that hold a token while
# they are on their way, and the different views that daemons have of how many there are.
_STOCKED_MARGIN = 0.2
_POOLED_MARGIN = 0.6
_LEAST_POOLED_MARGIN = 0.1
# Smaller parts than for tenants: a request may hold its token for up to a second while it waits for
# a connection to the back end.
_STOCKED_BACK_END_MARGIN = 0.1
_POOLED_BACK_END_MARGIN = 0.4
# A daemon that was silent for longer lends no more than this: seconds that all daemons kept while
# they were paused together would else come on top of those of the next window.
_LONGEST_LOAN_SECONDS = LENDING_SECONDS
# A lender that was not heard of for this long counts no longer toward a pool's share.
_LENDER_MEMORY_SECONDS = 5.0
_MOVED_LIFE_SECONDS = 2.0
# Tokens outside their home region count against the margin, so they expire sooner.
_MOVED_FROM_HOME_LIFE_SECONDS = 0.5
# A pool for this part of all daemons or more, as of one of 16 regions, may hold a whole token
# whatever the tenant's shares: its callers would else never be admitted there.
_LEAST_WHOLE_SHARE = 1.0 / 16.0


class QuotaMargin(msgspec.Struct, frozen=True):
    """How far requests within a window may exceed a tenant's rate and burst.

    Attributes:
        window_seconds: length of the window, which slides.
        ratio: part of what rate and burst allow in a window.
        slack: requests beyond that.
    """

    window_seconds: float = 5.0
    ratio: float = 0.1
    slack: float = 20.0


_Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]

BACK_END_LIMIT_MARGIN = QuotaMargin(window_seconds=4.0, ratio=0.5, slack=5.0)


class QuotaShares(msgspec.Struct, frozen=True):
    """How many tokens of one limit may lie unused, all daemons together.

    Attributes:
        rate: tokens per second.
        pooled: in the keepers' pools.
        stocked: in the daemons' stocks.
        home: the region whose keeper pools the tokens of all regions; empty if each region pools
            its own.
    """

    rate: _Amount
    pooled: _Amount
    stocked: _Amount
    home: str = ""


def quota_shares(tenant: Tenant, margin: QuotaMargin) -> QuotaShares | None:
    """Return the shares of a tenant, ``None`` where it has no limit."""
    if tenant.rate <= 0:
        return None
    extra = margin.ratio * (tenant.rate * margin.window_seconds + tenant.burst) + margin.slack
    unlent = tenant.rate * _LONGEST_LOAN_SECONDS
    pooled = max(_LEAST_POOLED_MARGIN * extra, tenant.burst + _POOLED_MARGIN * extra - unlent)
    return QuotaShares(tenant.rate, pooled, _STOCKED_MARGIN * extra)


def back_end_shares(rate: float, margin: QuotaMargin, home: str) -> QuotaShares:
    """Return the shares of a back end's rate limit.

    Args:
        rate: requests per second.
        margin: how far requests within a window may exceed it.
        home: the back end's region.
    """
    extra = margin.ratio * rate * margin.window_seconds + margin.slack
    unlent = rate * _LONGEST_LOAN_SECONDS
    pooled = max(_LEAST_POOLED_MARGIN * extra, _POOLED_BACK_END_MARGIN * extra - unlent)
    return QuotaShares(rate, pooled, _STOCKED_BACK_END_MARGIN * extra, home)


def _most_of_one_daemon(shares: QuotaShares, daemons: int) -> float:
    """Return the most tokens that a daemon may keep which shares them with no other one.

    It has no unlent seconds besides, so that their part of the margin is free for tokens.
    """
    return max(shares.pooled, shares.rate * _LONGEST_LOAN_SECONDS) / max(1, daemons)


class Claim(enum.Enum):
    """What became of a request's claim for a token, and who decided it."""

    FROM_STOCK = "from-stock"
    FROM_KEEPER = "from-keeper"
    EARNED_ALONE = "earned-alone"
    KEEPER_HAD_NONE = "keeper-had-none"
    NONE_A_MOMENT_AGO = "none-a-moment-ago"
    NONE_EARNED_ALONE = "none-earned-alone"

    @property
    def is_admitted(self) -> bool:
        """Tell whether there was a token."""
        return self in _ADMITTED


_ADMITTED = frozenset({Claim.FROM_STOCK, Claim.FROM_KEEPER, Claim.EARNED_ALONE})


class LentTime:
    """The seconds of one daemon that it has not lent yet.

    Args:
        now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now

    def take(self, now: float) -> float:
        """Return the seconds since the last call; they are spent from now on."""
        seconds = min(max(0.0, now - self._since), _LONGEST_LOAN_SECONDS)
        self._since = now
        return seconds

    def give_back(self, seconds: float) -> None:
        """Take back seconds that were certainly not heard of."""
        self._since -= seconds

    def age(self, now: float) -> float:
        """Return the seconds that may be lent."""
        return now - self._since


class _Level(msgspec.Struct):
    """A tenant's tokens.

    Attributes:
        tokens: earned here.
        earned_at: the sum of lent seconds up to which they were earned.
        moved: tokens that came from other pools.
        moved_at: monotonic time in seconds at which the last of those came.
    """

    tokens: float
    earned_at: float
    moved: float = 0.0
    moved_at: float = 0.0


class _Forwarder(msgspec.Struct, frozen=True):
    """A keeper of another region that forwards its tokens.

    Attributes:
        lenders: how many daemons lend to it.
        heard_at: monotonic time of its last message, in seconds.
    """

    lenders: int
    heard_at: float


def without_rounding(_tenant: str) -> float:
    """Return the rounding of pools that need none: parts of a token count as nothing."""
    return 0.0


class QuotaPool:
    """The tokens of one keeper.

    Lent seconds are summed up as parts of a rate: a sum of 1 stands for one second of a tenant's
    whole rate. Each tenant's tokens follow from the sum when they are asked for.

    Args:
        rounding_of: as the rounding of :class:`QuotaStock`, by tenant.
    """

    def __init__(self, rounding_of: Callable[[str], float] = without_rounding) -> None:
        self._rounding_of = rounding_of
        self._lent = 0.0
        self._levels: dict[str, _Level] = {}
        self._lenders: dict[str, float] = {}
        self._forwarders: dict[str, _Forwarder] = {}

    def lend(self, lender: str, seconds: float, daemons: int, now: float) -> None:
        """Take the seconds that a daemon lends.

        Args:
            lender: the daemon's address; a daemon that starts anew at it is the same lender.
            seconds: as the lender states them; none lie before its last loan.
            daemons: how many daemons share the limits.
            now: monotonic time in seconds.
        """
        last = self._lenders.get(lender)
        possible = _LONGEST_LOAN_SECONDS if last is None else max(0.0, now - last)
        # Messages may take different times, so that two loans come closer than they were made.
        allowed = min(seconds, possible + LENDING_SECONDS, _LONGEST_LOAN_SECONDS)
        self._lent += max(0.0, allowed) / max(1, daemons)
        self._lenders[lender] = now
        if len(self._lenders) > daemons:
            self._forget_lenders(now)

    def take(
        self, tenant: str, shares: QuotaShares, wanted: float, now: float, daemons: int
    ) -> int:
        """Return how many of the wanted tokens there are; they are the asker's from now on."""
        level = self._level(tenant, shares, now, daemons)
        granted = math.floor(min(wanted, level.moved + level.tokens))
        if granted <= 0:
            return 0
        from_moved = min(granted, level.moved)
        level.moved -= from_moved
        level.tokens -= granted - from_moved
        return granted

    def take_part(
        self, tenant: str, shares: QuotaShares, wanted: float, now: float, daemons: int
    ) -> int:
        """Return tokens for another keeper: at most half of what was earned here."""
        level = self._level(tenant, shares, now, daemons)
        granted = math.floor(min(wanted, level.tokens / 2))
        level.tokens -= max(0, granted)
        return max(0, granted)

    def add(
        self, tenant: str, shares: QuotaShares, tokens: float, now: float, daemons: int
    ) -> None:
        """Add tokens that a daemon gives back."""
        level = self._level(tenant, shares, now, daemons)
        most = self._most(tenant, shares, now, daemons)
        level.tokens = min(level.tokens + tokens, most)

    def move_in(
        self, tenant: str, shares: QuotaShares, tokens: float, now: float, daemons: int
    ) -> None:
        """Add tokens that another keeper gave.

        They are no more than they were there, so that they are kept also where few daemons lend;
        what is not used soon is lost.
        """
        level = self._level(tenant, shares, now, daemons)
        level.moved = min(level.moved + tokens, shares.pooled)
        level.moved_at = now

    def drain(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> float:
        """Remove and return all tokens earned here, to forward them to their home region."""
        level = self._level(tenant, shares, now, daemons)
        drained, level.tokens = level.tokens, 0.0
        return drained

    def lender_count(self, now: float) -> int:
        """Return how many daemons currently lend to this pool."""
        return sum(now - last < _LENDER_MEMORY_SECONDS for last in self._lenders.values())

    def note_forwarder(self, sender: str, lenders: int, now: float) -> None:
        """Record that a keeper of another region forwards the tokens of its lenders."""
        self._forwarders[sender] = _Forwarder(lenders, now)

    def forget(self, tenant: str) -> None:
        """Discard the state of a limit that no longer applies."""
        self._levels.pop(tenant, None)

    def level(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> float:
        """Return how many tokens there are."""
        level = self._level(tenant, shares, now, daemons)
        return level.tokens + level.moved

    def _level(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> _Level:
        level = self._levels.get(tenant)
        if level is None:
            # What was lent before the tenant was first asked for is its own as well.
            level = self._levels[tenant] = _Level(0.0, 0.0)
        level.tokens += (self._lent - level.earned_at) * shares.rate
        level.tokens = min(level.tokens, self._most(tenant, shares, now, daemons))
        level.earned_at = self._lent
        life = _MOVED_FROM_HOME_LIFE_SECONDS if shares.home else _MOVED_LIFE_SECONDS
        if now - level.moved_at > life:
            level.moved = 0.0
        return level

    def _most(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> float:
        """Return the most tokens that may lie here: the part of those daemons that lend here."""
        lenders = self.lender_count(now)
        if shares.home:
            lenders += sum(
                each.lenders
                for each in self._forwarders.values()
                if now - each.heard_at < _LENDER_MEMORY_SECONDS
            )
        share = min(1.0, lenders / max(1, daemons))
        least = 1.0 if share >= _LEAST_WHOLE_SHARE else 0.0
        if lenders <= 1:
            # Guards against refusing all requests at a daemon that reaches no other one.
            most_alone = _most_of_one_daemon(shares, daemons)
            least = max(least, most_alone, math.floor(most_alone + self._rounding_of(tenant)))
        return max(least, shares.pooled * share)

    def _forget_lenders(self, now: float) -> None:
        self._lenders = {
            lender: last
            for lender, last in self._lenders.items()
            if now - last < _LENDER_MEMORY_SECONDS
        }


class QuotaStock:
    """The tokens of one tenant that one daemon has at hand.

    Args:
        rounding: 0 to 1, evenly spread over daemons: how large a part of a token counts as one, so
            that the stocks of all daemons together are as large as they may be.
    """

    def __init__(self, rounding: float) -> None:
        self._rounding = rounding
        self.tokens = 0

    def most(self, shares: QuotaShares, daemons: int) -> int:
        """Return the most tokens that may lie here."""
        return math.floor(shares.stocked / max(1, daemons) + self._rounding)

    def take(self, shares: QuotaShares, daemons: int) -> bool:
        """Take a token; tell whether there was one."""
        self.tokens = min(self.tokens, self.most(shares, daemons))
        if self.tokens <= 0:
            return False
        self.tokens -= 1
        return True

    def add(self, shares: QuotaShares, daemons: int, tokens: int) -> int:
        """Add tokens as far as there is room; return those left over."""
        room = max(0, self.most(shares, daemons) - self.tokens)
        added = min(room, tokens)
        self.tokens += added
        return tokens - added


class OwnEarnings:
    """The tokens of one tenant that a daemon without a keeper earns for itself.

    Args:
        rounding: as for :class:`QuotaStock`.
        now: monotonic time in seconds from which it earns.
    """

    def __init__(self, rounding: float, now: float) -> None:
        self._rounding = rounding
        self._tokens = 0.0
        self._earned_at = now

    def take(self, shares: QuotaShares, daemons: int, now: float) -> bool:
        """Take a token of the daemon's equal part; tell whether there was one."""
        part = 1.0 / max(1, daemons)
        most = math.floor(_most_of_one_daemon(shares, daemons) + self._rounding)
        earned = (now - self._earned_at) * shares.rate * part
        self._tokens = min(self._tokens + earned, most)
        self._earned_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
