"""Back ends that announce in their answers that they leave, or ask for a pause."""

import time
from collections.abc import Mapping

import msgspec
from gateway_stand_ins import NAMES, BackEndStandIn, configuration
from memory_store import MemoryStore
from partitioned_back_ends import PartitionedNetwork, start_on_network

from kitekeel_steering.proxied_messages import (
    RETRY_AFTER,
    ProxiedAnswer,
    ProxiedRequest,
    find_header,
)

# Time after an answer within which requests that were under way may still arrive.
KNOWN_AFTER_SECONDS = 0.5
MAX_ARRIVALS_IN_PAUSE = 2
# Time after which a gateway must send nothing more to a back end that it knows to be leaving.
DRAIN_SECONDS = 2.5


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a back end; the sender is the address of a gateway."""

    at: float
    sender: str
    request_id: str


class Pause(msgspec.Struct, frozen=True):
    """A pause that a back end asked a sender to make; times are monotonic."""

    sender: str
    asked_at: float
    ends_at: float


class AnnouncingBackEnd(BackEndStandIn):
    """A back end that records what it announced to which gateway, and what it got from them."""

    def __init__(self, instance: str, zone: str = "n1", slots: int = 9) -> None:
        super().__init__(instance, zone, slots)
        self.seconds = 0.1
        self.arrivals: list[Arrival] = []
        self.pauses: list[Pause] = []
        self.told_at: dict[str, float] = {}

    async def _handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        request_id = (find_header(request.headers, NAMES.request_id) or b"").decode()
        sender = request.caller_address
        self.arrivals.append(Arrival(time.monotonic(), sender, request_id))
        answer = await super()._handle(request)
        now = time.monotonic()
        if find_header(answer.headers, NAMES.leaving) is not None:
            self.told_at.setdefault(sender, now)
        asked = find_header(answer.headers, RETRY_AFTER)
        if asked is not None and asked.replace(b".", b"", 1).isdigit():
            self.pauses.append(Pause(sender, now, now + float(asked)))
        return answer

    def arrivals_in(self, pause: Pause) -> int:
        """Return how many requests came from a sender in the pause that it was asked to make."""
        begin = pause.asked_at + KNOWN_AFTER_SECONDS
        return sum(
            begin <= each.at < pause.ends_at and each.sender == pause.sender
            for each in self.arrivals
        )

    def broken_pauses(self) -> list[int]:
        """Return the number of requests in each pause in which too many came."""
        found = [self.arrivals_in(each) for each in self.pauses]
        return [each for each in found if each > MAX_ARRIVALS_IN_PAUSE]

    def late_arrivals(self, sent_at: Mapping[str, float], to: float = float("inf")) -> list[float]:
        """Return how long after the announcement to their gateway late requests were sent.

        Args:
            sent_at: when callers sent their requests, by request id.
            to: monotonic time up to which arrivals are judged.
        """
        found = [
            sent_at[each.request_id] - self.told_at[each.sender]
            for each in self.arrivals
            if each.at < to and each.sender in self.told_at
        ]
        return [each for each in found if each > DRAIN_SECONDS]


async def announcing_fleet(
    gateways: int = 6, back_ends: int = 6
) -> tuple[PartitionedNetwork, list[AnnouncingBackEnd]]:
    """Start back ends and gateways; each gateway has an address of its own."""
    store = MemoryStore()
    await store.put_configuration(configuration())
    servers = [AnnouncingBackEnd(f"b{number}") for number in range(back_ends)]
    for each in servers:
        await each.start()
        await store.put_back_end(each.record)
    network, _ = await start_on_network(store, servers, gateways)
    return network, servers
