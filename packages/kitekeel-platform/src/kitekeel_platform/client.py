"""Client of the platform's key-value service and machine list, over HTTP.

The protocol (docs/PLATFORM.md): ``GET /v1/values/KEY`` answers the value with its version in the
``Version`` header; with ``after=N&wait=S`` it waits for a later version. ``PUT
/v1/values/KEY?version=N`` writes if the version is still N, where 0 means that the key does not
exist; ``ttl=S`` makes the value expire after S seconds. ``GET /v1/machines`` answers the live and
leaving machines.

The header ``Era`` rises each time the service comes back from a copy, after which it gives versions
out again; 0 where there is none. A wait with ``era=E`` ends at once if the service is in another
era.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3

from kitekeel_platform.rate_budget import RateBudget
from kitekeel_steering.errors import (
    PlatformAnswerError,
    PlatformBudgetError,
    PlatformUnavailableError,
    WriteOutcomeUnknownError,
)
from kitekeel_steering.metrics import Metrics

Document = TypeVar("Document")

_MAX_CONNECTIONS = 8
_WATCH_MARGIN_SECONDS = 2.0
_OK = 200
_NOT_MODIFIED = 304
_NOT_FOUND = 404
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
_FIRST_SERVER_ERROR = 500


class VersionedValue(msgspec.Struct, frozen=True):
    """A value and its version, which each write increments; version 0 means no value.

    Attributes:
        era: how often the platform had come back from a copy; 0 if it does not say.
    """

    version: int
    value: bytes
    era: int = 0


class Machine(msgspec.Struct, frozen=True):
    """An entry of the machine list, which may be out of date.

    Attributes:
        role: ``daemon`` or ``backend``.
        address: ``IP:port`` at which it serves; for a daemon, its peer address.
        leaving: whether it is about to shut down.
    """

    role: str
    address: str
    leaving: bool = False


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list of machines."""

    machines: tuple[Machine, ...] = ()


class PlatformClient:
    """HTTP client of the platform's service.

    Args:
        address: ``IP:port``.
        budget: this daemon's share of the platform's call rate.
        metrics: counts calls and failures.
        timeout_seconds: time-out of one call, not counting the wait of a watch.
    """

    def __init__(
        self, address: str, budget: RateBudget, metrics: Metrics, timeout_seconds: float = 2.0
    ) -> None:
        self._base = f"http://{address}/v1"
        self._budget = budget
        self._metrics = metrics
        self._timeout_seconds = timeout_seconds
        self._http = urllib3.PoolManager(maxsize=_MAX_CONNECTIONS, retries=False)

    def read(self, key: str) -> VersionedValue:
        """Return a value; its version is 0 if the key does not exist.

        Raises:
            PlatformUnavailableError: no answer, or an error answer.
            PlatformBudgetError: the budget is used up.
        """
        response = self._read(f"/values/{quote(key)}", self._timeout_seconds)
        if response.status == _NOT_FOUND:
            return VersionedValue(0, b"", _parse_era(response))
        return _parse_value(response)

    def watch(
        self, key: str, after: int, wait_seconds: float, era: int = 0
    ) -> VersionedValue | None:
        """Wait for a version later than the given one, or another era; ``None`` if none came.

        Raises:
            PlatformUnavailableError: no answer.
            PlatformAnswerError: an answer that cannot be read.
            PlatformBudgetError: the budget is used up.
        """
        query = urlencode({"after": after, "wait": wait_seconds, "era": era})
        timeout = wait_seconds + _WATCH_MARGIN_SECONDS
        response = self._read(f"/values/{quote(key)}?{query}", timeout)
        if response.status in (_NOT_MODIFIED, _NOT_FOUND):
            return None
        return _parse_value(response)

    def write(
        self, key: str, value: bytes, expected_version: int, lease_seconds: float | None = None
    ) -> int | None:
        """Write a value if its version is still the expected one.

        Returns:
            The new version, or ``None`` if another write came first.

        Raises:
            PlatformUnavailableError: the write was certainly not applied.
            PlatformBudgetError: the budget is used up; nothing was sent.
            WriteOutcomeUnknownError: the write may have been applied.
        """
        query: dict[str, str] = {"version": str(expected_version)}
        if lease_seconds is not None:
            query["ttl"] = str(lease_seconds)
        url = f"{self._base}/values/{quote(key)}?{urlencode(query)}"
        self._spend_budget()
        try:
            response = self._http.request("PUT", url, body=value, timeout=self._timeout_seconds)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            self._metrics.increment("platform.failures")
            raise PlatformUnavailableError("the platform does not accept connections") from e
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._metrics.increment("platform.failures")
            raise WriteOutcomeUnknownError("the answer to a write was lost") from error
        if response.status == _CONFLICT:
            return None
        if response.status == _TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(
                "the platform rate-limited the write", _retry_after(response)
            )
        if response.status >= _FIRST_SERVER_ERROR:
            raise WriteOutcomeUnknownError(f"the platform answered {response.status} to a write")
        version = _parse_version(response)
        if version is None:
            raise WriteOutcomeUnknownError("the platform answered a write without a version")
        return version

    def machines(self) -> MachineList:
        """Return the machine list.

        Raises:
            PlatformUnavailableError: no answer.
            PlatformAnswerError: an answer that cannot be read.
            PlatformBudgetError: the budget is used up.
        """
        response = self._read("/machines", self._timeout_seconds)
        return read_document(response.data, MachineList)

    def _read(self, path: str, timeout_seconds: float) -> urllib3.BaseHTTPResponse:
        self._spend_budget()
        try:
            response = self._http.request("GET", self._base + path, timeout=timeout_seconds)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._metrics.increment("platform.failures")
            raise PlatformUnavailableError("the platform does not answer") from error
        if response.status not in (_OK, _NOT_MODIFIED, _NOT_FOUND):
            self._metrics.increment("platform.failures")
            message = f"the platform answered {response.status} to a read"
            raise PlatformUnavailableError(message, _retry_after(response))
        return response

    def _spend_budget(self) -> None:
        if not self._budget.try_take():
            self._metrics.increment("platform.over_budget")
            raise PlatformBudgetError("the budget of platform calls is used up", 1.0)
        self._metrics.increment("platform.calls")


def read_document(document: bytes, document_type: type[Document]) -> Document:
    """Decode a JSON document of the platform.

    Raises:
        PlatformAnswerError: the document does not match the type.
    """
    try:
        return msgspec.json.decode(document, type=document_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        text = f"a document of the platform is not a valid {document_type.__name__}: {error}"
        raise PlatformAnswerError(text) from error


def _parse_value(response: urllib3.BaseHTTPResponse) -> VersionedValue:
    version = _parse_version(response)
    if version is None:
        raise PlatformAnswerError("the platform answered a read without a version")
    return VersionedValue(version, response.data, _parse_era(response))


def _parse_era(response: urllib3.BaseHTTPResponse) -> int:
    stated = response.headers.get("Era", "")
    return int(stated) if stated.isdecimal() else 0


def _parse_version(response: urllib3.BaseHTTPResponse) -> int | None:
    stated = response.headers.get("Version", "")
    return int(stated) if stated.isdecimal() else None


def _retry_after(response: urllib3.BaseHTTPResponse) -> float:
    headers: Mapping[str, str] = response.headers
    value = headers.get("Retry-After", "1")
    return float(value) if value.isdigit() else 1.0
