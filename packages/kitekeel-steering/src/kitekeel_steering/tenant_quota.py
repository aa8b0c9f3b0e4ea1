"""Fleet-wide rate limits, implemented as a distributed token bucket.

A limit applies to the requests of a tenant, or to the requests sent to a back end.

Each admitted request takes one token. Tokens are created in one way only: every daemon earns its
equal part of a tenant's rate for each second that passes. A daemon lends those seconds to a keeper
of its region, which converts them to tokens and distributes these to the daemons that request them.
Lent seconds and tokens are spent only once, regardless of which daemon is the keeper, of how many
daemons consider themselves to be the keeper, and of lost messages. The limit therefore holds while
any daemons are partitioned, suspended, killed or added.

The number of unused tokens bounds how many requests can be admitted at once. This bound is divided
among the keepers' pools, the stocks of the daemons, and seconds that have not been lent yet.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable
from typing import Annotated

import msgspec

from kitekeel_steering.tenants import Tenant

# Maximum interval between two loans of a daemon.
LENDING_SECONDS = 0.5
# Shares of the margin above rate and burst. The remainder covers requests that hold a token while
# in transit, and daemons that disagree about the number of daemons.
_STOCKED_MARGIN = 0.2
_POOLED_MARGIN = 0.6
_MIN_POOLED_MARGIN = 0.1
# Smaller shares than for tenants: a request may hold its token for up to a second while it waits
# for a connection to the back end.
_STOCKED_BACK_END_MARGIN = 0.1
_POOLED_BACK_END_MARGIN = 0.4
# Cap on a single loan, also after a longer pause. Without it, seconds that all daemons accumulated
# while paused together would be added to those of the next window.
_MAX_LOAN_SECONDS = LENDING_SECONDS
# A lender is no longer counted toward a pool's share after this time without a loan.
_LENDER_EXPIRY_SECONDS = 5.0
_MOVED_TOKEN_LIFETIME_SECONDS = 2.0
# Tokens outside their home region count against the margin, so they expire sooner.
_MOVED_FROM_HOME_LIFETIME_SECONDS = 0.5
# A pool that serves at least this share of all daemons, such as one of 16 regions, may always hold
# a whole token. Otherwise a tenant with a low limit would never be admitted there.
_MIN_SHARE_FOR_WHOLE_TOKEN = 1.0 / 16.0


class QuotaMargin(msgspec.Struct, frozen=True):
    """How far the requests in a window may exceed a tenant's rate and burst.

    Attributes:
        window_seconds: length of the sliding window.
        ratio: excess as a share of what rate and burst allow in a window.
        slack: additional requests beyond that.
    """

    window_seconds: float = 5.0
    ratio: float = 0.1
    slack: float = 20.0


_Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]

BACK_END_LIMIT_MARGIN = QuotaMargin(window_seconds=4.0, ratio=0.5, slack=5.0)


class QuotaShares(msgspec.Struct, frozen=True):
    """How many tokens of one limit may be unused, over all daemons.

    Attributes:
        rate: tokens per second.
        pooled: maximum number of tokens in the keepers' pools.
        stocked: maximum number of tokens in the daemons' stocks.
        home: the region whose keeper pools the tokens of all regions; empty if each region pools
            its own.
    """

    rate: _Amount
    pooled: _Amount
    stocked: _Amount
    home: str = ""


def quota_shares(tenant: Tenant, margin: QuotaMargin) -> QuotaShares | None:
    """Return the shares of a tenant, or ``None`` if it has no limit."""
    if tenant.rate <= 0:
        return None
    extra = margin.ratio * (tenant.rate * margin.window_seconds + tenant.burst) + margin.slack
    unlent = tenant.rate * _MAX_LOAN_SECONDS
    pooled = max(_MIN_POOLED_MARGIN * extra, tenant.burst + _POOLED_MARGIN * extra - unlent)
    return QuotaShares(tenant.rate, pooled, _STOCKED_MARGIN * extra)


def back_end_shares(rate: float, margin: QuotaMargin, home: str) -> QuotaShares:
    """Return the shares of a back end's rate limit.

    Args:
        rate: requests per second.
        margin: how far the requests in a window may exceed it.
        home: the back end's region.
    """
    extra = margin.ratio * rate * margin.window_seconds + margin.slack
    unlent = rate * _MAX_LOAN_SECONDS
    pooled = max(_MIN_POOLED_MARGIN * extra, _POOLED_BACK_END_MARGIN * extra - unlent)
    return QuotaShares(rate, pooled, _STOCKED_BACK_END_MARGIN * extra, home)


def _max_tokens_of_lone_daemon(shares: QuotaShares, daemons: int) -> float:
    """Return the maximum number of tokens of a daemon that shares its tokens with no other.

    Such a daemon has no unlent seconds, so their part of the margin is available for tokens.
    """
    return max(shares.pooled, shares.rate * _MAX_LOAN_SECONDS) / max(1, daemons)


class TokenClaim(enum.Enum):
    """The outcome of a request's claim for a token, and what decided it."""

    FROM_STOCK = "from-stock"
    FROM_KEEPER = "from-keeper"
    EARNED_ALONE = "earned-alone"
    KEEPER_HAD_NONE = "keeper-had-none"
    NONE_A_MOMENT_AGO = "none-a-moment-ago"
    NONE_EARNED_ALONE = "none-earned-alone"

    @property
    def is_admitted(self) -> bool:
        """Return whether the claim obtained a token."""
        return self in _ADMITTED


_ADMITTED = frozenset({TokenClaim.FROM_STOCK, TokenClaim.FROM_KEEPER, TokenClaim.EARNED_ALONE})


class UnlentTime:
    """The seconds that one daemon has not lent yet.

    Args:
        now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now

    def take(self, now: float) -> float:
        """Return the seconds since the last call and mark them as spent."""
        seconds = min(max(0.0, now - self._since), _MAX_LOAN_SECONDS)
        self._since = now
        return seconds

    def give_back(self, seconds: float) -> None:
        """Restore seconds of a loan that certainly reached no keeper."""
        self._since -= seconds

    def age(self, now: float) -> float:
        """Return the seconds that may be lent."""
        return now - self._since


class _Level(msgspec.Struct):
    """A tenant's tokens in one pool.

    Attributes:
        tokens: tokens earned in this pool.
        earned_at: the sum of lent seconds up to which they were earned.
        moved: tokens received from other pools.
        moved_at: monotonic time in seconds at which tokens were last received.
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


def zero_rounding(_tenant: str) -> float:
    """Return 0, for pools that ignore fractions of a token."""
    return 0.0


class QuotaPool:
    """The tokens of one keeper.

    Lent seconds are summed up as shares of a rate: a sum of 1 represents one second of a tenant's
    whole rate. A tenant's tokens are computed from the sum when they are requested.

    Args:
        rounding_of: returns a tenant's rounding, as for :class:`QuotaStock`.
    """

    def __init__(self, rounding_of: Callable[[str], float] = zero_rounding) -> None:
        self._rounding_of = rounding_of
        self._lent = 0.0
        self._levels: dict[str, _Level] = {}
        self._lenders: dict[str, float] = {}
        self._forwarders: dict[str, _Forwarder] = {}

    def lend(self, lender: str, seconds: float, daemons: int, now: float) -> None:
        """Add the seconds that a daemon lends.

        Args:
            lender: the daemon's address; a daemon restarted at the same address is the same lender.
            seconds: the lent seconds, which all lie after the lender's previous loan.
            daemons: how many daemons share the limits.
            now: monotonic time in seconds.
        """
        last = self._lenders.get(lender)
        possible = _MAX_LOAN_SECONDS if last is None else max(0.0, now - last)
        # Message delays vary, so two loans may arrive closer together than they were made.
        allowed = min(seconds, possible + LENDING_SECONDS, _MAX_LOAN_SECONDS)
        self._lent += max(0.0, allowed) / max(1, daemons)
        self._lenders[lender] = now
        if len(self._lenders) > daemons:
            self._remove_expired_lenders(now)

    def take(
        self, tenant: str, shares: QuotaShares, wanted: float, now: float, daemons: int
    ) -> int:
        """Remove up to the wanted number of tokens for the caller; return how many."""
        level = self._level(tenant, shares, now, daemons)
        granted = math.floor(min(wanted, level.moved + level.tokens))
        if granted <= 0:
            return 0
        from_moved = min(granted, level.moved)
        level.moved -= from_moved
        level.tokens -= granted - from_moved
        return granted

    def take_for_transfer(
        self, tenant: str, shares: QuotaShares, wanted: float, now: float, daemons: int
    ) -> int:
        """Remove tokens for another keeper, at most half of those earned here; return how many."""
        level = self._level(tenant, shares, now, daemons)
        granted = math.floor(min(wanted, level.tokens / 2))
        level.tokens -= max(0, granted)
        return max(0, granted)

    def add(
        self, tenant: str, shares: QuotaShares, tokens: float, now: float, daemons: int
    ) -> None:
        """Add tokens that a daemon returns."""
        level = self._level(tenant, shares, now, daemons)
        most = self._max_tokens(tenant, shares, now, daemons)
        level.tokens = min(level.tokens + tokens, most)

    def add_transferred(
        self, tenant: str, shares: QuotaShares, tokens: float, now: float, daemons: int
    ) -> None:
        """Add tokens that another keeper transferred.

        A transfer does not increase the total number of tokens, so they are accepted even if few
        daemons lend to this pool. They expire soon if unused.
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
        return sum(now - last < _LENDER_EXPIRY_SECONDS for last in self._lenders.values())

    def note_forwarder(self, sender: str, lenders: int, now: float) -> None:
        """Record that a keeper of another region forwards the tokens of its lenders."""
        self._forwarders[sender] = _Forwarder(lenders, now)

    def forget(self, tenant: str) -> None:
        """Discard the state of a limit that no longer applies."""
        self._levels.pop(tenant, None)

    def level(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> float:
        """Return the number of tokens."""
        level = self._level(tenant, shares, now, daemons)
        return level.tokens + level.moved

    def _level(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> _Level:
        level = self._levels.get(tenant)
        if level is None:
            # The tenant also earns tokens for seconds lent before it was first requested.
            level = self._levels[tenant] = _Level(0.0, 0.0)
        level.tokens += (self._lent - level.earned_at) * shares.rate
        level.tokens = min(level.tokens, self._max_tokens(tenant, shares, now, daemons))
        level.earned_at = self._lent
        life = _MOVED_FROM_HOME_LIFETIME_SECONDS if shares.home else _MOVED_TOKEN_LIFETIME_SECONDS
        if now - level.moved_at > life:
            level.moved = 0.0
        return level

    def _max_tokens(self, tenant: str, shares: QuotaShares, now: float, daemons: int) -> float:
        """Return this pool's maximum number of tokens, by the share of daemons that lend to it."""
        lenders = self.lender_count(now)
        if shares.home:
            lenders += sum(
                each.lenders
                for each in self._forwarders.values()
                if now - each.heard_at < _LENDER_EXPIRY_SECONDS
            )
        share = min(1.0, lenders / max(1, daemons))
        least = 1.0 if share >= _MIN_SHARE_FOR_WHOLE_TOKEN else 0.0
        if lenders <= 1:
            # Prevents a daemon that reaches no other one from refusing all requests.
            most_alone = _max_tokens_of_lone_daemon(shares, daemons)
            least = max(least, most_alone, math.floor(most_alone + self._rounding_of(tenant)))
        return max(least, shares.pooled * share)

    def _remove_expired_lenders(self, now: float) -> None:
        self._lenders = {
            lender: last
            for lender, last in self._lenders.items()
            if now - last < _LENDER_EXPIRY_SECONDS
        }


class QuotaStock:
    """One daemon's local tokens of one tenant.

    Args:
        rounding: 0 to 1, uniformly distributed over daemons; added to this stock's maximum before
            it is rounded down, so that the maxima of all daemons add up to the permitted total.
    """

    def __init__(self, rounding: float) -> None:
        self._rounding = rounding
        self.tokens = 0

    def max_tokens(self, shares: QuotaShares, daemons: int) -> int:
        """Return the maximum number of tokens in this stock."""
        return math.floor(shares.stocked / max(1, daemons) + self._rounding)

    def take(self, shares: QuotaShares, daemons: int) -> bool:
        """Take a token; return whether there was one."""
        self.tokens = min(self.tokens, self.max_tokens(shares, daemons))
        if self.tokens <= 0:
            return False
        self.tokens -= 1
        return True

    def add(self, shares: QuotaShares, daemons: int, tokens: int) -> int:
        """Add tokens up to the maximum; return how many did not fit."""
        room = max(0, self.max_tokens(shares, daemons) - self.tokens)
        added = min(room, tokens)
        self.tokens += added
        return tokens - added


class StandaloneTokens:
    """The tokens of one tenant that a daemon earns for itself while it has no keeper.

    Args:
        rounding: as for :class:`QuotaStock`.
        now: monotonic time in seconds from which it earns tokens.
    """

    def __init__(self, rounding: float, now: float) -> None:
        self._rounding = rounding
        self._tokens = 0.0
        self._earned_at = now

    def take(self, shares: QuotaShares, daemons: int, now: float) -> bool:
        """Take a token of the daemon's equal part; return whether there was one."""
        part = 1.0 / max(1, daemons)
        most = math.floor(_max_tokens_of_lone_daemon(shares, daemons) + self._rounding)
        earned = (now - self._earned_at) * shares.rate * part
        self._tokens = min(self._tokens + earned, most)
        self._earned_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
