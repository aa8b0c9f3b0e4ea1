"""Lets daemons compare which objects they are asked for; see ``object_overlap``."""

from __future__ import annotations

import asyncio
import random

import msgspec

from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_peers.neighbours import neighbours
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.errors import PeerError
from kitekeel_steering.object_overlap import ObjectOverlap, ObjectSample

OBJECTS = "Objects"
_INTERVAL_SECONDS = 2.0
_TIMEOUT_SECONDS = 1.0


class ObjectsRequest(msgspec.Struct, frozen=True, array_like=True):
    """Tells what the sender was asked for lately, and asks for the same."""

    region: str
    samples: tuple[ObjectSample, ...]


class ObjectsReply(msgspec.Struct, frozen=True, array_like=True):
    """What the asked daemon was asked for lately."""

    samples: tuple[ObjectSample, ...]


class ObjectExchange:
    """Compares with another daemon in turn.

    Args:
        overlap: what is compared; touched by the event loop alone.
        own_region: where this daemon is.
        loop: the event loop.
    """

    def __init__(
        self,
        overlap: ObjectOverlap,
        own_region: str,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
    ) -> None:
        self._overlap = overlap
        self._own_region = own_region
        self._client = client
        self._table = table
        self._loop = loop
        self._random = generator

    def register(self, server: PeerServer) -> None:
        """Serve the method."""
        server.register(OBJECTS, ObjectsRequest, self._handle)

    async def run(self) -> None:
        """Compare with a random neighbour at each interval, until cancelled."""
        while True:
            await asyncio.sleep(_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2))
            await self._compare_with_a_neighbour()

    async def _compare_with_a_neighbour(self) -> None:
        """Compare with one of the daemons that this one probes, so that no connection is added."""
        live = {each.instance: each for each in self._table.live()}
        names = neighbours(self._table.own().instance, live)
        if names:
            await self._compare_with(live[self._random.choice(names)])

    async def _compare_with(self, other: MemberRecord) -> None:
        request = ObjectsRequest(self._own_region, self._overlap.sample())
        try:
            reply = await asyncio.to_thread(
                self._client.call,
                other.peer_address,
                OBJECTS,
                request,
                ObjectsReply,
                _TIMEOUT_SECONDS,
            )
        except PeerError:
            # The client counts failed calls, and membership tells of daemons that are gone; a
            # comparison that is missed has no effect.
            return
        self._overlap.note_sample(reply.samples, other.region == self._own_region)

    def _handle(self, request: ObjectsRequest) -> ObjectsReply:
        """Answer on one of the peer server's threads, comparing on the event loop."""
        answer = asyncio.run_coroutine_threadsafe(self._reply(request), self._loop)
        return answer.result(_TIMEOUT_SECONDS)

    async def _reply(self, request: ObjectsRequest) -> ObjectsReply:
        self._overlap.note_sample(request.samples, request.region == self._own_region)
        return ObjectsReply(self._overlap.sample())
