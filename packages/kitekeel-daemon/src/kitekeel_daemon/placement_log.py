"""Writes a line where what placement goes by has changed."""

from __future__ import annotations

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_steering.key_division import LocalShareTarget
from kitekeel_steering.log_messages import (
    LocalShareMoves,
    ObjectsCompared,
    PeerAnswered,
)


class PlacementLog:
    """Told of changes by the parts that observe regions and objects."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def objects_compared(self, service: str, is_shared: bool, known_share: float) -> None:
        """Tell that regions were found to ask for the same objects, or no longer to."""
        self._log.state(ObjectsCompared(service, is_shared, round(known_share, 2)))

    def comparison_failed(self, address: str, seconds: float, reason: str) -> None:
        """Tell that another daemon did not answer when objects were to be compared."""
        self._log.state(PeerAnswered(address, 0, round(seconds, 3), reason))

    def local_share_moves(self, moving: LocalShareTarget) -> None:
        """Tell that the own region's part of a service's keys begins to move."""
        self._log.state(
            LocalShareMoves(
                service=moving.service,
                share=round(moving.value, 2),
                target=round(moving.target, 2),
                room=round(moving.room, 2),
                is_shared=moving.is_shared,
                is_pressed=moving.is_pressed,
            )
        )
