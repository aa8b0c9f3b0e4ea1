"""Report of a gateway daemon to operators on requests during which back ends crashed."""

from __future__ import annotations

import msgspec

CRASH_RECORDS_PATH = "/crash-records"
RELEASE_SUFFIX = "/release"
SECRET_HEADER = b"kitekeel-secret"


class CrashReport(msgspec.Struct, frozen=True):
    """One request during which back-end processes have ended.

    Attributes:
        identity: identity of the request, the same for each try and on every daemon.
        ends: processes that ended while running it, each as ``instance/start``.
        versions: software versions of these processes.
        tries: reasons of the careful tries since then.
        times_cleared: number of times the request was found harmless or released by an operator.
        last_end_at: wall-clock time of the last end, in seconds since 1970.
    """

    identity: str
    service: str
    is_quarantined: bool
    ends: tuple[str, ...]
    versions: tuple[str, ...]
    tries: tuple[str, ...]
    times_cleared: int
    last_end_at: float
