"""The platform stand-in's store: values with versions, leases and waiting reads."""

from __future__ import annotations

import threading
import time

import msgspec


class StoredValue(msgspec.Struct):
    """One value; a lease has an end."""

    version: int
    value: bytes
    expires_at: float | None


class PlatformStore:
    """Versioned values in memory.

    Attributes:
        era: how often it has come back from a copy, from 1.
    """

    def __init__(self) -> None:
        self.era = 1
        self._values: dict[str, StoredValue] = {}
        self._changed = threading.Condition()

    def read(self, key: str) -> StoredValue | None:
        """Return a value, unless there is none or its lease has ended."""
        with self._changed:
            return self._live(key)

    def read_after(
        self, key: str, version: int, wait_seconds: float, era: int = 0
    ) -> StoredValue | None:
        """Wait for a version later than the given one, or for another era than the given one."""

        def found() -> StoredValue | None:
            is_other_era = era not in (0, self.era)
            return self._live(key) if is_other_era else self._later(key, version)

        with self._changed:
            self._changed.wait_for(lambda: found() is not None, wait_seconds)
            return found()

    def write(
        self, key: str, value: bytes, expected: int, lease_seconds: float | None
    ) -> int | None:
        """Write if the version is the expected one; return the new version."""
        with self._changed:
            present = self._live(key)
            if (present.version if present else 0) != expected:
                return None
            expires_at = None if lease_seconds is None else time.monotonic() + lease_seconds
            self._values[key] = StoredValue(expected + 1, value, expires_at)
            self._changed.notify_all()
            return expected + 1

    def copy(self) -> dict[str, StoredValue]:
        """Return a copy of all values, from which the store may be restored."""
        with self._changed:
            return {key: msgspec.structs.replace(each) for key, each in self._values.items()}

    def restore(self, copy: dict[str, StoredValue]) -> None:
        """Come back from a copy; later writes are gone, and their versions are given out again."""
        with self._changed:
            self.era += 1
            self._values = {key: msgspec.structs.replace(each) for key, each in copy.items()}
            self._changed.notify_all()

    def _later(self, key: str, version: int) -> StoredValue | None:
        found = self._live(key)
        return found if found is not None and found.version > version else None

    def _live(self, key: str) -> StoredValue | None:
        found = self._values.get(key)
        if found is None or found.expires_at is None or found.expires_at >= time.monotonic():
            return found
        del self._values[key]
        return None
