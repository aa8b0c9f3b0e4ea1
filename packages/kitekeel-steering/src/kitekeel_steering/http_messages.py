"""A caller's request and its answer, as they pass through a daemon; bodies are streamed."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

import msgspec

REQUEST_ID_HEADER = "Kitekeel-Request-Id"
DEADLINE_HEADER = "Kitekeel-Deadline-Ms"
ORIGIN_HEADER = "Kitekeel-Origin-Region"
SHIFT_HEADER = "Kitekeel-Shift"
_HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "date",
        "server",
    }
)


class RequestBody(Protocol):
    """A body that is read piece by piece."""

    def read(self, size: int) -> bytes:
        """Return up to that many bytes, empty at the end."""


class ForwardedRequest(msgspec.Struct, frozen=True):
    """A request as it goes to a back end, or to the home of its key.

    Attributes:
        request_id: the caller's own id for it, or one made by the daemon.
        target: path with query.
        body: the caller's body, ``None`` for none. It can be read once, so it is only sent again
            while nothing of it has been read.
        shift: name of the shift that moves the request, empty for none.
        body_length: its length in bytes, ``None`` where the caller sends it in chunks.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: RequestBody | None
    body_length: int | None
    origin_region: str
    shift: str = ""


class StreamedAnswer(msgspec.Struct, frozen=True):
    """An answer whose body is streamed.

    Attributes:
        pieces: yields the body; raises ``ConnectionBrokenError`` where it was cut short.
    """

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    pieces: Iterator[bytes]
    length: int | None


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers that a proxy passes on: none that speak of one connection only."""
    given = list(headers)
    dropped = set(_HOP_BY_HOP_HEADERS)
    for name, value in given:
        if name.lower() == "connection":
            dropped.update(each.strip().lower() for each in value.split(","))
    return tuple((name, value) for name, value in given if name.lower() not in dropped)
