"""Remembers which refused requests were told when to return, to count those that do."""

from __future__ import annotations

from collections import OrderedDict

_MAX_APPOINTMENTS = 1000


class KeptAppointments:
    """The appointments that this daemon gave; for counters only, as each daemon honours them all.

    At most 1,000 are remembered.
    """

    def __init__(self) -> None:
        self._slots: OrderedDict[bytes, int] = OrderedDict()

    def note(self, identity: bytes, slot: int, current_slot: int) -> None:
        """Remember an appointment, and forget those that are over."""
        self._slots[identity] = slot
        self._slots.move_to_end(identity)
        while self._slots:
            oldest = next(iter(self._slots))
            if self._slots[oldest] >= current_slot and len(self._slots) <= _MAX_APPOINTMENTS:
                return
            del self._slots[oldest]

    def is_kept(self, identity: bytes, slot: int) -> bool:
        """Return whether a request returned in its slot, and forget its appointment."""
        return bool(self._slots) and self._slots.pop(identity, None) == slot
