"""What a gateway daemon tells operators of requests that end back ends."""

from __future__ import annotations

import msgspec

CRASH_RECORDS_PATH = "/crash-records"
RELEASE_SUFFIX = "/release"
SECRET_HEADER = b"kitekeel-secret"


class CrashReport(msgspec.Struct, frozen=True):
    """One request under which back ends' processes have ended.

    Attributes:
        identity: the same for each try of the request, at every daemon.
        ends: the processes that ended under it, each as ``instance/start``.
        versions: their software's versions.
        tries: what it was allowed a careful try for since.
        times_cleared: how often it was found harmless or released.
        last_end_at: wall-clock time in seconds since 1970.
    """

    identity: str
    service: str
    is_quarantined: bool
    ends: tuple[str, ...]
    versions: tuple[str, ...]
    tries: tuple[str, ...]
    times_cleared: int
    last_end_at: float
