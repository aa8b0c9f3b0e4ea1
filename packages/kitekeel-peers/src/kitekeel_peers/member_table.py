"""The member records known to one daemon, and the rules for merging them."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import xxhash

from kitekeel_peers.messages import MemberRecord, MemberState
from kitekeel_steering.clock import Clock

_MAX_UPDATES_PER_MESSAGE = 20
_SENDS_FACTOR = 2
_ENDED_RETENTION_SECONDS = 900.0
# A member increments its counter for each change of its record and each suspicion, at most about
# once per second. A record with a higher counter than this is forged or corrupt. It is rejected
# because refuting it could need a counter beyond the 64 bits of the wire format.
_MAX_COUNTER = 1 << 32

ChangeListener = Callable[[MemberRecord], None]


class _PendingUpdate(msgspec.Struct):
    """A record that is still gossiped, with the number of messages left to include it in."""

    record: MemberRecord
    sends_left: int


class MemberTable:
    """Member records by instance; thread-safe.

    Args:
        own: this daemon's record.
        clock: measures how long ended members are remembered.
        on_change: called with each record that replaced an older one.
    """

    def __init__(self, own: MemberRecord, clock: Clock, on_change: ChangeListener) -> None:
        self._clock = clock
        self._on_change = on_change
        self._lock = threading.RLock()
        self._records = {own.instance: own}
        self._changed_at = {own.instance: clock.monotonic()}
        self._pending_updates: dict[str, _PendingUpdate] = {}
        self._own_instance = own.instance
        self._digest: int | None = None

    def own(self) -> MemberRecord:
        """Return this daemon's record."""
        with self._lock:
            return self._records[self._own_instance]

    def find(self, instance: str) -> MemberRecord | None:
        """Return the record of an instance, if it is known."""
        with self._lock:
            return self._records.get(instance)

    def all(self) -> list[MemberRecord]:
        """Return every record, ended members included."""
        with self._lock:
            return list(self._records.values())

    def live(self) -> list[MemberRecord]:
        """Return the records of alive and suspected members, this daemon included."""
        with self._lock:
            return [each for each in self._records.values() if each.state <= MemberState.SUSPECT]

    def seconds_in_state(self, instance: str) -> float:
        """Return the time since a record last changed."""
        with self._lock:
            changed_at = self._changed_at.get(instance, self._clock.monotonic())
            return self._clock.monotonic() - changed_at

    def merge(self, records: Iterable[MemberRecord], gossip: bool = True) -> None:
        """Merge records received from others, refuting any that declares this daemon not alive.

        Args:
            records: the received records.
            gossip: whether to gossip changed records; false for a whole table, which the others
                know already.
        """
        changed = [record for record in records if self._merge_one(record, gossip)]
        for record in changed:
            self._on_change(record)

    def change_own(self, **changes: Any) -> None:
        """Change fields of this daemon's record and increment its counter, so others accept it.

        Several threads announce changes; each change keeps those of the others.
        """
        with self._lock:
            own = self._records[self._own_instance]
            self._put(msgspec.structs.replace(own, counter=own.counter + 1, **changes))

    def set_state(self, instance: str, state: MemberState) -> bool:
        """Mark another member suspect or dead; return whether this changed its state."""
        with self._lock:
            known = self._records.get(instance)
            if known is None or known.state >= state:
                return False
            record = msgspec.structs.replace(known, state=state)
            self._put(record)
        self._on_change(record)
        return True

    def take_updates(self) -> tuple[MemberRecord, ...]:
        """Return the records to gossip with the next message, those with most sends left first."""
        with self._lock:
            chosen = sorted(self._pending_updates.values(), key=lambda each: -each.sends_left)
            chosen = chosen[:_MAX_UPDATES_PER_MESSAGE]
            for update in chosen:
                update.sends_left -= 1
                if update.sends_left <= 0:
                    del self._pending_updates[update.record.instance]
            return tuple(update.record for update in chosen)

    def pending_update_count(self) -> int:
        """Return the number of records that are still gossiped."""
        with self._lock:
            return len(self._pending_updates)

    def digest(self) -> int:
        """Return a hash over the records of live members, equal on daemons with equal records."""
        with self._lock:
            if self._digest is None:
                lines = sorted(
                    f"{each.instance} {each.counter} {int(each.state)}"
                    for each in self._records.values()
                    if each.state <= MemberState.SUSPECT
                )
                self._digest = xxhash.xxh32_intdigest("\n".join(lines).encode())
            return self._digest

    def forget_ended(self) -> None:
        """Remove members that ended long ago."""
        with self._lock:
            now = self._clock.monotonic()
            for instance, record in list(self._records.items()):
                ended = record.state >= MemberState.DEAD
                if ended and now - self._changed_at[instance] > _ENDED_RETENTION_SECONDS:
                    del self._records[instance]
                    del self._changed_at[instance]

    def _merge_one(self, record: MemberRecord, gossip: bool) -> bool:
        if not 0 <= record.counter <= _MAX_COUNTER:
            return False
        with self._lock:
            if record.instance == self._own_instance:
                self._refute(record)
                return False
            known = self._records.get(record.instance)
            if known is not None and not record.outranks(known):
                return False
            self._put(record, gossip)
            return True

    def _refute(self, record: MemberRecord) -> None:
        """Raise the counter above that of a record that declares this daemon not alive.

        A daemon that was frozen learns here that others considered it failed.
        """
        own = self._records[self._own_instance]
        if record.state is MemberState.ALIVE or own.state is MemberState.LEFT:
            return
        if record.counter >= own.counter:
            refuted = msgspec.structs.replace(own, counter=record.counter + 1)
            self._put(refuted)
            self._on_change(record)

    def _put(self, record: MemberRecord, gossip: bool = True) -> None:
        self._records[record.instance] = record
        self._changed_at[record.instance] = self._clock.monotonic()
        self._digest = None
        if gossip:
            sends = _SENDS_FACTOR * max(1, len(self._records).bit_length())
            self._pending_updates[record.instance] = _PendingUpdate(record, sends)
        else:
            self._pending_updates.pop(record.instance, None)
