"""Rendezvous (highest random weight) hashing, Thaler and Ravishankar 1998."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(key: str, node: str) -> int:
    """Return the weight of a node for a key, which is the same on every machine."""
    return int(xxhash.xxh64_intdigest(f"{key}\x00{node}".encode()))


def rank_nodes(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in descending order of their weight for the key.

    Example:
        >>> sorted(rank_nodes("search/north", ["a", "b"]))
        ['a', 'b']
    """
    return sorted(nodes, key=lambda node: (weight(key, node), node), reverse=True)
