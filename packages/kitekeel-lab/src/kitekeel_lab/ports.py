"""Free ports on the loopback interface, below the range that the kernel hands out by itself.

An address is handed out long before the process that will listen there has started, so trying to
bind it shows nothing of other runs on the same machine. Each process therefore claims blocks of
ports, by a socket that stays bound to a block's first port for as long as the process lives.
"""

from __future__ import annotations

import itertools
import os
import socket
from collections import deque

LOOPBACK = "127.0.0.1"

_FIRST_PORT = 12_000
_LAST_PORT = 31_000
# More than the largest cluster of a scenario takes; there are 74 blocks.
_BLOCK_PORTS = 256
# A long run of tests draws thousands of addresses; those of its older blocks are free again.
_MAX_BLOCKS = 4
_STRIDE = 31


class PortBlocks:
    """The blocks of one process.

    Args:
        start: where to begin to look, so that runs side by side rarely meet.
    """

    def __init__(self, start: int) -> None:
        count = (_LAST_PORT - _FIRST_PORT) // _BLOCK_PORTS
        order = [(start + number) % count for number in range(count)]
        self._blocks = itertools.cycle(order)
        self._count = count
        self._claims: deque[socket.socket] = deque()
        self._ports: list[int] = []

    def next_port(self) -> int:
        """Return a port that no other process hands out; none is returned twice soon.

        Raises:
            OSError: every block is claimed.
        """
        while True:
            if not self._ports:
                self._ports = self._claim()
            port = self._ports.pop()
            if _is_free(port):
                return port

    def _claim(self) -> list[int]:
        for block in itertools.islice(self._blocks, self._count):
            first = _FIRST_PORT + block * _BLOCK_PORTS
            claim = socket.socket()
            try:
                claim.bind((LOOPBACK, first))
            except OSError:
                claim.close()
                continue
            self._claims.append(claim)
            if len(self._claims) > _MAX_BLOCKS:
                self._claims.popleft().close()
            return list(reversed(range(first + 1, first + _BLOCK_PORTS)))
        raise OSError("other processes have claimed every block of ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


_BLOCKS = PortBlocks(os.getpid() * _STRIDE)


def free_address() -> str:
    """Return a loopback address that nothing listens on and no other process is handed out."""
    return f"{LOOPBACK}:{_BLOCKS.next_port()}"
