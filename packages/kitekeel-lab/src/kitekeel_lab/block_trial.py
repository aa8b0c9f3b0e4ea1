"""A trial, not part of the product: 600,000 client blocks as compact sections, and look-ups.

A section holds the blocks of one /8 as two arrays, the start of each block and its site. It is
changed by replacing that section alone, and named by a digest, so that a daemon would fetch only
the sections whose digest changed.
"""

from __future__ import annotations

import bisect
import random
import statistics
import time
from array import array

import msgspec
import xxhash

_BLOCKS = 600_000
_SITES = 180
_SECTION_SHIFT = 24
_SECTIONS = 256
_LOOKUPS = 100_000
_BLOCK_SIZE = 256
_NO_SITE = 0xFFFF


class BlockReport(msgspec.Struct, frozen=True):
    """Figures of the trial; the section sizes are of the bytes that would be sent."""

    blocks: int
    sections: int
    table_bytes: int
    largest_section_bytes: int
    lookup_microseconds: float
    replace_section_ms: float


class BlockSection:
    """The blocks of one /8: sorted starts, and the site of each."""

    def __init__(self, blocks: list[tuple[int, int]]) -> None:
        ordered = sorted(blocks)
        self._starts = array("I", (start for start, _ in ordered))
        self._sites = array("H", (site for _, site in ordered))
        self.digest = xxhash.xxh64_hexdigest(self.to_bytes())

    def find(self, address: int) -> int:
        """Return the site of the block with the address, or ``_NO_SITE``."""
        position = bisect.bisect_right(self._starts, address) - 1
        if position < 0 or address - self._starts[position] >= _BLOCK_SIZE:
            return _NO_SITE
        return self._sites[position]

    def to_bytes(self) -> bytes:
        """Return the section as it would be kept at the platform."""
        return self._starts.tobytes() + self._sites.tobytes()


def measure_blocks() -> BlockReport:
    """Build the table, look addresses up, replace a section."""
    drawn = random.Random(1)
    networks = drawn.sample(range(1 << (32 - 8)), _BLOCKS)
    blocks: list[list[tuple[int, int]]] = [[] for _ in range(_SECTIONS)]
    for network in networks:
        start = network * _BLOCK_SIZE
        blocks[start >> _SECTION_SHIFT].append((start, drawn.randrange(_SITES)))
    sections = [BlockSection(each) for each in blocks]
    addresses = [drawn.choice(networks) * _BLOCK_SIZE + 7 for _ in range(_LOOKUPS)]
    began_at = time.process_time()
    found = [sections[address >> _SECTION_SHIFT].find(address) for address in addresses]
    lookup = (time.process_time() - began_at) / _LOOKUPS * 1e6
    if _NO_SITE in found:
        raise RuntimeError("an address of a known block was not found")
    times: list[float] = []
    for number in range(20):
        began_at = time.process_time()
        sections[number] = BlockSection(blocks[number])
        times.append((time.process_time() - began_at) * 1000)
    sizes = [len(each.to_bytes()) for each in sections]
    return BlockReport(_BLOCKS, _SECTIONS, sum(sizes), max(sizes), lookup, statistics.median(times))
