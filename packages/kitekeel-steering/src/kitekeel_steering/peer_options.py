"""Options of ``[peers]`` that both kinds of daemons share."""

from __future__ import annotations

from kitekeel_steering.ini import IniSection, is_address

_MIN_SECRET_LENGTH = 16


def read_seeds(section: IniSection) -> tuple[str, ...]:
    """Return the addresses of the daemons to join through; each invalid one is a finding."""
    seeds = section.names("seeds", "")
    for seed in seeds:
        if not is_address(seed):
            section.add_finding(
                "seeds", "bad-address", f"'{seed}'", "an IP address, ':' and a port"
            )
    return seeds


def read_secret(section: IniSection, option: str) -> str:
    """Return a shared secret; a secret that is too short is a finding."""
    value = section.text(option)
    if value and len(value) < _MIN_SECRET_LENGTH:
        allowed = f"at least {_MIN_SECRET_LENGTH} characters"
        section.add_finding(option, "secret-too-short", f"{len(value)} characters", allowed)
    return value
