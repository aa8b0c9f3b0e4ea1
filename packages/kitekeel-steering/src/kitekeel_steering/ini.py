"""Parses INI text into typed values and reports errors with the line of the option."""

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
_MAX_PORT = 65535
_MAX_OCTET = 255
_MAX_PORT_DIGITS = 5
_TRUE = "true"
_FLAGS = (_TRUE, "false")


class IniSection:
    """One section of an INI file.

    A method that reads an invalid option records a finding and returns a valid placeholder value.
    """

    def __init__(self, document: IniDocument, name: str, values: dict[str, str]) -> None:
        self.document = document
        self.name = name
        self._values = values
        self._read: set[str] = set()

    def line(self, option: str | None = None) -> int:
        """Return the line of an option, or of the section heading."""
        return self.document.line(self.name, option)

    def add_finding(self, option: str | None, code: str, message: str, allowed: str) -> None:
        """Record a finding about an option of this section, or about the section itself."""
        self.document.add_finding(self.line(option), code, message, allowed)

    def options(self) -> list[str]:
        """Return the names of all options in the section."""
        return list(self._values)

    def text(self, option: str, default: str | None = None) -> str:
        """Return the text of an option; a missing option without a default is a finding."""
        self._read.add(option)
        value = self._values.get(option)
        if value is not None:
            return value
        if default is None:
            self.add_finding(
                None, "missing-option", f"[{self.name}] has no '{option}'", "the option"
            )
            return ""
        return default

    def identifier(self, option: str, default: str | None = None) -> str:
        """Return a name consisting of lower-case letters, digits and hyphens."""
        value = self.text(option, default)
        if value and not _NAME_PATTERN.match(value):
            self.add_finding(
                option, "bad-name", f"'{value}' is not a valid name", "a-z, 0-9 and '-', 1 to 63"
            )
        return value

    def names(self, option: str, default: str | None = None) -> tuple[str, ...]:
        """Return a comma-separated list, without empty parts."""
        parts = (part.strip() for part in self.text(option, default).split(","))
        return tuple(part for part in parts if part)

    def integer(self, option: str, default: int | None, minimum: int, maximum: int) -> int:
        """Return an integer between two inclusive bounds."""
        raw = self._value_text(option, None if default is None else str(default))
        if raw.isdecimal() and raw.isascii() and minimum <= int(raw) <= maximum:
            return int(raw)
        if raw:
            self.add_finding(
                option, "bad-number", f"'{raw}'", f"a whole number, {minimum} to {maximum}"
            )
        return minimum

    def number(self, option: str, default: float | None, minimum: float, maximum: float) -> float:
        """Return an integer or decimal number between two inclusive bounds."""
        raw = self._value_text(option, None if default is None else str(default))
        try:
            value = float(raw)
        except ValueError:
            value = math.nan
        if minimum <= value <= maximum:
            return value
        if raw:
            self.add_finding(
                option, "bad-number", f"'{raw}'", f"a number from {minimum:g} to {maximum:g}"
            )
        return minimum

    def fraction(self, option: str, default: float | None) -> float:
        """Return a number from 0 to 1."""
        return self.number(option, default, 0.0, 1.0)

    def flag(self, option: str, default: bool) -> bool:
        """Return the value of a ``true`` or ``false`` option."""
        raw = self._value_text(option, str(default)).lower()
        if raw not in _FLAGS:
            self.add_finding(option, "bad-flag", f"'{raw}'", "true or false")
        return raw == _TRUE

    def seconds(self, option: str, default: str | None = None, may_be_zero: bool = True) -> float:
        """Return a duration such as ``35ms`` or ``2s`` in seconds."""
        raw = self._value_text(option, default)
        value = parse_duration(raw)
        if value is None:
            if raw:
                self.add_finding(option, "bad-duration", f"'{raw}'", "a number and ms, s, m or h")
            return 0.0
        if value == 0.0 and not may_be_zero:
            self.add_finding(option, "zero-duration", f"'{raw}'", "more than 0")
        return value

    def _value_text(self, option: str, default: str | None) -> str:
        """Return the text of an option, or the default if it is empty.

        A template leaves an option empty if the deployment does not set its value. Reading it as 0
        would time out every request at once or cause a division by zero.
        """
        return self.text(option, default) or self._default_text(option, default)

    def _default_text(self, option: str, default: str | None) -> str:
        if default is None and option in self._values:
            self.add_finding(option, "missing-value", f"'{option}' is empty", "a value")
        return default or ""

    def address(self, option: str, default: str | None = None) -> str:
        """Return an ``IP:port`` address; host names are not accepted."""
        raw = self.text(option, default)
        if raw and not is_address(raw):
            self.add_finding(option, "bad-address", f"'{raw}'", "an IP address, ':' and a port")
        return raw

    def report_unknown_options(self) -> None:
        """Record a finding for every option of the section that was never read."""
        for option in self._values:
            if option not in self._read:
                allowed = ", ".join(sorted(self._read))
                self.add_finding(option, "unknown-option", f"[{self.name}] '{option}'", allowed)


class IniDocument:
    """The sections of an INI file, with the findings recorded so far.

    Args:
        text: content of the file.
        source: name of the file, for findings.

    Raises:
        FindingsError: the text is not valid INI.
    """

    def __init__(self, text: str, source: str) -> None:
        self.source = source
        self.findings: list[Finding] = []
        self._lines = _index_lines(text)
        parser = configparser.ConfigParser(interpolation=None, strict=True)
        try:
            parser.read_string(text, source)
        except configparser.Error as error:
            self.add_finding(_line_of_parser_error(error), "bad-ini", error.message, "INI text")
            raise FindingsError(self.findings) from error
        self.sections = [
            IniSection(self, name, dict(parser.items(name))) for name in parser.sections()
        ]

    def line(self, section: str, option: str | None) -> int:
        """Return the line of an option, or of its section if the option is missing, or 0."""
        found = self._lines.get((section, option)) if option else None
        return found or self._lines.get((section, None), 0)

    def add_finding(self, line: int, code: str, message: str, allowed: str) -> None:
        """Record one finding."""
        self.findings.append(Finding(self.source, line, code, message, allowed))

    def section(self, name: str) -> IniSection:
        """Return a section by name; a missing section is a finding and is treated as empty."""
        for section in self.sections:
            if section.name == name:
                return section
        self.add_finding(0, "missing-section", f"[{name}] is missing", f"[{name}]")
        return IniSection(self, name, {})

    def optional_section(self, name: str) -> IniSection:
        """Return a section by name; a missing one is treated as empty."""
        found = [section for section in self.sections if section.name == name]
        return found[0] if found else IniSection(self, name, {})

    def raise_findings(self) -> None:
        """Raise all findings in one exception, ordered by line.

        Raises:
            FindingsError: there is at least one.
        """
        if self.findings:
            raise FindingsError(sorted(self.findings, key=lambda finding: finding.line))


def parse_duration(raw: str) -> float | None:
    """Return a duration such as ``35ms`` in seconds, or ``None`` if the text is not a duration."""
    match = _DURATION_PATTERN.match(raw.strip())
    if match is None:
        return None
    value = float(match["number"]) * _SECONDS_BY_UNIT[match["unit"].lower()]
    return value if math.isfinite(value) else None


def is_address(raw: str) -> bool:
    """Return whether the text is an IP address (v4, or v6 in brackets), a colon and a port."""
    host, _, port = raw.rpartition(":")
    if not _is_number(port, _MAX_PORT) or int(port) == 0:
        return False
    if host.startswith("[") and host.endswith("]"):
        return _is_ipv6(host[1:-1])
    octets = host.split(".")
    return len(octets) == 4 and all(_is_number(part, _MAX_OCTET) for part in octets)


def _is_number(raw: str, maximum: int) -> bool:
    """Return whether the text is a number of at most five ASCII digits, up to ``maximum``.

    Other forms that ``int`` accepts are rejected.
    """
    return raw.isascii() and raw.isdigit() and len(raw) <= _MAX_PORT_DIGITS and int(raw) <= maximum


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
