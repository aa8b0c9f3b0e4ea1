"""The handshake by which a daemon opens a connection to a back end through another daemon.

It is the CONNECT method of HTTP/1.1 (RFC 9110, section 9.3.6): after an answer with status 200, the
bytes of both sides are forwarded. Those of the back end come in frames (``tunnel_frames``) if the
daemon has asked for them and the relay's answer confirms it; relays of earlier versions do not.
"""

from __future__ import annotations

from http import HTTPStatus

import h11

from kitekeel_steering.proxied_messages import find_header

SECRET_HEADER = b"kitekeel-secret"
BACK_END_HEADER = b"kitekeel-back-end"
DAEMON_HEADER = b"kitekeel-daemon"
FRAMES_HEADER = b"kitekeel-tunnel-frames"
_WITH_FRAMES = b"1"

CONNECTED = HTTPStatus.OK
WRONG_SECRET = HTTPStatus.FORBIDDEN
UNKNOWN_BACK_END = HTTPStatus.NOT_FOUND
# The back end refused the connection.
CONNECTION_REFUSED = HTTPStatus.BAD_GATEWAY
# The back end did not answer in time; the relaying daemon may also have lost its links.
CONNECTION_TIMED_OUT = HTTPStatus.GATEWAY_TIMEOUT
# The relaying daemon must not send requests to the back end now.
BACK_END_UNUSABLE = HTTPStatus.CONFLICT
# The relaying daemon is stopping, has too many tunnels, or has lost its own links.
NO_TUNNEL = HTTPStatus.SERVICE_UNAVAILABLE

MAX_HEAD_BYTES = 4096


def connect_request(address: str, back_end: str, secret: str, daemon: str) -> h11.Request:
    """Return the request of a daemon for a tunnel to a back end at ``IP:port``."""
    return h11.Request(
        method=b"CONNECT",
        target=address.encode(),
        headers=[
            (b"Host", address.encode()),
            (SECRET_HEADER, secret.encode()),
            (BACK_END_HEADER, back_end.encode()),
            (DAEMON_HEADER, daemon.encode()),
            (FRAMES_HEADER, _WITH_FRAMES),
        ],
    )


def has_frames(handshake: h11.Request | h11.Response) -> bool:
    """Return whether a request asks for frames, or an answer confirms them."""
    return find_header(handshake.headers, FRAMES_HEADER) == _WITH_FRAMES


def connect_answer(status: HTTPStatus, is_framed: bool) -> bytes:
    """Return the bytes that answer a request for a tunnel."""
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    if status is not CONNECTED:
        lines += ["Content-Length: 0", "Connection: close"]
    elif is_framed:
        lines.append(f"{FRAMES_HEADER.decode()}: {_WITH_FRAMES.decode()}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
