"""Records of the back-end processes that ended while running a request.

Merging records is commutative, associative and idempotent: the record of the higher epoch wins, and
within an epoch the ends, versions and tries are united.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

ENDS_UNTIL_QUARANTINE = 3
ENDS_UNTIL_QUARANTINE_IF_ANSWERED = 6
# Total of all daemons, until the request is answered or an operator releases it.
MAX_TRIES = 2
# Bounds the size of a record; quarantine requires fewer ends.
_MAX_ENDS = 16
_MAX_VERSIONS = 16

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_Names = Annotated[tuple[_Name, ...], msgspec.Meta(max_length=_MAX_ENDS)]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """The back-end processes that ended while running one request.

    Attributes:
        identity: identity of the request, see :mod:`kitekeel_steering.request_identity`.
        service: service of the back ends.
        epoch: number of times the request was found harmless or released by an operator.
        ends: processes that ended in this epoch, sorted, each as ``instance/start``.
        versions: software versions of these processes, sorted.
        tries: reasons of the careful tries in this epoch: time since the last end, or a version.
        last_end_at: wall-clock time of the last end, in seconds since 1970.
        was_answered: whether a daemon had counted several recent answers when it recorded an end.
    """

    identity: _Name
    service: _Name
    epoch: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)] = 0
    ends: _Names = ()
    versions: _Names = ()
    tries: _Names = ()
    last_end_at: Annotated[float, msgspec.Meta(ge=0.0, lt=1e12)] = 0.0
    was_answered: bool = False

    @property
    def ends_until_quarantine(self) -> int:
        """Return the minimum number of ends required to quarantine the request."""
        return ENDS_UNTIL_QUARANTINE_IF_ANSWERED if self.was_answered else ENDS_UNTIL_QUARANTINE

    def merged(self, other: CrashRecord) -> CrashRecord:
        """Return the merge of two records of the same request."""
        if other.epoch != self.epoch:
            return self if self.epoch > other.epoch else other
        return CrashRecord(
            self.identity,
            min(self.service, other.service),
            self.epoch,
            _union(self.ends, other.ends, _MAX_ENDS),
            _union(self.versions, other.versions, _MAX_VERSIONS),
            _union(self.tries, other.tries, MAX_TRIES),
            max(self.last_end_at, other.last_end_at),
            self.was_answered or other.was_answered,
        )

    def with_try(self, reason: str) -> CrashRecord:
        """Return a copy of the record with a careful try added for the given reason."""
        tries = _union(self.tries, (reason,), MAX_TRIES)
        return msgspec.structs.replace(self, tries=tries)

    def cleared(self) -> CrashRecord:
        """Return the record of the next epoch, without ends, versions and tries."""
        return CrashRecord(
            self.identity,
            self.service,
            self.epoch + 1,
            last_end_at=self.last_end_at,
            was_answered=self.was_answered,
        )


def _union(some: tuple[str, ...], others: tuple[str, ...], max_names: int) -> tuple[str, ...]:
    """Return the first ``max_names`` names of the sorted union, independent of the merge order."""
    return tuple(sorted({*some, *others})[:max_names])
