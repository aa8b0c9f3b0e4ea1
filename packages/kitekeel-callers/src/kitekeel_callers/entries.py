"""Look-ups of the daemons that a caller may use, with short-lived cached answers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
import xxhash

from kitekeel_callers.answers import BufferedAnswer, error_answer, json_answer
from kitekeel_callers.caller_request import Environment
from kitekeel_callers.intake import StartResponse
from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import NoConfigurationError, UnknownServiceError
from kitekeel_steering.home_tokens import HomeToken, HomeTokenSigner
from kitekeel_steering.metrics import Metrics
from kitekeel_steering.model import Configuration

ENTRIES_PATH = "/v1/entries"

_REFRESH_SECONDS = 5.0
_MAX_ENTRIES = 8


class EntryMachine(msgspec.Struct, frozen=True):
    """A daemon that callers may be sent to."""

    instance: str
    address: str
    region: str
    zone: str


class Entry(msgspec.Struct, frozen=True):
    """One daemon in the answer to a look-up.

    Attributes:
        home_token: keys that start with this token have this daemon as their home.
    """

    address: str
    region: str
    zone: str
    home_token: str


class EntriesBody(msgspec.Struct, frozen=True):
    """The answer to a look-up, with the nearest entries first."""

    service: str
    max_age_seconds: int
    entries: tuple[Entry, ...]


class EntryTiming(msgspec.Struct, frozen=True):
    """How long answers may be cached and tokens are valid, in seconds."""

    max_age_seconds: int
    token_life_seconds: int


class _PreparedAnswers(msgspec.Struct, frozen=True):
    """Cached answers for one service and zone, one per rotation of the nearest entries."""

    answers: tuple[BufferedAnswer, ...]
    prepared_at: float
    state: tuple[int, int]


class EntryLookups:
    """The WSGI application that answers look-ups.

    Args:
        machines: returns the daemons that callers may be sent to.
        state: returns a number that changes whenever the machines change.
        configuration: returns the current configuration.
        zone: this daemon's zone, assumed for callers that name none or an unknown one.
        signer: signs home tokens.
        clock: dates the answers and the tokens.
        timing: lifetimes of answers and tokens.
        metrics: counts look-ups.
    """

    def __init__(
        self,
        machines: Callable[[], Iterable[EntryMachine]],
        state: Callable[[], int],
        configuration: Callable[[], Configuration],
        zone: str,
        signer: HomeTokenSigner,
        clock: Clock,
        timing: EntryTiming,
        metrics: Metrics,
    ) -> None:
        self._machines = machines
        self._state = state
        self._configuration = configuration
        self._zone = zone
        self._signer = signer
        self._clock = clock
        self._timing = timing
        self._metrics = metrics
        self._prepared: dict[tuple[str, str], _PreparedAnswers] = {}
        self._lock = threading.Lock()

    def __call__(self, environment: Environment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one look-up."""
        self._metrics.increment("lookups.received")
        query = parse_qs(str(environment.get("QUERY_STRING", "")))
        service = query.get("service", [""])[0]
        zone = query.get("zone", [self._zone])[0]
        block = query.get("block", [str(environment.get("REMOTE_ADDR", ""))])[0]
        answer = self.answer(service, zone, block)
        start_response(answer.status_line, list(answer.headers))
        return [answer.body]

    def answer(self, service: str, zone: str, block: str) -> BufferedAnswer:
        """Return the cached answer for a service, a caller's zone and its client block."""
        configuration = self._configuration()
        if configuration.revision == 0:
            return error_answer(NoConfigurationError("no configuration is known yet", 1.0))
        if configuration.find_service(service) is None:
            return error_answer(UnknownServiceError(f"no service '{service}'"))
        prepared = self._get_prepared(configuration, service, zone)
        rotation = xxhash.xxh32_intdigest(block.encode()) % len(prepared.answers)
        return prepared.answers[rotation]

    def _get_prepared(
        self, configuration: Configuration, service: str, zone: str
    ) -> _PreparedAnswers:
        if not any(zone in region.zones for region in configuration.regions):
            zone = self._zone
        state = (configuration.revision, self._state())
        cached = self._prepared.get((service, zone))
        now = self._clock.monotonic()
        if cached and cached.state == state and now - cached.prepared_at < _REFRESH_SECONDS:
            return cached
        with self._lock:
            answers = self._build_answers(configuration, service, zone)
            prepared = _PreparedAnswers(answers, now, state)
            self._prepared[(service, zone)] = prepared
            return prepared

    def _build_answers(
        self, configuration: Configuration, service: str, zone: str
    ) -> tuple[BufferedAnswer, ...]:
        region = next((each.name for each in configuration.regions if zone in each.zones), "")

        def distance(machine: EntryMachine) -> tuple[bool, float, bool]:
            seconds = configuration.one_way_seconds(region, machine.region) if region else 0.0
            return machine.zone != zone, seconds, machine.region != region

        machines = sorted(self._machines(), key=lambda each: (distance(each), each.instance))
        # Rotate only the nearest machines. When a rotation covered all regions, callers of a zone
        # whose last daemon had stopped were sent to distant daemons, and one block of clients
        # doubled the load of a daemon.
        nearest_count = sum(distance(each) == distance(machines[0]) for each in machines)
        rotations = max(1, nearest_count)
        return tuple(
            self._build_answer(service, _rotate(machines, rotations, offset))
            for offset in range(rotations)
        )

    def _build_answer(self, service: str, machines: list[EntryMachine]) -> BufferedAnswer:
        expires_at = int(self._clock.wall()) + self._timing.token_life_seconds
        entries = tuple(
            Entry(
                each.address,
                each.region,
                each.zone,
                self._signer.sign(HomeToken(each.instance, expires_at)),
            )
            for each in machines[:_MAX_ENTRIES]
        )
        body = EntriesBody(service, self._timing.max_age_seconds, entries)
        headers = (
            ("Content-Type", "application/json"),
            ("Cache-Control", f"max-age={self._timing.max_age_seconds}"),
        )
        return json_answer(HTTPStatus.OK, msgspec.json.encode(body), headers)


def _rotate(machines: list[EntryMachine], count: int, offset: int) -> list[EntryMachine]:
    """Return the machines with the first ``count`` rotated, to spread callers over them."""
    return machines[offset:count] + machines[:offset] + machines[count:]
