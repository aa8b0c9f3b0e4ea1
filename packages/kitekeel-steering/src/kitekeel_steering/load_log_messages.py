"""Typed messages for the log lines of a gateway daemon about load, shortages and limits."""

from __future__ import annotations

from kitekeel_steering.log_messages import LogMessage


class QuotaKeeperLost(LogMessage, frozen=True):
    """No daemon that keeps the tokens of a group of limits answers.

    Until one does, this daemon admits its equal share of each limit. ``method`` is ``Quota`` for
    tenants' limits and ``BackEndQuota`` for back ends' limits.
    """

    group: int
    reason: str
    method: str = "Quota"


class QuotaKeeperFound(LogMessage, frozen=True):
    """A daemon that keeps the tokens of a group of limits answers again."""

    group: int
    method: str = "Quota"


class DemandKeeperLost(LogMessage, frozen=True):
    """No daemon that adds up the demand on a group of services answers.

    After the last sum has expired, this daemon decides on its own figures until one does.
    """

    group: int
    reason: str


class DemandKeeperFound(LogMessage, frozen=True):
    """A daemon that adds up the demand on a group of services answers again."""

    group: int


class LoadLevelChanged(LogMessage, frozen=True):
    """The load level that the daemon reports has changed; look-ups list it accordingly.

    ``lateness_seconds`` is the lasting lateness of the event loop, ``objective_seconds`` the
    shortest objective of the configuration. The shares of the memory limit and of the link's
    bandwidth are 0 if these are unknown.
    """

    level: str
    lateness_seconds: float
    objective_seconds: float
    memory_share: float
    link_share: float


class LateRefusalsBegan(LogMessage, frozen=True):
    """The event loop runs late; the daemon refuses a part of the requests before it reads them.

    ``objective_seconds`` is the shortest objective of the configuration.
    """

    lateness_seconds: float
    objective_seconds: float


class LateRefusalsEnded(LogMessage, frozen=True):
    """The event loop is on time again, and all requests are admitted."""

    lateness_seconds: float


class MemoryBoundReached(LogMessage, frozen=True):
    """The daemon holds as many bytes for callers as it may.

    It reads bodies of unknown size only as others leave, and refuses requests whose bodies do not
    fit.
    """

    held_bytes: int
    limit_bytes: int


class MemoryBoundLeft(LogMessage, frozen=True):
    """The daemon holds far fewer bytes for callers than it may again."""

    held_bytes: int
    limit_bytes: int


class ShortageBegan(LogMessage, frozen=True):
    """More is asked of a pool than its back ends answer within their objective.

    ``room`` and ``asked`` are requests per second; ``in_flight`` requests are at back ends with
    ``slots`` slots. The figures include ``daemons`` daemons if ``is_shared``; otherwise they are
    this daemon's own, with its part of the slots.
    """

    pool: str
    room: float
    asked: float
    in_flight: int
    slots: int
    daemons: int
    is_shared: bool


class ShortageEnded(LogMessage, frozen=True):
    """All requests for a pool are admitted again; the shortage lasted ``seconds``."""

    pool: str
    seconds: float


class ShortageMostRefused(LogMessage, frozen=True):
    """Most refused requests are now of this priority and tenant, admitted at ``level``."""

    pool: str
    priority: int
    tenant: str
    level: float
