"""Logs changes of the inputs to placement decisions."""

from __future__ import annotations

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_steering.back_end_log_messages import LocalShareMoves, ObjectsCompared
from kitekeel_steering.key_division import LocalShareTarget
from kitekeel_steering.log_messages import PeerAnswered


class PlacementLog:
    """Logs changes reported by the components that observe regions and objects."""

    def __init__(self, log: DecisionLog) -> None:
        self._log = log

    def log_objects_compared(self, service: str, is_shared: bool, known_share: float) -> None:
        """Log that regions were found to request the same objects, or no longer do."""
        self._log.state(ObjectsCompared(service, is_shared, round(known_share, 2)))

    def log_comparison_failed(self, address: str, seconds: float, reason: str) -> None:
        """Log that another daemon did not answer a request to compare objects."""
        self._log.state(PeerAnswered(address, 0, round(seconds, 3), reason))

    def log_local_share_change(self, moving: LocalShareTarget) -> None:
        """Log that the own region's share of a service's keys starts to change."""
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
