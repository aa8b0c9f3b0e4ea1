"""Stores the operators' configuration at the platform as one document, using compare-and-swap.

A change cannot be lost or applied twice, because its command id is stored in the document with the
revision it created. The document's revision is the version that the platform assigns to the value,
so a write of revision N+1 can only take effect while the value is at N. If the answer to a write is
lost, the value is read back. If it contains the id, the write took effect. If it is at a later
revision without the id, the write did not and can no longer take effect. If it is still at N, the
same write is repeated.

When the platform comes back from a copy, it lacks commands that are in force. Whoever finds that
writes the document in force again, before anything else is changed. Only one such write succeeds,
since each depends on the version of the copy.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from kitekeel_platform.client import PlatformClient, VersionedValue, read_document
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import (
    ConfigurationConflictError,
    ConfigurationOutcomeUnknownError,
    PlatformError,
    WriteOutcomeUnknownError,
)
from kitekeel_steering.model import (
    CONFIGURATION_KEY,
    MAX_COMMAND_RECORDS,
    CommandRecord,
    Configuration,
    encode_configuration,
)
from kitekeel_steering.store_revision import StoreRevision

_INITIAL_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 0.5

Change = Callable[[Configuration], Configuration]


class ConfigurationStore:
    """Reads, watches and changes the configuration document."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def load(self) -> Configuration:
        """Return the stored configuration; its revision is 0 if there is none.

        Raises:
            PlatformError: it cannot be read at present.
        """
        return _decode(self._client.read(CONFIGURATION_KEY))

    def watch(self, after: StoreRevision, wait_seconds: float) -> Configuration | None:
        """Wait for a revision later than the given one, or one of another era.

        Raises:
            PlatformError: the platform does not answer.
        """
        found = self._client.watch(CONFIGURATION_KEY, after.number, wait_seconds, after.era)
        return _decode(found) if found is not None else None

    def write_again(self, copy: Configuration, in_force: Configuration) -> Configuration | None:
        """Write the document in force over an older copy that the platform came back with.

        Returns:
            The document as written, or ``None`` if another write came first.

        Raises:
            PlatformError: the platform does not answer; the write may have been applied.
        """
        document = msgspec.structs.replace(in_force, revision=copy.revision + 1, era=copy.era)
        content = encode_configuration(document)
        version = self._client.write(CONFIGURATION_KEY, content, copy.revision)
        return document if version is not None else None

    def change(
        self,
        command_id: str,
        text: str,
        change: Change,
        deadline_seconds: float,
        in_force: Callable[[], Configuration] = Configuration,
    ) -> Configuration:
        """Apply one command to the document.

        Args:
            command_id: a command repeated with the same id takes effect only once.
            text: the command as entered, stored in its record.
            change: returns the changed document, or raises ``ConfigurationError``.
            deadline_seconds: how long to keep trying.
            in_force: returns the document in force, which the platform may have lost.

        Returns:
            The document that contains the command.

        Raises:
            ConfigurationConflictError: another command came first; nothing was written.
            ConfigurationOutcomeUnknownError: the deadline passed and a write may have succeeded.
            PlatformError: the deadline passed, and nothing was written.
        """
        deadline = steady_seconds() + deadline_seconds
        pause = _INITIAL_BACKOFF_SECONDS
        may_be_written = False
        base: Configuration | None = None
        while True:
            try:
                current = self._load_restored(in_force())
                if current.find_command(command_id) is not None:
                    return current
                is_same_era = base is not None and current.era == base.era
                if base is not None and is_same_era and current.revision != base.revision:
                    raise _conflict(base, current)
                base = current
                written = self._write(base, command_id, text, change)
                if written is not None:
                    return written
            except WriteOutcomeUnknownError:
                may_be_written = True
            except PlatformError:
                if steady_seconds() >= deadline and not may_be_written:
                    raise
            if steady_seconds() >= deadline:
                raise ConfigurationOutcomeUnknownError(
                    "the platform did not confirm whether the change was written; "
                    f"repeat it with --command-id {command_id}",
                    1.0,
                )
            time.sleep(pause)
            pause = min(_MAX_BACKOFF_SECONDS, pause * 2)

    def _load_restored(self, in_force: Configuration) -> Configuration:
        """Return the stored document, after writing again what a restore has taken from it."""
        current = self.load()
        while current.is_older_copy_of(in_force):
            written = self.write_again(current, in_force)
            current = written if written is not None else self.load()
        return current

    def _write(
        self, base: Configuration, command_id: str, text: str, change: Change
    ) -> Configuration | None:
        revision = base.revision + 1
        record = CommandRecord(command_id, revision, text)
        changed = msgspec.structs.replace(
            change(base),
            revision=revision,
            commands=(*base.commands, record)[-MAX_COMMAND_RECORDS:],
        )
        document = encode_configuration(changed)
        version = self._client.write(CONFIGURATION_KEY, document, base.revision)
        return changed if version is not None else None


def _decode(found: VersionedValue) -> Configuration:
    if found.version == 0:
        return Configuration(era=found.era)
    configuration = read_document(found.value, Configuration)
    return msgspec.structs.replace(configuration, revision=found.version, era=found.era)


def _conflict(base: Configuration, current: Configuration) -> ConfigurationConflictError:
    between = [each for each in current.commands if each.revision > base.revision]
    changes = "; ".join(f"revision {each.revision}: {each.text}" for each in between)
    return ConfigurationConflictError(
        f"another change came first ({changes}); review it and repeat the command"
    )
