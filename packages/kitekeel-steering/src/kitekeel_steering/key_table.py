"""The memory of a key's home: which requests that may not be repeated have run, and how they ended.

Only the home of a key runs it, and it begins each key at most once. A record stays until the key's
home token expires; after that the key is refused, so forgetting the record is safe.
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

_SWEEP_INTERVAL_SECONDS = 5.0
# A wall clock that is set back must not make a forgotten key valid again.
_SWEEP_MARGIN_SECONDS = 300.0


class KeyState(enum.Enum):
    """How far the request under a key has come."""

    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class KeptAnswer(msgspec.Struct, frozen=True):
    """A back end's answer, kept for repeats of the request.

    Attributes:
        body: the whole body, or ``None`` where it was longer than the home keeps.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class KeyRecord(msgspec.Struct):
    """What the home remembers about one key.

    Attributes:
        fingerprint: service, method and path, to find a key used for two different requests.
        expires_at: wall-clock seconds since 1970.
        runs_at: the stopping instance that still runs the request, where its keys were taken over.
    """

    key: str
    fingerprint: str
    expires_at: float
    state: KeyState
    answer: KeptAnswer | None = None
    runs_at: str = ""


class ExportedKeys(msgspec.Struct, frozen=True):
    """The records of a table that was closed.

    Attributes:
        running: keys of the requests that this instance still runs.
    """

    records: tuple[KeyRecord, ...]
    running: frozenset[str]


class KeyTable:
    """Records of the keys homed at this instance, and of those taken over from stopped ones.

    Args:
        clock: its wall clock decides when records expire.
        most_keys: no further key is begun while this many are remembered.
    """

    def __init__(self, clock: Clock, most_keys: int = 100_000) -> None:
        self._clock = clock
        self._most_keys = most_keys
        self._records: dict[str, KeyRecord] = {}
        self._changed = threading.Condition()
        self._closed = False
        self._next_sweep = 0.0

    def begin(self, key: str, fingerprint: str, expires_at: float) -> KeyRecord | None:
        """Begin a key, or return the record of an earlier attempt.

        Returns:
            ``None`` where this attempt, and no other, must run the request now.

        Raises:
            IdempotencyKeyReusedError: the key belongs to a different request.
            KeyTableFullError: no record may be forgotten yet.
            HomeMovedError: the table was handed over.
        """
        with self._changed:
            self._sweep()
            record = self._records.get(key)
            if record is not None:
                if record.fingerprint != fingerprint:
                    raise IdempotencyKeyReusedError("the key was used for another request")
                return record
            if self._closed:
                raise HomeMovedError("the key's home has handed its keys over", 1.0)
            if len(self._records) >= self._most_keys:
                raise KeyTableFullError("the home remembers as many keys as it may", 5.0)
            self._records[key] = KeyRecord(key, fingerprint, expires_at, KeyState.RUNNING)
            return None

    def finish(self, key: str, answer: KeptAnswer) -> None:
        """Record the back end's whole answer."""
        self._end(key, KeyState.FINISHED, answer)

    def mark_unknown(self, key: str) -> None:
        """Record that the request may or may not have run."""
        self._end(key, KeyState.UNKNOWN, None)

    def release(self, key: str) -> None:
        """Forget a key whose request was certainly not run, so that a repeat may run."""
        with self._changed:
            record = self._records.get(key)
            if record is not None and record.state is KeyState.RUNNING:
                del self._records[key]
            self._changed.notify_all()

    def wait(self, record: KeyRecord, seconds: float) -> KeyRecord | None:
        """Wait until an earlier attempt has ended.

        Returns:
            The ended record, or ``None`` where the attempt turned out not to have run.

        Raises:
            StillRunningError: the attempt had not ended after that time.
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
        """Begin no further key and return every record, for the daemon that takes over."""
        with self._changed:
            self._closed = True
            records = tuple(self._records.values())
            running = (each for each in records if each.state is KeyState.RUNNING)
            keys = frozenset(each.key for each in running if not each.runs_at)
            return ExportedKeys(records, keys)

    def export_ended(self, keys: frozenset[str]) -> list[KeyRecord]:
        """Return the records of some keys that have ended since; a released one is not among them.

        A released key was not run. It stays unknown at the daemon that took over, which errs on the
        safe side.
        """
        with self._changed:
            found = [self._records[key] for key in keys if key in self._records]
            return [record for record in found if record.state is not KeyState.RUNNING]

    def import_records(self, records: list[KeyRecord], source: str) -> None:
        """Take over records of a stopping instance, which goes on running those that run."""
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
        """Mark as unknown what an instance was still running when it went."""
        with self._changed:
            for record in self._records.values():
                if record.runs_at == source and record.state is KeyState.RUNNING:
                    record.state = KeyState.UNKNOWN
            self._changed.notify_all()

    def _is_running(self, key: str) -> bool:
        record = self._records.get(key)
        return record is not None and record.state is KeyState.RUNNING

    def _end(self, key: str, state: KeyState, answer: KeptAnswer | None) -> None:
        with self._changed:
            record = self._records.get(key)
            if record is not None:
                record.answer = answer
                record.state = state
            self._changed.notify_all()

    def _sweep(self) -> None:
        now = self._clock.wall()
        if now < self._next_sweep:
            return
        self._next_sweep = now + _SWEEP_INTERVAL_SECONDS
        expired = [
            key
            for key, record in self._records.items()
            if record.expires_at + _SWEEP_MARGIN_SECONDS < now
            and record.state is not KeyState.RUNNING
        ]
        for key in expired:
            del self._records[key]
