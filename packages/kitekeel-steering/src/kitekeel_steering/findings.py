"""Errors in settings and configuration files, collected with their line and reported together."""

from __future__ import annotations

import msgspec

from kitekeel_steering.errors import ConfigurationError


class Finding(msgspec.Struct, frozen=True):
    """One error in a file.

    Attributes:
        source: name of the file.
        line: line number, from 1; 0 if the finding is about the whole file.
        code: stable, machine-readable kind of the finding.
        message: what is wrong.
        allowed: what would be valid instead.
    """

    source: str
    line: int
    code: str
    message: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}: {self.code}: {self.message} (allowed: {self.allowed})"


class FindingsError(ConfigurationError):
    """A file is invalid; carries all findings about it."""

    code = "findings"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
