"""Finds which of some processes owns a local TCP port, from the kernel's tables."""

from __future__ import annotations

import itertools
import os
import threading
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path

# Sockets that may speak both versions of IP are listed in the second table only.
_TCP_TABLES = (Path("/proc/net/tcp"), Path("/proc/net/tcp6"))
_LOCAL_ADDRESS_FIELD = 1
_REMOTE_ADDRESS_FIELD = 2
_INODE_FIELD = 9


def owner_of_port(
    port: int, process_ids: Iterable[int], remote_port: int | None = None
) -> int | None:
    """Return the id of the process that opened the connection from a local port.

    Only the given processes are looked at: looking at all of them takes too long for each accept.

    Args:
        port: the local port.
        process_ids: the processes to look at.
        remote_port: the port that it is connected to, since several connections to different ports
            may have the same local port; any if omitted.
    """
    link = _socket_link(port, remote_port)
    if link is None:
        return None
    return next((each for each in process_ids if _has_open(each, link)), None)


def owners_of_ports(
    ports: Iterable[int], process_ids: Iterable[int], remote_port: int
) -> dict[int, int]:
    """Return the ids of the processes that opened connections from some local ports.

    The kernel's tables are read once for all of them. Ports without an owner among the given
    processes are left out.
    """
    lines = _table_lines()
    links = {each: _socket_link(each, remote_port, lines) for each in ports}
    owners = {link: each for each in process_ids for link in _open_links(each)}
    return {port: owners[link] for port, link in links.items() if link in owners}


class SharedPortOwners:
    """Finds the owners of connections for many threads; those that wait share one reading.

    Reading the kernel's tables takes long on a machine with thousands of connections. A storm of
    look-ups that each read them would keep all other threads of the process from running.

    Args:
        read_tables: returns the lines of the kernel's tables.
        moments: increasing numbers that order look-ups and readings.
    """

    def __init__(
        self,
        read_tables: Callable[[], list[str]] | None = None,
        moments: Iterator[int] | None = None,
    ) -> None:
        self._read_tables = read_tables if read_tables is not None else _table_lines
        self._moments = moments if moments is not None else itertools.count(1)
        self._lock = threading.Lock()
        self._read_at = 0
        self._lines: list[str] = []
        self._links: dict[int, frozenset[str]] = {}

    def find(self, port: int, process_ids: Iterable[int], remote_port: int) -> int | None:
        """Return what :func:`owner_of_port` returns; may be called on any thread.

        What is shared was read after the call, so that it includes the caller's connection.
        """
        called_at = next(self._moments)
        with self._lock:
            if self._read_at < called_at:
                self._read_at = next(self._moments)
                self._lines = self._read_tables()
                self._links = {}
            link = _socket_link(port, remote_port, self._lines)
            if link is None:
                return None
            return next((each for each in process_ids if link in self._links_of(each)), None)

    def _links_of(self, process_id: int) -> frozenset[str]:
        links = self._links.get(process_id)
        if links is None:
            links = self._links[process_id] = frozenset(_open_links(process_id))
        return links


def _socket_link(
    port: int, remote_port: int | None, lines: Iterable[str] | None = None
) -> str | None:
    ending = f":{port:04X}"
    remote_ending = "" if remote_port is None else f":{remote_port:04X}"
    for line in _table_lines() if lines is None else lines:
        # Splitting each line takes several times as long as looking for the port in it.
        if ending not in line:
            continue
        fields = line.split()
        is_local = fields[_LOCAL_ADDRESS_FIELD].endswith(ending)
        is_remote = fields[_REMOTE_ADDRESS_FIELD].endswith(remote_ending)
        if is_local and is_remote and fields[_INODE_FIELD] != "0":
            return f"socket:[{fields[_INODE_FIELD]}]"
    return None


def _table_lines() -> list[str]:
    return [line for table in _TCP_TABLES for line in table.read_text().splitlines()[1:]]


def _has_open(process_id: int, link: str) -> bool:
    return any(each == link for each in _open_links(process_id))


def _open_links(process_id: int) -> Iterator[str]:
    folder = f"/proc/{process_id}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return
    for name in names:
        yield _read_link(f"{folder}/{name}")


def _read_link(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""
