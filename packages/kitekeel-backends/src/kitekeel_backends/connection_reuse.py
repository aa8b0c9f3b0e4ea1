"""Decides which idle connections to back ends may be used while links are lost or restored."""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Protocol

from kitekeel_backends.back_end_dialer import DialTarget
from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_steering.back_end_links import LinkHealth
from kitekeel_steering.clock import steady_seconds

# Relayed connections are replaced by direct ones over this time after links were restored, so that
# back ends do not receive all new connections at once.
_RETIREMENT_SECONDS = 5.0


class Reuse(enum.Enum):
    """Whether an idle connection may be used for a request.

    ``LAST_RESORT``: only if no new connection can be opened. ``OTHER_REQUESTS``: not for this
    request. ``NEVER``: for no request; it is closed.
    """

    PREFERRED = "preferred"
    LAST_RESORT = "last-resort"
    OTHER_REQUESTS = "other-requests"
    NEVER = "never"


class ReusePolicy(Protocol):
    """Decides about idle connections."""

    def judge(self, connection: BackEndConnection, target: DialTarget) -> Reuse:
        """Return whether a connection may be used for a request to its back end."""


class AlwaysReuse:
    """Allows all connections."""

    def judge(self, connection: BackEndConnection, target: DialTarget) -> Reuse:
        """Return whether a connection may be used; see :class:`ReusePolicy`."""
        return Reuse.PREFERRED


class LinkReuse:
    """Avoids direct connections that may be silent, and relayed ones that are not needed.

    Args:
        links: the state of this daemon's links.
        is_relay_usable: returns whether a daemon still relays.
        generator: spreads the replacement of relayed connections.
    """

    def __init__(
        self,
        links: LinkHealth,
        is_relay_usable: Callable[[str], bool],
        generator: random.Random,
    ) -> None:
        self._links = links
        self._is_relay_usable = is_relay_usable
        self._random = generator

    def judge(self, connection: BackEndConnection, target: DialTarget) -> Reuse:
        """Return whether a connection may be used; see :class:`ReusePolicy`."""
        if connection.relay:
            return self._judge_relayed(connection, target)
        is_lost = self._links.is_lost(target.back_end, target.service)
        if is_lost and not self._links.answers_arrive(target.service):
            return Reuse.LAST_RESORT
        return Reuse.PREFERRED

    def _judge_relayed(self, connection: BackEndConnection, target: DialTarget) -> Reuse:
        if not self._is_relay_usable(connection.relay):
            return Reuse.NEVER
        if not target.back_end:
            return Reuse.PREFERRED
        if target.allowed_regions and connection.relay_region not in target.allowed_regions:
            return Reuse.OTHER_REQUESTS
        if self._links.is_lost(target.back_end, target.service):
            connection.retires_at = None
            return Reuse.PREFERRED
        if connection.retires_at is None:
            connection.retires_at = self._retirement(target.service)
        return Reuse.PREFERRED if steady_seconds() < connection.retires_at else Reuse.NEVER

    def _retirement(self, service: str) -> float:
        delay = self._random.uniform(0.0, _RETIREMENT_SECONDS)
        return self._links.restored_at(service) + delay
