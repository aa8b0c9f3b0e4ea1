"""Reads INI text into typed values, with the line of each option kept for findings."""

from __future__ import annotations

import configparser
import ipaddress
import math
import re

from kitekeel_steering.findings import Finding, FindingsError

_SECTION_PATTERN = re.compile(r"^\[(?P<name>[^\]]+)\]")
_OPTION_PATTERN = re.compile(r"^(?P<name>[^\s=:#;\[][^=:]*?)\s*[=:]")
_DURATION_PATTERN = re.compile(
    r"^(?P<number>(\d+(\.\d*)?|\.\d+)(e[+-]?\d+)?)\s*(?P<unit>ms|s|m|h)$", re.IGNORECASE
)
_SECONDS_BY_UNIT = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
_NAME_PATTERN = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
_MAXIMUM_PORT = 65535
_MAXIMUM_OCTET = 255
# Of a port.
_MOST_DIGITS = 5
_TRUE = "true"
_FLAGS = (_TRUE, "false")


class IniSection:
    """One section of an INI file; each reader notes a finding and returns a harmless value."""

    def __init__(self, document: IniDocument, name: str, values: dict[str, str]) -> None:
        self.document = document
        self.name = name
        self._values = values
        self._read: set[str] = set()

    def line(self, option: str | None = None) -> int:
        """Return the line of an option, or of the section's heading."""
        return self.document.line(self.name, option)

    def note(self, option: str | None, code: str, message: str, allowed: str) -> None:
        """Note a finding at an option of this section."""
        self.document.note(self.line(option), code, message, allowed)

    def options(self) -> list[str]:
        """Return the names of the section's options."""
        return list(self._values)

    def text(self, option: str, default: str | None = None) -> str:
        """Return an option's text; a missing one without a default is a finding."""
        self._read.add(option)
        value = self._values.get(option)
        if value is not None:
            return value
        if default is None:
            self.note(None, "missing-option", f"[{self.name}] has no '{option}'", "the option")
            return ""
        return default

    def identifier(self, option: str, default: str | None = None) -> str:
        """Return a name made of small letters, digits and hyphens."""
        value = self.text(option, default)
        if value and not _NAME_PATTERN.match(value):
            self.note(option, "bad-name", f"'{value}' is no name", "a-z, 0-9 and '-', 1 to 63")
        return value

    def names(self, option: str, default: str | None = None) -> tuple[str, ...]:
        """Return a comma-separated list, without empty parts."""
        parts = (part.strip() for part in self.text(option, default).split(","))
        return tuple(part for part in parts if part)

    def whole(self, option: str, default: int | None, low: int, high: int) -> int:
        """Return a whole number between two bounds."""
        raw = self._value_text(option, None if default is None else str(default))
        if raw.isdecimal() and raw.isascii() and low <= int(raw) <= high:
            return int(raw)
        if raw:
            self.note(option, "bad-number", f"'{raw}'", f"a whole number, {low} to {high}")
        return low

    def number(self, option: str, default: float | None, low: float, high: float) -> float:
        """Return a number, whole or not, between two bounds."""
        raw = self._value_text(option, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            value = math.nan
        if low <= value <= high:
            return value
        if raw:
            self.note(option, "bad-number", f"'{raw}'", f"a number from {low:g} to {high:g}")
        return low

    def fraction(self, option: str, default: float | None) -> float:
        """Return a number from 0 to 1."""
        return self.number(option, default, 0.0, 1.0)

    def flag(self, option: str, default: bool) -> bool:
        """Return ``true`` or ``false``."""
        raw = self._value_text(option, str(default)).lower()
        if raw not in _FLAGS:
            self.note(option, "bad-flag", f"'{raw}'", "true or false")
        return raw == _TRUE

    def seconds(self, option: str, default: str | None = None, may_be_zero: bool = True) -> float:
        """Return a duration such as ``35ms`` or ``2s`` in seconds."""
        raw = self._value_text(option, default)
        value = parse_duration(raw)
        if value is None:
            if raw:
                self.note(option, "bad-duration", f"'{raw}'", "a number and ms, s, m or h")
            return 0.0
        if value == 0.0 and not may_be_zero:
            self.note(option, "zero-duration", f"'{raw}'", "more than 0")
        return value

    def _value_text(self, option: str, default: str | None) -> str:
        """Return an option's text, the default where it is empty.

        A template leaves an option empty where the deployment does not state its figure; read as
        0 it would end every request at once or divide by zero.
        """
        return self.text(option, default) or self._text_of_absent(option, default)

    def _text_of_absent(self, option: str, default: str | None) -> str:
        if default is None and option in self._values:
            self.note(option, "missing-value", f"'{option}' is empty", "a value")
        return default or ""

    def address(self, option: str, default: str | None = None) -> str:
        """Return ``IP:port``; names are not resolved."""
        raw = self.text(option, default)
        if raw and not is_address(raw):
            self.note(option, "bad-address", f"'{raw}'", "an IP number, ':' and a port")
        return raw

    def note_unread(self) -> None:
        """Note every option that no reader has asked for."""
        for option in self._values:
            if option not in self._read:
                allowed = ", ".join(sorted(self._read))
                self.note(option, "unknown-option", f"[{self.name}] '{option}'", allowed)


class IniDocument:
    """An INI file as sections, with the findings made so far.

    Args:
        text: the file's content.
        source: the file's name, for findings.

    Raises:
        FindingsError: the text is not INI at all.
    """

    def __init__(self, text: str, source: str) -> None:
        self.source = source
        self.findings: list[Finding] = []
        self._lines = _index_lines(text)
        parser = configparser.ConfigParser(interpolation=None, strict=True)
        try:
            parser.read_string(text, source)
        except configparser.Error as error:
            self.note(_line_of_parser_error(error), "bad-ini", error.message, "INI text")
            raise FindingsError(self.findings) from error
        self.sections = [
            IniSection(self, name, dict(parser.items(name))) for name in parser.sections()
        ]

    def line(self, section: str, option: str | None) -> int:
        """Return the line of an option, of its section where it is missing, or 0."""
        found = self._lines.get((section, option)) if option else None
        return found or self._lines.get((section, None), 0)

    def note(self, line: int, code: str, message: str, allowed: str) -> None:
        """Note one finding."""
        self.findings.append(Finding(self.source, line, code, message, allowed))

    def section(self, name: str) -> IniSection:
        """Return a section by name; a missing one is a finding and reads as empty."""
        for section in self.sections:
            if section.name == name:
                return section
        self.note(0, "missing-section", f"[{name}] is missing", f"[{name}]")
        return IniSection(self, name, {})

    def raise_findings(self) -> None:
        """Raise all findings together, in the order of their lines.

        Raises:
            FindingsError: there is at least one.
        """
        if self.findings:
            raise FindingsError(sorted(self.findings, key=lambda finding: finding.line))


def parse_duration(raw: str) -> float | None:
    """Return a duration such as ``35ms`` in seconds, or ``None`` where it is none."""
    match = _DURATION_PATTERN.match(raw.strip())
    if match is None:
        return None
    value = float(match["number"]) * _SECONDS_BY_UNIT[match["unit"].lower()]
    return value if math.isfinite(value) else None


def is_address(raw: str) -> bool:
    """Tell whether the text is an IP number (v4, or v6 in brackets), a colon and a port."""
    host, _, port = raw.rpartition(":")
    if not _is_number(port, _MAXIMUM_PORT) or int(port) == 0:
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ipv6(host[1:-1])
    octets = host.split(".")
    return len(octets) == 4 and all(_is_number(part, _MAXIMUM_OCTET) for part in octets)


def _is_number(raw: str, most: int) -> bool:
    """Tell whether the text is a number of plain digits; others that Python takes are none."""
    return raw.isascii() and raw.isdigit() and len(raw) <= _MOST_DIGITS and int(raw) <= most


def _is_ipv6(raw: str) -> bool:
    try:
        ipaddress.IPv6Address(raw)
    except ValueError:
        return False
    return True


def _index_lines(text: str) -> dict[tuple[str, str | None], int]:
    lines: dict[tuple[str, str | None], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), start=1):
        heading = _SECTION_PATTERN.match(line)
        if heading:
            section = heading["name"]
            lines.setdefault((section, None), number)
            continue
        option = _OPTION_PATTERN.match(line)
        if option:
            lines.setdefault((section, option["name"].strip().lower()), number)
    return lines


def _line_of_parser_error(error: configparser.Error) -> int:
    line = getattr(error, "lineno", None)
    if isinstance(line, int):
        return line
    errors = getattr(error, "errors", None)
    return int(errors[0][0]) if errors else 0
