"""Keyed traffic through several gateways to back ends that advertise rate limits."""

import asyncio
import random
import time
from collections import defaultdict
from collections.abc import Callable, Sequence

import msgspec
from gateway_stand_ins import BackEndStandIn, RunningGateway, ask

WINDOW_SECONDS = 4.0
# Grace period after the first answer with a limit before the gateway must enforce it.
KNOWN_AFTER_SECONDS = 0.5
SERVICE_SECONDS = 0.05


def allowed(rate: float) -> float:
    """Return the maximum number of requests allowed in any window."""
    return 1.5 * WINDOW_SECONDS * rate + 5


class LimitedBackEnd(BackEndStandIn):
    """A back end that records the arrival time and sending gateway of each request."""

    def __init__(self, instance: str, zone: str = "n1", slots: int = 9) -> None:
        super().__init__(instance, zone, slots)
        self.seconds = SERVICE_SECONDS
        self.arrivals: list[tuple[float, str]] = []
        self.informed_at: dict[str, float] = {}
        self.limited_since = float("inf")

    def advertise_limit(self, text: str) -> None:
        """Advertise a limit from now on, or none if the text is empty."""
        if text and not self.rate_limit:
            self.limited_since = time.monotonic()
        self.rate_limit = text

    def note_run(self, request_id: str) -> None:
        gateway = request_id.partition("-")[0]
        now = time.monotonic()
        self.arrivals.append((now, gateway))
        if self.rate_limit:
            self.informed_at.setdefault(gateway, now + self.seconds)

    def most_in_a_window(self) -> int:
        """Return the maximum number of requests in a window, among those subject to the limit."""
        bound = [
            at
            for at, gateway in self.arrivals
            if at >= self.informed_at.get(gateway, float("inf")) + KNOWN_AFTER_SECONDS
        ]
        most = 0
        for end, at in enumerate(bound):
            if at < self.limited_since + WINDOW_SECONDS:
                continue
            within = sum(each > at - WINDOW_SECONDS for each in bound[: end + 1])
            most = max(most, within)
        return most

    def arrival_rate(self, begin: float, end: float) -> float:
        """Return the arrivals per second between two monotonic times."""
        return sum(begin <= at < end for at, _ in self.arrivals) / (end - begin)


class CallerOutcome(msgspec.Struct, frozen=True):
    """The outcome of one request."""

    sent_at: float
    seconds: float
    status: int
    retry_after: str | None


class KeyedTraffic:
    """Sends requests with random keys to random gateways at a given mean rate."""

    def __init__(
        self, gateways: Sequence[RunningGateway], per_second: float, seed: int = 7, keys: int = 300
    ) -> None:
        self._gateways = gateways
        self._per_second = per_second
        self._random = random.Random(seed)
        self._keys = keys
        self.answers: list[CallerOutcome] = []

    async def run(self, seconds: float, is_usable: Callable[[str], bool] = lambda _: True) -> None:
        """Send requests for a number of seconds, and wait for all answers."""
        end = time.monotonic() + seconds
        tasks: list[asyncio.Task[None]] = []
        number = len(self.answers)
        next_at = time.monotonic()
        while next_at < end:
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            gateway = self._random.choice([each for each in self._gateways if is_usable(each.name)])
            number += 1
            tasks.append(asyncio.create_task(self._ask(gateway, number)))
            next_at += self._random.expovariate(self._per_second)
        await asyncio.gather(*tasks)

    async def _ask(self, gateway: RunningGateway, number: int) -> None:
        sent_at = time.monotonic()
        key = str(self._random.randrange(self._keys))
        try:
            status, headers, _ = await ask(
                gateway.callers, "/safe/x", f"{gateway.name}-{number}", key=key
            )
        except (OSError, asyncio.IncompleteReadError):
            status, headers = 0, {}
        seconds = time.monotonic() - sent_at
        self.answers.append(CallerOutcome(sent_at, seconds, status, headers.get("retry-after")))

    def statuses(self) -> dict[int, int]:
        """Return the number of requests by status; status 0 is a lost connection."""
        found: dict[int, int] = defaultdict(int)
        for each in self.answers:
            found[each.status] += 1
        return dict(found)

    def fraction_in_time(self, seconds: float) -> float:
        """Return the fraction of requests served within a number of seconds."""
        served = sum(each.status == 200 and each.seconds <= seconds for each in self.answers)
        return served / len(self.answers)
