"""Progress of a daemon in learning the shared state, as sent in heartbeats."""

from __future__ import annotations

import msgspec


class PartProgress(msgspec.Struct, frozen=True, array_like=True):
    """How much of one part of the shared state a daemon knows.

    Attributes:
        last_change: the revision of the last change up to which it knows every change.
        fingerprint: hash of its state, equal on daemons with the same state; 0 while the daemon has
            not yet applied every change that it knows.
    """

    last_change: int
    fingerprint: int = 0
