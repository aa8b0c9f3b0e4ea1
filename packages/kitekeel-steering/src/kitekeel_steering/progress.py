"""How far a daemon knows a part of what all daemons should know, as heartbeats tell it."""

from __future__ import annotations

import msgspec


class PartProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far a daemon knows one part of its state.

    Attributes:
        last_change: the last change up to which it knows every change.
        fingerprint: hash over what it believes, equal in daemons that believe the same; 0 where it
            does not yet believe everything it knows.
    """

    last_change: int
    fingerprint: int = 0
