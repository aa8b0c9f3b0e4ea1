"""HTTP calls to a gateway daemon's metrics address."""

from __future__ import annotations

import urllib3

from kitekeel_operators.client import DaemonUnreachableError

_TIMEOUT_SECONDS = 3.0


def call_gateway(
    method: str, address: str, path: str, headers: dict[str, str]
) -> urllib3.BaseHTTPResponse:
    """Return the response of a gateway, whatever its status.

    Raises:
        DaemonUnreachableError: the gateway did not answer.
    """
    url = f"http://{address}{path}"
    try:
        return urllib3.request(
            method, url, headers=headers, timeout=_TIMEOUT_SECONDS, retries=False
        )
    except urllib3.exceptions.HTTPError as error:
        raise DaemonUnreachableError(f"{address}: {error}") from error
