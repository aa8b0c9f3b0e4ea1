"""Identifies a caller's request by its content, to recognise resends with a new id at any daemon.

Two requests have the same identity if a back end would receive the same method, host, target,
object key, credentials and body. Deadlines, ids and headers added by proxies are ignored.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b

import xxhash

from kitekeel_steering.proxied_messages import (
    HeaderNames,
    ProxiedRequest,
    find_cookie,
    find_header,
)

# As much of a body as is read before its request is sent to a back end; the rest is not known then.
_IDENTIFYING_BODY_BYTES = 1024 * 1024
_DIGEST_BYTES = 16
_TARGET_LENGTH = 16
_SEPARATOR = b"\x00"


def identify_target(request: ProxiedRequest) -> str:
    """Return the first part of a request's identity, which is cheap to compute."""
    return _target_hash(_target_parts(request))


def identify(request: ProxiedRequest, names: HeaderNames) -> str:
    """Return the request's identity: a target hash and a digest of what a back end receives."""
    content = (
        find_cookie(request.headers, names.affinity_cookie).encode("latin-1"),
        find_header(request.headers, b"authorization") or b"",
        find_header(request.headers, b"content-type") or b"",
        request.body.start[:_IDENTIFYING_BODY_BYTES],
    )
    return identify_parts(_target_parts(request), content)


def identify_caller(request: ProxiedRequest, names: HeaderNames) -> bytes:
    """Return what stays the same in all tries of a caller's request, without reading its body."""
    parts = (
        *_target_parts(request),
        find_cookie(request.headers, names.affinity_cookie).encode("latin-1"),
        find_header(request.headers, b"authorization") or b"",
        request.caller_address.encode("latin-1"),
    )
    return _SEPARATOR.join(parts)


def identify_parts(target: Sequence[bytes], content: Sequence[bytes]) -> str:
    """Return the identity of a request with the given parts."""
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (*target, *content):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return f"{_target_hash(target)}-{digest.hexdigest()}"


def target_of(identity: str) -> str:
    """Return the target hash of an identity."""
    return identity[:_TARGET_LENGTH]


def _target_parts(request: ProxiedRequest) -> tuple[bytes, bytes, bytes]:
    host = find_header(request.headers, b"host") or b""
    return request.method, host, request.target


def _target_hash(target: Sequence[bytes]) -> str:
    return xxhash.xxh64_hexdigest(_SEPARATOR.join(target))
