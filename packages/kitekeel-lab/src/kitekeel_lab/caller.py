"""A caller: looks entries up, keeps them for their max-age, and sends requests."""

from __future__ import annotations

import enum
import threading
import time

import msgspec
import urllib3

from kitekeel_callers.answers import CODE_HEADER, OUTCOME_HEADER
from kitekeel_callers.entries import EntriesBody, Entry
from kitekeel_steering.errors import KitekeelError
from kitekeel_steering.home_tokens import join_key

_LOOKUP_TIMEOUT_SECONDS = 2.0
_ANSWER_MARGIN_SECONDS = 3.0
_CONNECTIONS = 64
_MAX_PAUSE_SECONDS = 1.0


class NoEntryError(KitekeelError):
    """No daemon answered the look-up."""

    code = "no-entry"


class Result(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"
    LOST = "lost"


class CallerSpec(msgspec.Struct, frozen=True):
    """What one request asks for.

    Attributes:
        work_seconds: service time at the back end.
        upload_bytes: length of the request's body.
    """

    service: str
    class_name: str
    class_key: str
    repeatable: bool
    work_seconds: float
    deadline_seconds: float
    answer_bytes: int = 0
    upload_bytes: int = 0


class CallerOutcome(msgspec.Struct, frozen=True):
    """What became of one attempt at one request."""

    request_id: str
    result: Result
    status: int
    code: str
    retry_after_seconds: float | None
    seconds: float
    entry: str


class _Cached(msgspec.Struct, frozen=True):
    entries: tuple[Entry, ...]
    good_until: float


class Caller:
    """Callers of one zone, which share a cache of look-ups; safe to call from many threads.

    Args:
        zone: where they are.
        known: callers' addresses of some daemons.
    """

    def __init__(self, zone: str, known: list[str], block: str = "") -> None:
        self._zone = zone
        self._known = list(known)
        self._block = block or zone
        self._cache: dict[str, _Cached] = {}
        self._lock = threading.Lock()
        self._http = urllib3.PoolManager(maxsize=_CONNECTIONS, retries=False)

    def entries(self, service: str) -> tuple[Entry, ...]:
        """Return a look-up's answer, from the cache while that is good.

        Raises:
            NoEntryError: no known daemon answers.
        """
        now = time.monotonic()
        cached = self._cache.get(service)
        if cached is not None and cached.good_until > now:
            return cached.entries
        with self._lock:
            cached = self._cache.get(service)
            if cached is not None and cached.good_until > now:
                return cached.entries
            found = self._look_up(service)
            self._cache[service] = _Cached(found.entries, now + found.max_age_seconds)
            return found.entries

    def send(self, spec: CallerSpec, request_id: str, repeats: int = 0) -> CallerOutcome:
        """Send a request to the best entry.

        Args:
            spec: what to ask for.
            request_id: its id.
            repeats: how often one that has a key is sent again, under the same key and to the next
                entry, while its outcome is unknown to the caller. One without a key would be a new
                request, of which an answer says nothing about the former.
        """
        started_at = time.monotonic()
        try:
            entries = self.entries(spec.service)
        except NoEntryError:
            seconds = time.monotonic() - started_at
            return CallerOutcome(request_id, Result.LOST, 0, "no-entry", None, seconds, "")
        key = "" if spec.repeatable else join_key(entries[0].home_token, request_id)
        outcome = self.send_to(entries[0].address, spec, request_id, key)
        for turn in range(1, repeats + 1 if key else 1):
            if outcome.result not in (Result.LOST, Result.UNKNOWN, Result.CUT):
                break
            time.sleep(min(_MAX_PAUSE_SECONDS, outcome.retry_after_seconds or 0.0))
            address = entries[turn % len(entries)].address
            outcome = self.send_to(address, spec, request_id, key)
        return outcome

    def send_to(self, address: str, spec: CallerSpec, request_id: str, key: str) -> CallerOutcome:
        """Send a request to a given daemon under a given key."""
        started_at = time.monotonic()
        query = f"work_ms={spec.work_seconds * 1000:g}&answer_bytes={spec.answer_bytes}"
        method = "GET" if spec.repeatable and not spec.upload_bytes else "POST"
        try:
            response = self._http.request(
                method,
                f"http://{address}/v1/services/{spec.service}/work?{query}",
                headers=_headers(spec, request_id, key),
                body=b"u" * spec.upload_bytes if spec.upload_bytes else None,
                timeout=spec.deadline_seconds + _ANSWER_MARGIN_SECONDS,
                preload_content=False,
            )
            result, code = _judge(response, request_id, spec)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            seconds = time.monotonic() - started_at
            name = type(error).__name__
            return CallerOutcome(request_id, Result.LOST, 0, name, None, seconds, address)
        retry_after = response.headers.get("Retry-After")
        return CallerOutcome(
            request_id,
            result,
            response.status,
            code,
            float(retry_after) if retry_after else None,
            time.monotonic() - started_at,
            address,
        )

    def _look_up(self, service: str) -> EntriesBody:
        for address in list(self._known):
            try:
                response = self._http.request(
                    "GET",
                    f"http://{address}/v1/entries",
                    fields={"service": service, "zone": self._zone, "block": self._block},
                    timeout=_LOOKUP_TIMEOUT_SECONDS,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if response.status != 200:
                continue
            found = msgspec.json.decode(response.data, type=EntriesBody)
            if found.entries:
                return found
        raise NoEntryError("no known daemon answers the look-up", 1.0)


def _headers(spec: CallerSpec, request_id: str, key: str) -> dict[str, str]:
    headers = {
        "Kitekeel-Request-Id": request_id,
        "Kitekeel-Class": spec.class_name,
        "Kitekeel-Deadline-Ms": str(int(spec.deadline_seconds * 1000)),
        "Kitekeel-Repeatable": "yes" if spec.repeatable else "no",
    }
    if spec.class_key:
        headers["Kitekeel-Class-Key"] = spec.class_key
    if key:
        headers["Idempotency-Key"] = key
    return headers


def _judge(
    response: urllib3.BaseHTTPResponse, request_id: str, spec: CallerSpec
) -> tuple[Result, str]:
    """Compare an answer with what the back end gives for this request's id."""
    outcome = response.headers.get(OUTCOME_HEADER, "")
    code = response.headers.get(CODE_HEADER, "")
    try:
        body = response.read()
    except (urllib3.exceptions.HTTPError, OSError):
        return Result.CUT, "cut"
    response.release_conn()
    if outcome != Result.ANSWERED.value:
        return Result(outcome) if outcome else Result.WRONG, code
    if code:
        return Result.ANSWERED, code
    head = body.split(b"\n", 1)[0].decode(errors="replace")
    whole = len(body) >= spec.answer_bytes or response.status != 200
    if not head.startswith(request_id + " ") or not whole:
        return Result.WRONG, "wrong-answer"
    return Result.ANSWERED, ""
