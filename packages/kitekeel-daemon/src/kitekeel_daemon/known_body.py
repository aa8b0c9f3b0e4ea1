"""Buffers short request bodies, to identify retries and to occupy no slot during the upload."""

from __future__ import annotations

import io
from collections.abc import Callable

import msgspec

from kitekeel_callers.caller_request import CallerRequest
from kitekeel_steering.errors import BadRequestError

_MAX_READ_AHEAD_BYTES = 64 * 1024


def read_ahead(request: CallerRequest) -> tuple[CallerRequest, bytes | None]:
    """Return the request with its body in memory, and the body.

    The body is ``None``, and not read, if it is too long or its length is unknown.

    Raises:
        BadRequestError: the caller disconnected before the end of the body; nothing was sent.
    """
    forwarded = request.forwarded
    length = forwarded.body_length
    if forwarded.body is None:
        return request, b""
    if length is None or length > _MAX_READ_AHEAD_BYTES:
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
