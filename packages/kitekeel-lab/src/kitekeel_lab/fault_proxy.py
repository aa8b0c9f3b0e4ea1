"""A TCP proxy that injects faults: cuts, delays, half-open connections, resets, one way only.

It runs in the process of the scenario, one thread for each direction of a connection. Rules may
name who connects: the process that owns the other end of the connection, so that a partition can
cut some daemons from each other and leave the rest.
"""

from __future__ import annotations

import enum
import socket
import struct
import threading
import time
from collections.abc import Callable

import msgspec

from kitekeel_lab.port_owner import SharedPortOwners, owners_of_ports

_PIECE_BYTES = 64 * 1024
_BACKLOG = 256
_POLL_SECONDS = 0.05
_LINGER_RESET = struct.pack("ii", 1, 0)


class ProxyMode(enum.Enum):
    """What happens to the bytes of a connection.

    ``SWALLOW`` accepts and lets nothing through in either direction, as behind a dead switch.
    ``ONE_WAY`` lets requests through and swallows answers. ``RESET`` resets at once.
    """

    PASS = "pass"
    SWALLOW = "swallow"
    ONE_WAY = "one-way"
    RESET = "reset"


class ProxyRule(msgspec.Struct, frozen=True):
    """How connections are treated.

    Attributes:
        reset_after_bytes: reset once so many bytes of the request have gone through; 0 for never.
    """

    mode: ProxyMode = ProxyMode.PASS
    delay_seconds: float = 0.0
    reset_after_bytes: int = 0


RuleFor = Callable[[int | None], ProxyRule]
# Returns the local IP address to connect from, by the port of the connecting process and the port
# that it has connected to.
SourceFor = Callable[[int, int], str]


class FaultProxy:
    """Listens on one address and connects to another.

    Args:
        listen_address: ``IP:port``.
        target_address: ``IP:port``.
        source_for: chooses the address that the target sees; any address if omitted.
    """

    def __init__(
        self, listen_address: str, target_address: str, source_for: SourceFor | None = None
    ) -> None:
        self._port = _split(listen_address)[1]
        self._target = _split(target_address)
        self._source_for = source_for
        self._rule_for: RuleFor = lambda _: ProxyRule()
        self._process_ids: tuple[int, ...] = ()
        self._port_owners = SharedPortOwners()
        self._closed = False
        self._pairs: list[_Pair] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(_split(listen_address), backlog=_BACKLOG)
        threading.Thread(target=self._accept, name=f"proxy-{listen_address}", daemon=True).start()

    def set_rule(self, rule: ProxyRule) -> None:
        """Treat all connections, open ones included, by one rule."""
        self._process_ids = ()
        self._rule_for = lambda _: rule
        self._reset_open(rule)

    def set_rule_by_owner(self, rule_for: RuleFor, process_ids: tuple[int, ...]) -> None:
        """Treat connections by the id of the process that opened them, if it is one of some."""
        self._rule_for = rule_for
        self._process_ids = process_ids
        with self._lock:
            pairs = [each for each in self._pairs if not each.ended]
        unknown = {each.peer_port for each in pairs if each.owner is None}
        owners = owners_of_ports(unknown, process_ids, self._port)
        for pair in pairs:
            if pair.owner is None:
                pair.owner = owners.get(pair.peer_port)
            pair.apply(rule_for(pair.owner))

    def close(self) -> None:
        """Stop, resetting what is open."""
        self._closed = True
        self._listener.close()
        self._reset_open(ProxyRule(ProxyMode.RESET))

    def _reset_open(self, rule: ProxyRule) -> None:
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            pair.apply(rule)

    def _accept(self) -> None:
        while not self._closed:
            try:
                client, peer = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(client, peer[1]), daemon=True).start()

    def _connect(self, client: socket.socket, peer_port: int) -> None:
        process_ids = self._process_ids
        owner = self._port_owners.find(peer_port, process_ids, self._port) if process_ids else None
        rule = self._rule_for(owner)
        if rule.mode is ProxyMode.RESET:
            _reset(client)
            return
        try:
            source = (
                (self._source_for(peer_port, self._port), 0)
                if self._source_for is not None
                else None
            )
            server = socket.create_connection(self._target, 2.0, source)
        except OSError:
            _reset(client)
            return
        server.settimeout(None)
        pair = _Pair(client, server, rule, peer_port, owner)
        with self._lock:
            self._pairs = [each for each in self._pairs if not each.ended]
            self._pairs.append(pair)
        pair.start()


class _Pair:
    """One proxied connection."""

    def __init__(
        self,
        client: socket.socket,
        server: socket.socket,
        rule: ProxyRule,
        peer_port: int,
        owner: int | None,
    ) -> None:
        self._client = client
        self._server = server
        self._rule = rule
        self.peer_port = peer_port
        self.owner = owner
        self.ended = False
        self._open_directions = 2
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start one thread for each direction."""
        for source, sink, is_request in (
            (self._client, self._server, True),
            (self._server, self._client, False),
        ):
            threading.Thread(
                target=self._pump, args=(source, sink, is_request), daemon=True
            ).start()

    def apply(self, rule: ProxyRule) -> None:
        """Change the rule of an open connection."""
        self._rule = rule
        if rule.mode is ProxyMode.RESET:
            self._reset()

    def _pump(self, source: socket.socket, sink: socket.socket, is_request: bool) -> None:
        passed = 0
        try:
            while True:
                piece = source.recv(_PIECE_BYTES)
                if not piece:
                    break
                time.sleep(self._rule.delay_seconds)
                self._wait_while_swallowing(is_request)
                limit = self._rule.reset_after_bytes
                if is_request and limit and passed + len(piece) >= limit:
                    sink.sendall(piece[: max(0, limit - passed)])
                    self._reset()
                    return
                sink.sendall(piece)
                passed += len(piece)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._reset()
        finally:
            self._end_direction()

    def _end_direction(self) -> None:
        """Close both ends once neither direction has anything more to pass."""
        with self._lock:
            self._open_directions -= 1
            if self._open_directions:
                return
        self.ended = True
        self._client.close()
        self._server.close()

    def _wait_while_swallowing(self, is_request: bool) -> None:
        """Hold bytes back; they come late, as after a network that came back, or never."""
        while not self.ended:
            mode = self._rule.mode
            held = mode is ProxyMode.SWALLOW or (mode is ProxyMode.ONE_WAY and not is_request)
            if not held:
                return
            time.sleep(_POLL_SECONDS)
        raise OSError("the connection has ended")

    def _reset(self) -> None:
        self.ended = True
        for end in (self._client, self._server):
            _reset(end)


def _reset(end: socket.socket) -> None:
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    end.close()


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
