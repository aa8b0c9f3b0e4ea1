"""The configuration in force in this daemon, and its propagation to the others.

A daemon keeps the latest revision it has seen, ordered by the platform's era, and never reverts to
an earlier one, nor to the copy that a restored platform came back with. A new revision is
propagated down a tree: each daemon pulls it, forwards the announcement to its part of the targets,
and replies with the instances that have it. Heartbeats carry the revision, so a daemon that the
tree missed pulls it from a neighbour that has it.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from concurrent import futures

import msgspec

from kitekeel_peers.messages import (
    PullReply,
    PullRequest,
    SpreadReply,
    SpreadRequest,
    SpreadTarget,
)
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import PeerError
from kitekeel_steering.model import Configuration, decode_configuration, encode_configuration
from kitekeel_steering.progress import PartProgress
from kitekeel_steering.store_revision import StoreRevision

PULL = "Pull"
SPREAD = "Spread"

_FAN_OUT = 8
_PULL_TIMEOUT_SECONDS = 2.0
_MIN_RELAY_SECONDS = 0.2
_RELAY_DEADLINE_SHARE = 0.8


class ConfigurationSpread:
    """Stores and propagates the configuration.

    Args:
        client: calls other daemons.
        own_address: the address from which others pull this daemon's document.
        own_instance: this daemon's instance, for confirmations.
        on_adopt: called with each configuration that comes into force here.
        on_unreadable: called with a description of each received document that cannot be decoded;
            the current configuration stays in force.
    """

    def __init__(
        self,
        client: PeerClient,
        own_address: str,
        own_instance: str,
        on_adopt: Callable[[Configuration], None],
        on_unreadable: Callable[[str], None],
    ) -> None:
        self._client = client
        self._own_address = own_address
        self._own_instance = own_instance
        self._on_adopt = on_adopt
        self._on_unreadable = on_unreadable
        self._lock = threading.Lock()
        self._current = Configuration()
        self._document = encode_configuration(self._current)

    def register(self, server: PeerServer) -> None:
        """Register the RPC handlers."""
        server.register(PULL, PullRequest, self._handle_pull)
        server.register(SPREAD, SpreadRequest, self._handle_spread)

    def current(self) -> Configuration:
        """Return the configuration in force here."""
        return self._current

    def revision(self) -> int:
        """Return the revision in force here."""
        return self._current.revision

    def order(self) -> StoreRevision:
        """Return the era and revision in force here."""
        return self._current.order

    def progress(self) -> tuple[PartProgress, ...]:
        """Return the revision in force as the progress to state in heartbeats."""
        own = self.order()
        return (PartProgress(own.number, era=own.era),)

    def adopt(self, configuration: Configuration) -> bool:
        """Put a configuration into force if it is newer than the current one.

        The listener runs under the lock, so that two revisions that arrive concurrently come into
        force in order, and the lower one never replaces the higher.
        """
        with self._lock:
            if configuration.order <= self._current.order:
                return False
            if configuration.is_older_copy_of(self._current):
                return False
            self._current = configuration
            self._document = encode_configuration(configuration)
            self._on_adopt(configuration)
            return True

    def pull(self, address: str) -> bool:
        """Pull a newer configuration from another daemon; return whether one was adopted."""
        own = self.order()
        request = PullRequest(own.number, own.era)
        try:
            reply = self._client.call(address, PULL, request, PullReply, _PULL_TIMEOUT_SECONDS)
        except PeerError:
            return False
        if not reply.document:
            return False
        try:
            configuration = decode_configuration(reply.document)
        except (msgspec.MsgspecError, RecursionError) as error:
            self._on_unreadable(f"configuration of {address}: {error}")
            return False
        return self.adopt(
            msgspec.structs.replace(configuration, revision=reply.revision, era=reply.era)
        )

    def spread(self, targets: Sequence[SpreadTarget], seconds: float) -> set[str]:
        """Propagate the current revision to other daemons.

        Returns:
            The instances on which it or a later one is in force, including this one.
        """
        confirmed = {self._own_instance}
        parts = _split([each for each in targets if each.instance != self._own_instance])
        if not parts:
            return confirmed
        deadline = steady_seconds() + seconds
        with futures.ThreadPoolExecutor(len(parts), thread_name_prefix="spread") as workers:
            for reached in workers.map(lambda part: self._relay(part, deadline), parts):
                confirmed |= reached
        return confirmed

    def _relay(self, part: Sequence[SpreadTarget], deadline: float) -> set[str]:
        """Delegate a part of the targets to its first member, or the next if that one fails."""
        remaining = list(part)
        while remaining:
            seconds = deadline - steady_seconds()
            if seconds < _MIN_RELAY_SECONDS:
                break
            head, *rest = remaining
            order = self.order()
            request = SpreadRequest(
                order.number,
                self._own_address,
                tuple(rest),
                seconds * _RELAY_DEADLINE_SHARE,
                order.era,
            )
            try:
                reply = self._client.call(head.peer_address, SPREAD, request, SpreadReply, seconds)
                return set(reply.confirmed)
            except PeerError:
                remaining = rest
        return set()

    def _handle_pull(self, request: PullRequest) -> PullReply:
        with self._lock:
            own = self._current.order
            if own <= StoreRevision(request.era, request.later_than):
                return PullReply(own.number, b"", own.era)
            return PullReply(own.number, self._document, own.era)

    def _handle_spread(self, request: SpreadRequest) -> SpreadReply:
        announced = StoreRevision(request.era, request.revision)
        if self.order() < announced:
            self.pull(request.source_address)
        confirmed = self.spread(request.targets, request.remaining_seconds)
        if self.order() < announced:
            confirmed.discard(self._own_instance)
        return SpreadReply(tuple(confirmed))


def _split(targets: Sequence[SpreadTarget]) -> list[list[SpreadTarget]]:
    parts = [list(targets[start::_FAN_OUT]) for start in range(_FAN_OUT)]
    return [part for part in parts if part]
