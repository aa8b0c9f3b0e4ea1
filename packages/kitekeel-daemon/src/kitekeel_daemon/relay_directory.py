"""Chooses the daemons through which this one connects to back ends that it cannot reach."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from kitekeel_backends.back_end_dialer import DialTarget, Relay
from kitekeel_peers.messages import MemberRecord
from kitekeel_steering.clock import Clock

# How long a daemon is not asked after it could not open a connection. It answers at once when it
# knows that it cannot, so asking again is cheap.
_AVOIDED_SECONDS = 1.0
_REFRESH_SECONDS = 0.25
_MAX_RELAYS_PER_CONNECTION = 3
# With fewer daemons in the own region, they share the relayed requests with the other regions.
_MIN_RELAYS_IN_REGION = 2


class RelayDirectory:
    """The other serving daemons, and which of them recently failed to relay.

    Args:
        own_region: this daemon's region.
        members: returns the records of all live daemons.
        own_instance: this daemon's instance name.
    """

    def __init__(
        self,
        own_instance: str,
        own_region: str,
        members: Callable[[], Sequence[MemberRecord]],
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._own_instance = own_instance
        self._own_region = own_region
        self._members = members
        self._clock = clock
        self._random = generator
        self._relays: dict[str, Relay] = {}
        self._refreshed_at = float("-inf")
        self._avoided_until: dict[tuple[str, str], float] = {}

    def choose(self, target: DialTarget) -> list[Relay]:
        """Return daemons to ask for a connection, in random order.

        Those of the own region come first, unless only other regions may see the request: then the
        daemons of the back end's region are used.
        """
        now = self._clock.monotonic()
        usable = [
            each
            for each in self._current(now).values()
            if now >= self._avoided_until.get((each.daemon, target.service), 0.0)
            and (not target.allowed_regions or each.region in target.allowed_regions)
        ]
        self._random.shuffle(usable)
        nearest = self._own_region
        if target.allowed_regions and nearest not in target.allowed_regions:
            nearest = target.region
        near = [each for each in usable if each.region == nearest]
        if len(near) >= _MIN_RELAYS_IN_REGION:
            others = [each for each in usable if each.region != nearest]
            usable = [*near, *others]
        return usable[:_MAX_RELAYS_PER_CONNECTION]

    def note_failed(self, relay: Relay, service: str) -> None:
        """Avoid a daemon for a while because it could not connect to a service's back end."""
        until = self._clock.monotonic() + _AVOIDED_SECONDS
        self._avoided_until[relay.daemon, service] = until

    def is_usable(self, daemon: str) -> bool:
        """Return whether a daemon is still serving."""
        return daemon in self._current(self._clock.monotonic())

    def _current(self, now: float) -> dict[str, Relay]:
        if now - self._refreshed_at >= _REFRESH_SECONDS:
            self._refreshed_at = now
            self._relays = {
                each.instance: Relay(each.instance, each.relay_address, each.region)
                for each in self._members()
                if each.is_serving and each.relay_address and each.instance != self._own_instance
            }
            for key in [each for each in self._avoided_until if each[0] not in self._relays]:
                del self._avoided_until[key]
        return self._relays
