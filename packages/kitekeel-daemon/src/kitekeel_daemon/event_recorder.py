"""Records state changes in the daemon's event log and in the eliot log."""

from __future__ import annotations

import eliot

from kitekeel_steering.events import EventLog


class EventRecorder:
    """Writes each change of state to both logs."""

    def __init__(self, log: EventLog, instance: str) -> None:
        self.log = log
        self._instance = instance

    def add(self, kind: str, text: str) -> None:
        """Record a change of state."""
        self.log.add(kind, text)
        eliot.log_message(message_type=kind, instance=self._instance, text=text)
