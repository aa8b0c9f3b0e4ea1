"""Lets daemons compare samples of their requested objects; see ``object_overlap``."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import msgspec

from kitekeel_peers.loop_handler import on_event_loop
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import PeerError
from kitekeel_steering.object_overlap import ObjectOverlap, ObjectSample

OBJECTS = "Objects"
# Uses 0.1 KB/s of the 2 KB/s that a daemon may spend on control traffic.
_INTERVAL_SECONDS = 2.0
# Desynchronizes daemons that started at the same time.
_JITTER_SHARE = 0.2
# The longest round trip takes 0.12 s; a busy daemon may need a few tenths of a second more.
_TIMEOUT_SECONDS = 1.0


class ObjectsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Sends the sender's recently requested objects, and requests the receiver's."""

    region: str
    samples: tuple[ObjectSample, ...]


class ObjectsReply(msgspec.Struct, frozen=True, array_like=True):
    """The responder's recently requested objects."""

    samples: tuple[ObjectSample, ...]


class ObjectExchange:
    """Compares samples with a random neighbour at regular intervals.

    Args:
        overlap: the samples to compare; accessed only on the event loop.
        own_region: this daemon's region.
        loop: the event loop.
        on_failure: called with the address of a daemon that did not answer, the time waited in
            seconds, and the reason; the next comparison selects a neighbour anew.
    """

    def __init__(
        self,
        overlap: ObjectOverlap,
        own_region: str,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, float, str], None],
    ) -> None:
        self._on_failure = on_failure
        self._overlap = overlap
        self._own_region = own_region
        self._client = client
        self._table = table
        self._loop = loop
        self._random = generator

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        handler = on_event_loop(self._reply, self._loop, _TIMEOUT_SECONDS)
        server.register(OBJECTS, ObjectsRequest, handler)

    async def run(self) -> None:
        """Compare with a random neighbour at each interval, until cancelled."""
        while True:
            jitter = self._random.uniform(1.0 - _JITTER_SHARE, 1.0 + _JITTER_SHARE)
            await asyncio.sleep(_INTERVAL_SECONDS * jitter)
            await self._compare_with_neighbour()

    async def _compare_with_neighbour(self) -> None:
        """Compare with one of the daemons that this one probes, to reuse its connection."""
        live = {each.instance: each for each in self._table.live()}
        names = neighbours(self._table.own().instance, live)
        if names:
            await self._compare_with(live[self._random.choice(names)])

    async def _compare_with(self, other: MemberRecord) -> None:
        request = ObjectsRequest(self._own_region, self._overlap.sample())
        asked_at = steady_seconds()
        try:
            reply = await asyncio.to_thread(
                self._client.call,
                other.peer_address,
                OBJECTS,
                request,
                ObjectsReply,
                _TIMEOUT_SECONDS,
            )
        except PeerError as error:
            self._on_failure(other.peer_address, steady_seconds() - asked_at, error.message)
            return
        self._overlap.note_sample(reply.samples, other.region == self._own_region)

    async def _reply(self, request: ObjectsRequest) -> ObjectsReply:
        self._overlap.note_sample(request.samples, request.region == self._own_region)
        return ObjectsReply(self._overlap.sample())
