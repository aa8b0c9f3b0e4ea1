"""Transfers a stopping daemon's keys to another one, which is responsible for them afterwards."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from kitekeel_peers.messages import HandoverReply, HandoverRequest, MemberRecord
from kitekeel_peers.rpc import PeerClient, PeerServer
from kitekeel_steering.errors import PeerError
from kitekeel_steering.key_table import KeyRecord, KeyTable

HANDOVER = "Handover"

_TIMEOUT_SECONDS = 5.0
_MAX_PART_BYTES = 1024 * 1024
_ESTIMATED_RECORD_BYTES = 512


class KeyHandover:
    """Sends and receives keys.

    Args:
        table: the keys whose home is this daemon.
        client: calls other daemons.
        own_instance: this daemon's instance.
    """

    def __init__(self, table: KeyTable, client: PeerClient, own_instance: str) -> None:
        self._table = table
        self._client = client
        self._own_instance = own_instance

    def register(self, server: PeerServer) -> None:
        """Register the RPC handler."""
        server.register(HANDOVER, HandoverRequest, self._handle)

    def send(self, successor: MemberRecord, records: Sequence[KeyRecord]) -> bool:
        """Send records in parts; return whether the successor has accepted all of them."""
        for part in _parts(records):
            request = HandoverRequest(self._own_instance, tuple(part))
            try:
                reply = self._client.call(
                    successor.peer_address, HANDOVER, request, HandoverReply, _TIMEOUT_SECONDS
                )
            except PeerError:
                return False
            if not reply.accepted:
                return False
        return True

    def _handle(self, request: HandoverRequest) -> HandoverReply:
        self._table.import_records(list(request.records), request.source)
        return HandoverReply(accepted=True)


def _parts(records: Sequence[KeyRecord]) -> Iterator[list[KeyRecord]]:
    """Yield the records in parts of bounded size; the last part may be empty."""
    part: list[KeyRecord] = []
    size = 0
    for record in records:
        part.append(record)
        size += _ESTIMATED_RECORD_BYTES
        if record.answer is not None and record.answer.body is not None:
            size += len(record.answer.body)
        if size >= _MAX_PART_BYTES:
            yield part
            part, size = [], 0
    yield part
