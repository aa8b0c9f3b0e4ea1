"""Reads a short body ahead, so that its request can be known again and holds no slot meanwhile."""

from __future__ import annotations

import io
from collections.abc import Callable

import msgspec

from kitekeel_callers.caller_request import CallerRequest
from kitekeel_steering.errors import BadRequestError

_MOST_BYTES = 64 * 1024


def read_ahead(request: CallerRequest) -> tuple[CallerRequest, bytes | None]:
    """Return the request with its body in memory, and the body; ``None`` where it is too long.

    Raises:
        BadRequestError: the caller went away in the middle; nothing was sent.
    """
    forwarded = request.forwarded
    length = forwarded.body_length
    if forwarded.body is None:
        return request, b""
    if length is None or length > _MOST_BYTES:
        return request, None
    body = _read(forwarded.body.read, length)
    known = msgspec.structs.replace(forwarded, body=io.BytesIO(body))
    return msgspec.structs.replace(request, forwarded=known), body


def _read(read: Callable[[int], bytes], length: int) -> bytes:
    pieces: list[bytes] = []
    left = length
    while left > 0:
        try:
            piece = read(left)
        except OSError as error:
            raise BadRequestError("the caller's body was cut short") from error
        if not piece:
            raise BadRequestError("the caller's body was cut short")
        pieces.append(piece)
        left -= len(piece)
    return b"".join(pieces)
