"""A back end as a process of its own whose answers never end.

Run as ``endless_back_end.py KIND ADDRESS``; prints ``ready``, then ``got ID`` for each request, and
``closed ID SECONDS`` when its connection is found closed, with the time since the request.
"""

import socket
import sys
import threading
import time
from collections.abc import Callable

ID = "Kitekeel-Request-Id"
PIECE = b"x" * 65536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
LARGE_PART = b"x" * 700_000
SLOW_BYTES = 20
SLOW_SECONDS = 0.1
PRINTING = threading.Lock()


def head(request_id: str, *lines: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", f"{ID}: {request_id}", *lines, "", ""]).encode()


def send_endlessly(connection: socket.socket, start: bytes, piece: bytes) -> None:
    connection.sendall(start)
    while True:
        connection.sendall(piece)


def send_slowly(connection: socket.socket, start: bytes, piece: bytes = b"x" * SLOW_BYTES) -> None:
    connection.sendall(start)
    while True:
        connection.sendall(piece)
        time.sleep(SLOW_SECONDS)


KINDS: dict[str, Callable[[socket.socket, str], None]] = {
    "no-length": lambda connection, name: send_endlessly(connection, head(name), PIECE),
    "chunked": lambda connection, name: send_endlessly(
        connection, head(name, "Transfer-Encoding: chunked"), CHUNK
    ),
    "huge-length": lambda connection, name: send_endlessly(
        connection, head(name, "Content-Length: 1000000000000"), PIECE
    ),
    "headers": lambda connection, name: send_endlessly(
        connection, head(name)[:-2], b"X-Header: value\r\n" * 100
    ),
    "interim": lambda connection, name: send_endlessly(connection, b"", INTERIM),
    "another-answer": lambda connection, name: send_endlessly(connection, head("other"), PIECE),
    "slow-headers": lambda connection, name: send_slowly(
        connection, head(name)[:-2], b"X-Header: value\r\n"
    ),
    "slow-interim": lambda connection, name: send_slowly(connection, b"", INTERIM[:25]),
    "slow-another-answer": lambda connection, name: send_slowly(connection, head("other")),
    "slow-body": lambda connection, name: send_slowly(connection, head(name)),
    "slow-rest": lambda connection, name: send_slowly(connection, head(name) + LARGE_PART),
    "slow-rest-with-length": lambda connection, name: send_slowly(
        connection, head(name, "Content-Length: 20000000") + LARGE_PART
    ),
}


def report(line: str) -> None:
    with PRINTING:
        print(line, flush=True)


def serve(connection: socket.socket, kind: str) -> None:
    received = b""
    name = ""
    got_at = time.monotonic()
    try:
        while b"\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return
            received += data
        lines = received.decode("latin-1").split("\r\n")
        name = next(each for each in lines if each.lower().startswith(ID.lower())).split(": ")[1]
        got_at = time.monotonic()
        report(f"got {name}")
        KINDS[kind](connection, name)
    except OSError:
        if name:
            report(f"closed {name} {time.monotonic() - got_at:.3f}")
    finally:
        connection.close()


def main(kind: str, address: str) -> None:
    host, _, port = address.rpartition(":")
    listener = socket.create_server((host, int(port)), backlog=256)
    print("ready", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, kind), daemon=True).start()


if __name__ == "__main__":
    main(*sys.argv[1:])
