"""The operator endpoints of a gateway daemon: metrics, tenants, and requests that crash back ends.

``GET /crash-records`` lists those requests with their evidence. ``POST /crash-records/ID/release``
releases one from quarantine on all daemons and requires the daemons' shared secret.
``GET /tenants`` reports how much of their limits tenants use. Every other path returns the metrics.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.crash_ledger import CrashLedger
from kitekeel_steering.crash_reports import (
    CRASH_RECORDS_PATH,
    RELEASE_SUFFIX,
    SECRET_HEADER,
    CrashReport,
)
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest, find_header
from kitekeel_steering.tenant_reports import TENANTS_PATH, TenantsReply

_JSON = ((b"Content-Type", b"application/json"),)


class GatewayOperations:
    """Answers operators' HTTP requests.

    Args:
        ledger: records of the requests that crashed back ends.
        secret: must be presented to release a request.
        metrics_text: returns the metrics in the exposition format.
        tenants: returns how much of their limits the tenants use.
    """

    def __init__(
        self,
        ledger: CrashLedger,
        secret: str,
        metrics_text: Callable[[], bytes],
        tenants: Callable[[], TenantsReply],
    ) -> None:
        self._tenants = tenants
        self._ledger = ledger
        self._secret = secret.encode()
        self._metrics_text = metrics_text

    async def handle(self, request: ProxiedRequest) -> ProxiedAnswer:
        """Answer one request."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path == TENANTS_PATH:
            return own_answer(HTTPStatus.OK, _JSON, msgspec.json.encode(self._tenants()))
        if path == CRASH_RECORDS_PATH:
            return own_answer(HTTPStatus.OK, _JSON, msgspec.json.encode(self._reports()))
        if path.startswith(f"{CRASH_RECORDS_PATH}/") and path.endswith(RELEASE_SUFFIX):
            return self._release(request, path)
        return own_answer(HTTPStatus.OK, body=self._metrics_text())

    def _reports(self) -> list[CrashReport]:
        found = self._ledger.records()
        return [
            CrashReport(
                identity=each.identity,
                service=each.service,
                is_quarantined=self._ledger.is_quarantined(each.identity),
                ends=each.ends,
                versions=each.versions,
                tries=each.tries,
                times_cleared=each.epoch,
                last_end_at=each.last_end_at,
            )
            for each in found
            if each.ends
        ]

    def _release(self, request: ProxiedRequest, path: str) -> ProxiedAnswer:
        given = find_header(request.headers, SECRET_HEADER) or b""
        if request.method != b"POST":
            return own_answer(HTTPStatus.METHOD_NOT_ALLOWED)
        if not hmac.compare_digest(given, self._secret):
            return own_answer(HTTPStatus.FORBIDDEN)
        identity = path.removeprefix(f"{CRASH_RECORDS_PATH}/").removesuffix(RELEASE_SUFFIX)
        is_released = self._ledger.release(identity)
        return own_answer(HTTPStatus.OK if is_released else HTTPStatus.NOT_FOUND)
