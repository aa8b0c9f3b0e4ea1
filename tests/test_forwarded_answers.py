"""Answers that kitekeeld takes for those to its requests."""

import socket
import threading

import pytest
from loopback import free_address

from kitekeel_backends.forwarding import Forwarder
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import ConnectionBrokenError
from kitekeel_steering.http_messages import REQUEST_ID_HEADER, ForwardedRequest


def request(request_id: str) -> ForwardedRequest:
    return ForwardedRequest(request_id, "GET", "/x", (("Host", "h"),), None, None, "north")


def answer(request_id: str) -> bytes:
    body = f"answer to {request_id}"
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID_HEADER}: {request_id}\r\nContent-Length: {len(body)}"
    return f"{head}\r\n\r\n{body}".encode()


def serve_with_a_late_copy(listener: socket.socket) -> None:
    """Answer the first request, and the second one with the answer to the first."""
    connection, _ = listener.accept()
    with connection:
        for _ in range(2):
            connection.recv(65536)
            connection.sendall(answer("one"))
        connection.recv(65536)


def test_a_late_answer_to_an_earlier_request_is_not_forwarded() -> None:
    address = free_address()
    host, _, port = address.rpartition(":")
    with socket.create_server((host, int(port))) as listener:
        threading.Thread(target=serve_with_a_late_copy, args=(listener,), daemon=True).start()
        forwarder = Forwarder()
        first = forwarder.send(address, 1, request("one"), True, steady_seconds() + 1.0)
        assert b"".join(first.pieces) == b"answer to one"
        with pytest.raises(ConnectionBrokenError):
            forwarder.send(address, 1, request("two"), True, steady_seconds() + 1.0)
