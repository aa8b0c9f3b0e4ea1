"""Idempotency keys stored by their home, with the state and outcome of each key's request.

Only the home of a key runs its request, and it does so at most once per key. A record is stored
until the home token of the key expires; after that the key is refused, so the record can be removed
safely.
"""

from __future__ import annotations

import enum
import threading

import msgspec

from kitekeel_steering.clock import Clock
from kitekeel_steering.errors import (
    HomeMovedError,
    IdempotencyKeyReusedError,
    KeyTableFullError,
    StillRunningError,
)

_EXPIRY_INTERVAL_SECONDS = 5.0
# Records are kept longer, so that a key cannot become valid again after its removal if the wall
# clock is set back.
_EXPIRY_MARGIN_SECONDS = 300.0


class KeyState(enum.Enum):
    """State of the request of a key."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class KeptAnswer(msgspec.Struct, frozen=True):
    """A back end's answer, stored for retries of the request.

    Attributes:
        body: the complete body, or ``None`` if it exceeded the size that the home stores.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class KeyRecord(msgspec.Struct):
    """The record of one key at its home.

    Attributes:
        fingerprint: service, method and path, to detect a key reused for a different request.
        expires_at: wall-clock time of expiry, in seconds since 1970.
        runs_at: the stopping instance that still runs the request after handing over its keys.
    """

    key: str
    fingerprint: str
    expires_at: float
    state: KeyState
    answer: KeptAnswer | None = None
    runs_at: str = ""


class ExportedKeys(msgspec.Struct, frozen=True):
    """The records of a closed table.

    Attributes:
        running: keys of the requests that this instance is still running.
    """

    records: tuple[KeyRecord, ...]
    running: frozenset[str]


class KeyTable:
    """Records of the keys homed at this instance, and of those taken over from stopping instances.

    Args:
        clock: its wall clock determines when records expire.
        max_keys: maximum number of stored keys; new keys are refused while it is reached.
    """

    def __init__(self, clock: Clock, max_keys: int = 100_000) -> None:
        self._clock = clock
        self._max_keys = max_keys
        self._records: dict[str, KeyRecord] = {}
        self._changed = threading.Condition()
        self._closed = False
        self._next_expiry = 0.0

    def begin(self, key: str, fingerprint: str, expires_at: float) -> KeyRecord | None:
        """Add a key, or return the record of an earlier attempt.

        Returns:
            ``None`` if the key is new, so that this attempt alone must run the request.

        Raises:
            IdempotencyKeyReusedError: the key belongs to a different request.
            KeyTableFullError: the table is full and no record has expired.
            HomeMovedError: the table was handed over to another instance.
        """
        with self._changed:
            self._remove_expired()
            record = self._records.get(key)
            if record is not None:
                if record.fingerprint != fingerprint:
                    raise IdempotencyKeyReusedError("the key was used for another request")
                return record
            if self._closed:
                raise HomeMovedError("the key's home has handed its keys over", 1.0)
            if len(self._records) >= self._max_keys:
                raise KeyTableFullError("the home has reached its maximum number of keys", 5.0)
            self._records[key] = KeyRecord(key, fingerprint, expires_at, KeyState.RUNNING)
            return None

    def finish(self, key: str, answer: KeptAnswer) -> None:
        """Record the complete answer of the back end."""
        self._set_outcome(key, KeyState.FINISHED, answer)

    def mark_unknown(self, key: str) -> None:
        """Record that the request may or may not have run."""
        self._set_outcome(key, KeyState.UNKNOWN, None)

    def release(self, key: str) -> None:
        """Remove a key whose request was certainly not run, so that a retry may run it."""
        with self._changed:
            record = self._records.get(key)
            if record is not None and record.state is KeyState.RUNNING:
                del self._records[key]
            self._changed.notify_all()

    def wait(self, record: KeyRecord, seconds: float) -> KeyRecord | None:
        """Wait until an earlier attempt has ended.

        Returns:
            The record of the ended attempt, or ``None`` if the request was not run.

        Raises:
            StillRunningError: the attempt did not end within the given time.
        """
        deadline = self._clock.monotonic() + seconds
        with self._changed:
            while self._is_running(record.key):
                remaining = deadline - self._clock.monotonic()
                if remaining <= 0:
                    raise StillRunningError("an earlier attempt is still running", 1.0)
                self._changed.wait(remaining)
            return self._records.get(record.key)

    def close_and_export(self) -> ExportedKeys:
        """Refuse new keys from now on and return all records, for the daemon that takes over."""
        with self._changed:
            self._closed = True
            records = tuple(self._records.values())
            running = (each for each in records if each.state is KeyState.RUNNING)
            keys = frozenset(each.key for each in running if not each.runs_at)
            return ExportedKeys(records, keys)

    def export_ended(self, keys: frozenset[str]) -> list[KeyRecord]:
        """Return the records of those of the given keys whose attempts have ended.

        Released keys, whose requests were not run, are not included. The daemon that took over
        finally marks them as unknown, which is safe.
        """
        with self._changed:
            found = [self._records[key] for key in keys if key in self._records]
            return [record for record in found if record.state is not KeyState.RUNNING]

    def import_records(self, records: list[KeyRecord], source: str) -> None:
        """Store the records of a stopping instance, which continues its running requests."""
        with self._changed:
            for record in records:
                known = self._records.get(record.key)
                if known is not None and known.state is not KeyState.RUNNING:
                    continue
                if record.state is KeyState.RUNNING:
                    record.runs_at = record.runs_at or source
                self._records[record.key] = record
            self._changed.notify_all()

    def abandon(self, source: str) -> None:
        """Mark the requests as unknown that an instance was still running when it stopped."""
        with self._changed:
            for record in self._records.values():
                if record.runs_at == source and record.state is KeyState.RUNNING:
                    record.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def _is_running(self, key: str) -> bool:
        record = self._records.get(key)
        return record is not None and record.state is KeyState.RUNNING

    def _set_outcome(self, key: str, state: KeyState, answer: KeptAnswer | None) -> None:
        with self._changed:
            record = self._records.get(key)
            if record is not None:
                record.answer = answer
                record.state = state
            self._changed.notify_all()

    def _remove_expired(self) -> None:
        now = self._clock.wall()
        if now < self._next_expiry:
            return
        self._next_expiry = now + _EXPIRY_INTERVAL_SECONDS
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_at + _EXPIRY_MARGIN_SECONDS < now
            and record.state is not KeyState.RUNNING
        ]
        for key in expired:
            del self._records[key]
