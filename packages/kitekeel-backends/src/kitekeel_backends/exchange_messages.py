"""The messages of one exchange with a back end: the request as written, the head as received."""

from __future__ import annotations

import enum

import h11
import msgspec

from kitekeel_steering.proxied_messages import MessageBody, RawHeaders, find_header


class AnswerMatch(enum.Enum):
    """The sign by which an answer was taken for the answer to a request.

    ``REQUEST_ID``: it repeats the request's id, which its connection carried only once.
    ``NEW_CONNECTION``: it has no id, and its connection carried no other request. ``UNIDENTIFIED``:
    the request has no id, and the answer none that its connection carried.
    """

    REQUEST_ID = "repeated-id"
    NEW_CONNECTION = "new-connection"
    UNIDENTIFIED = "request-without-id"


class ReceivedHead(msgspec.Struct, frozen=True):
    """The head of the answer to a request."""

    status: int
    reason: bytes
    headers: RawHeaders
    matched_by: AnswerMatch


class OutgoingRequest:
    """A request in the form in which it is written to a back end.

    Args:
        headers: all headers except those that frame the body.
        id_header: name of the header whose value an answer must repeat; ``None`` for a server that
            knows no ids, and whose answers are matched by their order alone.
        is_probe: whether a late answer to an earlier probe does no harm, so that a request without
            an id may be sent on a used connection.
    """

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: MessageBody,
        id_header: bytes | None = None,
        is_probe: bool = False,
    ) -> None:
        self.body = body
        self.is_probe = is_probe
        self.id_header = id_header
        self.request_id = find_header(headers, id_header) if id_header else None
        framing = _framing_headers(method, body)
        self.head = h11.Request(method=method, target=target, headers=[*headers, *framing])


def _framing_headers(method: bytes, body: MessageBody) -> list[tuple[bytes, bytes]]:
    if body.rest is None:
        if not body.start and method in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            return []
        return [(b"Content-Length", str(len(body.start)).encode())]
    if body.length is not None:
        return [(b"Content-Length", str(body.length).encode())]
    return [(b"Transfer-Encoding", b"chunked")]
