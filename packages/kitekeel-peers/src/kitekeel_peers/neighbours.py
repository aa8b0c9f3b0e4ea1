"""Selects the members that a daemon probes: those at power-of-two distances on a hash ring.

The ring orders the members by a hash of their instance. In a fleet of N daemons, each one keeps
about log2(N) channels open, is probed by as many others, and an update reaches all daemons in about
log2(N) hops.
"""

from __future__ import annotations

from collections.abc import Iterable

from kitekeel_steering.rendezvous import weight

_RING = "ring"


def neighbours(own: str, instances: Iterable[str]) -> list[str]:
    """Return the instances at distances 1, 2, 4, ... after the own instance on the ring.

    Example:
        >>> sorted(neighbours("a", ["a", "b", "c"]))
        ['b', 'c']
    """
    ring = sorted({*instances, own}, key=lambda each: (weight(_RING, each), each))
    position = ring.index(own)
    found: list[str] = []
    distance = 1
    while distance < len(ring):
        found.append(ring[(position + distance) % len(ring)])
        distance *= 2
    return found
