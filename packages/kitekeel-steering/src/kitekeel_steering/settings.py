"""The settings of one daemon: an INI file, checked as a whole before anything starts."""

from __future__ import annotations

import msgspec

from kitekeel_steering.ini import IniDocument, IniSection
from kitekeel_steering.peer_options import read_secret, read_seeds

_MOST_PLACES = 1000
_MOST_THREADS = 2000
_MOST_BYTES = 1 << 30


class DaemonSettings(msgspec.Struct, frozen=True):
    """``[daemon]``: who this daemon is.

    Attributes:
        place: number of this entry machine in its region, from 1; two machines never share one.
    """

    name: str
    region: str
    zone: str
    place: int


class CallerSettings(msgspec.Struct, frozen=True):
    """``[callers]``: the callers' interface; sizes in bytes.

    Attributes:
        advertised: the address told to others, where it is not the one listened on.
    """

    address: str
    advertised: str
    max_age_seconds: int
    token_life_seconds: int
    threads: int
    largest_body: int
    largest_header: int


class OperatorSettings(msgspec.Struct, frozen=True):
    """``[operators]``: the operators' interface."""

    address: str
    key: str


class PeerSettings(msgspec.Struct, frozen=True):
    """``[peers]``: the interface to other daemons; the file names are empty without TLS.

    Attributes:
        advertised: the address told to others, where it is not the one listened on.
    """

    address: str
    advertised: str
    secret: str
    seeds: tuple[str, ...]
    tls_certificate_authority: str
    tls_certificate: str
    tls_key: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """``[platform]``: the platform's service and this daemon's share of its call rate."""

    address: str
    calls_per_second: float
    claim_life_seconds: float


class MetricsSettings(msgspec.Struct, frozen=True):
    """``[metrics]``: where statsd listens; empty for nowhere."""

    address: str
    prefix: str


class Settings(msgspec.Struct, frozen=True):
    """All settings of one daemon."""

    daemon: DaemonSettings
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    metrics: MetricsSettings


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Return the settings in an INI text.

    Raises:
        FindingsError: every finding about the text, together.
    """
    document = IniDocument(text, source)
    known = ["daemon", "callers", "operators", "peers", "platform", "metrics"]
    for section in document.sections:
        if section.name not in known:
            section.note(None, "unknown-section", f"[{section.name}]", ", ".join(known))
    settings = Settings(
        daemon=_daemon(document.section("daemon")),
        callers=_callers(document.section("callers")),
        operators=_operators(document.section("operators")),
        peers=_peers(document.section("peers")),
        platform=_platform(document.section("platform")),
        metrics=_metrics(_optional(document, "metrics")),
    )
    for section in document.sections:
        if section.name in known:
            section.note_unread()
    document.raise_findings()
    return settings


def is_settings_text(text: str) -> bool:
    """Tell whether a text looks like settings rather than a configuration."""
    return any(line.strip() == "[daemon]" for line in text.splitlines())


def _optional(document: IniDocument, name: str) -> IniSection:
    if any(section.name == name for section in document.sections):
        return document.section(name)
    return IniSection(document, name, {})


def _daemon(section: IniSection) -> DaemonSettings:
    return DaemonSettings(
        name=section.identifier("name"),
        region=section.identifier("region"),
        zone=section.identifier("zone"),
        place=section.whole("place", None, 1, _MOST_PLACES),
    )


def _callers(section: IniSection) -> CallerSettings:
    address = section.address("address")
    settings = CallerSettings(
        address=address,
        advertised=section.address("advertised", address),
        max_age_seconds=int(section.seconds("max_age", "5s")),
        token_life_seconds=int(section.seconds("token_life", "10m")),
        threads=section.whole("threads", 352, 4, _MOST_THREADS),
        largest_body=section.whole("largest_body", 64 * 1024 * 1024, 1, _MOST_BYTES),
        largest_header=section.whole("largest_header", 32 * 1024, 1024, _MOST_BYTES),
    )
    if settings.max_age_seconds >= settings.token_life_seconds:
        allowed = "longer than max_age, so that a cached look-up can be used"
        section.note(
            "token_life", "token-life-too-short", f"{settings.token_life_seconds}s", allowed
        )
    return settings


def _operators(section: IniSection) -> OperatorSettings:
    return OperatorSettings(section.address("address"), read_secret(section, "key"))


def _peers(section: IniSection) -> PeerSettings:
    seeds = read_seeds(section)
    files = [
        section.text(option, "")
        for option in ("tls_certificate_authority", "tls_certificate", "tls_key")
    ]
    if any(files) and not all(files):
        allowed = "tls_certificate_authority, tls_certificate and tls_key, or none of them"
        section.note(None, "tls-incomplete", "some TLS files are missing", allowed)
    address = section.address("address")
    return PeerSettings(
        address,
        section.address("advertised", address),
        read_secret(section, "secret"),
        seeds,
        tls_certificate_authority=files[0],
        tls_certificate=files[1],
        tls_key=files[2],
    )


def _platform(section: IniSection) -> PlatformSettings:
    return PlatformSettings(
        address=section.address("address"),
        calls_per_second=float(section.whole("calls_per_second", 10, 1, 2000)),
        claim_life_seconds=section.seconds("claim_life", "1h"),
    )


def _metrics(section: IniSection) -> MetricsSettings:
    address = section.address("address", "")
    return MetricsSettings(address, section.text("prefix", "kitekeel"))
