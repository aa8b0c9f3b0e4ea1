"""Findings about settings and configuration, collected with their place and reported together."""

from __future__ import annotations

import msgspec

from kitekeel_steering.errors import ConfigurationError


class Finding(msgspec.Struct, frozen=True):
    """One thing that is wrong in a file.

    Attributes:
        source: the file's name.
        line: line number, from 1; 0 where the finding is about the whole file.
        code: stable name of the kind of finding.
        message: what was found.
        allowed: what would be accepted in its place.
    """

    source: str
    line: int
    code: str
    message: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}: {self.code}: {self.message} (allowed: {self.allowed})"


class FindingsError(ConfigurationError):
    """Raised once with every finding about one file."""

    code = "findings"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
