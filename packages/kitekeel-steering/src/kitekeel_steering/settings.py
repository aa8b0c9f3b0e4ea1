"""Settings of one daemon, read from an INI file and fully validated before the daemon starts."""

from __future__ import annotations

import msgspec

from kitekeel_steering.ini import IniDocument, IniSection
from kitekeel_steering.peer_options import read_secret, read_seeds

_MAX_PLACES = 1000
_MAX_THREADS = 2000
_MAX_BYTES = 1 << 30


class DaemonSettings(msgspec.Struct, frozen=True):
    """``[daemon]``: identity of this daemon.

    Attributes:
        place: number of this entry machine in its region, from 1; unique within the region.
    """

    name: str
    region: str
    zone: str
    place: int


class CallerSettings(msgspec.Struct, frozen=True):
    """``[callers]``: the interface for callers; sizes in bytes.

    Attributes:
        advertised: address announced to others, if it differs from the listening address.
    """

    address: str
    advertised: str
    max_age_seconds: int
    token_life_seconds: int
    threads: int
    largest_body: int
    largest_header: int


class OperatorSettings(msgspec.Struct, frozen=True):
    """``[operators]``: the interface for operators."""

    address: str
    key: str


class PeerSettings(msgspec.Struct, frozen=True):
    """``[peers]``: the interface to other daemons; the file names are empty without TLS.

    Attributes:
        advertised: address announced to others, if it differs from the listening address.
    """

    address: str
    advertised: str
    secret: str
    seeds: tuple[str, ...]
    tls_certificate_authority: str
    tls_certificate: str
    tls_key: str


class PlatformSettings(msgspec.Struct, frozen=True):
    """``[platform]``: the platform's service and the rate of calls that this daemon may make."""

    address: str
    calls_per_second: float
    claim_life_seconds: float


class MetricsSettings(msgspec.Struct, frozen=True):
    """``[metrics]``: the address of statsd; empty if no metrics are sent."""

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
        FindingsError: the text is invalid; carries all findings.
    """
    document = IniDocument(text, source)
    known = ["daemon", "callers", "operators", "peers", "platform", "metrics"]
    for section in document.sections:
        if section.name not in known:
            section.add_finding(None, "unknown-section", f"[{section.name}]", ", ".join(known))
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
            section.report_unknown_options()
    document.raise_findings()
    return settings


def is_settings_text(text: str) -> bool:
    """Return whether the text looks like settings rather than a configuration."""
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
        place=section.integer("place", None, 1, _MAX_PLACES),
    )


def _callers(section: IniSection) -> CallerSettings:
    address = section.address("address")
    settings = CallerSettings(
        address=address,
        advertised=section.address("advertised", address),
        max_age_seconds=int(section.seconds("max_age", "5s")),
        token_life_seconds=int(section.seconds("token_life", "10m")),
        threads=section.integer("threads", 352, 4, _MAX_THREADS),
        largest_body=section.integer("largest_body", 64 * 1024 * 1024, 1, _MAX_BYTES),
        largest_header=section.integer("largest_header", 32 * 1024, 1024, _MAX_BYTES),
    )
    if settings.max_age_seconds >= settings.token_life_seconds:
        allowed = "longer than max_age, so that a cached look-up can be used"
        section.add_finding(
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
        section.add_finding(None, "tls-incomplete", "only some of the TLS files are set", allowed)
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
        calls_per_second=float(section.integer("calls_per_second", 10, 1, 2000)),
        claim_life_seconds=section.seconds("claim_life", "1h"),
    )


def _metrics(section: IniSection) -> MetricsSettings:
    address = section.address("address", "")
    return MetricsSettings(address, section.text("prefix", "kitekeel"))
