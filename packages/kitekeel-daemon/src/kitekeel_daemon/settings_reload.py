"""Reloads a gateway's settings file on request, and applies it if it has no findings."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_steering.findings import FindingsError
from kitekeel_steering.gateway_settings import GatewaySettings, parse_gateway_settings
from kitekeel_steering.log_messages import SettingsRejected, SettingsReloaded


class SettingsReload:
    """Reloads the settings of one daemon.

    Args:
        on_settings: called with the new settings, to apply those that may change while the daemon
            runs.
    """

    def __init__(
        self, file: Path, log: DecisionLog, on_settings: Callable[[GatewaySettings], None]
    ) -> None:
        self._file = file
        self._log = log
        self._on_settings = on_settings

    def run(self) -> None:
        """Check the file, then apply it or log why it was rejected."""
        try:
            settings = parse_gateway_settings(self._file.read_text())
        except (OSError, FindingsError) as error:
            self._log.state(SettingsRejected(str(self._file), str(error)))
            return
        self._on_settings(settings)
        self._log.state(SettingsReloaded(str(self._file)))
