"""Reads a gateway's settings file again on request, and takes it over if it has no findings."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from kitekeel_daemon.decision_log import DecisionLog
from kitekeel_steering.findings import FindingsError
from kitekeel_steering.gateway_settings import GatewaySettings, parse_gateway_settings
from kitekeel_steering.log_messages import SettingsRejected, SettingsReloaded


class SettingsReload:
    """The reload of one daemon.

    Args:
        on_settings: called with the settings that are in force from now on, as far as they may
            change while the daemon runs.
    """

    def __init__(
        self, file: Path, log: DecisionLog, on_settings: Callable[[GatewaySettings], None]
    ) -> None:
        self._file = file
        self._log = log
        self._on_settings = on_settings

    def run(self) -> None:
        """Check the file, and take it over or say why not."""
        try:
            settings = parse_gateway_settings(self._file.read_text())
        except (OSError, FindingsError) as error:
            self._log.state(SettingsRejected(str(self._file), str(error)))
            return
        self._on_settings(settings)
        self._log.state(SettingsReloaded(str(self._file)))
