"""The member records that one daemon knows, and the rules by which they are merged."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import msgspec
import xxhash

from kitekeel_peers.messages import MemberRecord, MemberState
from kitekeel_steering.clock import Clock

_MOST_UPDATES_IN_MESSAGE = 20
_SENDS_FACTOR = 2
_REMEMBER_GONE_SECONDS = 900.0
# A member raises its counter with each change of its record and each suspicion, some thousand times
# at most. Beyond this a record is not a member's own, and its counter could not be refuted: it is
# sent as 64 bits.
_MOST_COUNTER = 1 << 32

ChangeListener = Callable[[MemberRecord], None]


class _News(msgspec.Struct):
    """A record that is still passed on with each message."""

    record: MemberRecord
    sends_left: int


class MemberTable:
    """Member records by instance; safe to call from many threads.

    Args:
        own: this daemon's record.
        clock: times how long ended members are remembered.
        on_change: called with each record that replaced an older one.
    """

    def __init__(self, own: MemberRecord, clock: Clock, on_change: ChangeListener) -> None:
        self._clock = clock
        self._on_change = on_change
        self._lock = threading.RLock()
        self._records = {own.instance: own}
        self._changed_at = {own.instance: clock.monotonic()}
        self._news: dict[str, _News] = {}
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
        """Return for how long a record has not changed."""
        with self._lock:
            changed_at = self._changed_at.get(instance, self._clock.monotonic())
            return self._clock.monotonic() - changed_at

    def merge(self, records: Iterable[MemberRecord], pass_on: bool = True) -> None:
        """Take in records heard from others, refuting any that calls this daemon not alive.

        Args:
            records: what was heard.
            pass_on: false for a whole table, which the others know already.
        """
        changed = [record for record in records if self._merge_one(record, pass_on)]
        for record in changed:
            self._on_change(record)

    def update_own(self, record: MemberRecord) -> None:
        """Replace this daemon's record and raise its counter, so that others take it over."""
        with self._lock:
            counter = self._records[self._own_instance].counter + 1
            self._put(msgspec.structs.replace(record, counter=counter))

    def set_state(self, instance: str, state: MemberState) -> bool:
        """Mark another member suspect or dead; tell whether that is news."""
        with self._lock:
            known = self._records.get(instance)
            if known is None or known.state >= state:
                return False
            record = msgspec.structs.replace(known, state=state)
            self._put(record)
        self._on_change(record)
        return True

    def take_news(self) -> tuple[MemberRecord, ...]:
        """Return the records to pass on with the next message, those sent least often first."""
        with self._lock:
            chosen = sorted(self._news.values(), key=lambda each: -each.sends_left)
            chosen = chosen[:_MOST_UPDATES_IN_MESSAGE]
            for news in chosen:
                news.sends_left -= 1
                if news.sends_left <= 0:
                    del self._news[news.record.instance]
            return tuple(news.record for news in chosen)

    def pending_news(self) -> int:
        """Return how many records are still passed on."""
        with self._lock:
            return len(self._news)

    def digest(self) -> int:
        """Return a hash over all records, equal in daemons that know the same."""
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
        """Drop members that ended long ago."""
        with self._lock:
            now = self._clock.monotonic()
            for instance, record in list(self._records.items()):
                ended = record.state >= MemberState.DEAD
                if ended and now - self._changed_at[instance] > _REMEMBER_GONE_SECONDS:
                    del self._records[instance]
                    del self._changed_at[instance]

    def _merge_one(self, record: MemberRecord, pass_on: bool) -> bool:
        if not 0 <= record.counter <= _MOST_COUNTER:
            return False
        with self._lock:
            if record.instance == self._own_instance:
                self._refute(record)
                return False
            known = self._records.get(record.instance)
            if known is not None and not record.outranks(known):
                return False
            self._put(record, pass_on)
            return True

    def _refute(self, record: MemberRecord) -> None:
        """Raise the counter above a record that says this daemon is not alive.

        A daemon that was frozen learns here that the others gave it up.
        """
        own = self._records[self._own_instance]
        if record.state is MemberState.ALIVE or own.state is MemberState.LEFT:
            return
        if record.counter >= own.counter:
            refuted = msgspec.structs.replace(own, counter=record.counter + 1)
            self._put(refuted)
            self._on_change(record)

    def _put(self, record: MemberRecord, pass_on: bool = True) -> None:
        self._records[record.instance] = record
        self._changed_at[record.instance] = self._clock.monotonic()
        self._digest = None
        if pass_on:
            sends = _SENDS_FACTOR * max(1, len(self._records).bit_length())
            self._news[record.instance] = _News(record, sends)
        else:
            self._news.pop(record.instance, None)
