"""Progress of a daemon in learning the shared state, as sent in heartbeats."""

from __future__ import annotations

import msgspec

from kitekeel_steering.store_revision import StoreRevision


class PartProgress(msgspec.Struct, frozen=True, array_like=True):
    """How much of one part of the shared state a daemon knows.

    Attributes:
        last_change: the revision of the last change up to which it knows every change.
        fingerprint: hash of its state, equal on daemons with the same state; 0 while the daemon has
            not yet applied every change that it knows.
        era: the era of ``last_change``; 0 if the daemon does not say.
    """

    last_change: int
    fingerprint: int = 0
    era: int = 0

    @property
    def changed(self) -> StoreRevision:
        """The revision of the last change up to which the daemon knows every change."""
        return StoreRevision(self.era, self.last_change)
