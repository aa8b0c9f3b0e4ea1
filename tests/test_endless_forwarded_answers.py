"""Back ends of kitekeeld that send bytes without end hold no request beyond its deadline."""

import time

import pytest
from loopback import free_address
from script_process import script_process

from kitekeel_backends.forwarding import Forwarder
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import ConnectionBrokenError, DeadlinePassedError
from kitekeel_steering.http_messages import ForwardedRequest

DEADLINE_SECONDS = 1.0
HELD_SECONDS = 0.5


@pytest.mark.parametrize("kind", ["no-length", "chunked", "huge-length", "interim", "slow-rest"])
def test_a_request_ends_at_its_deadline_although_its_answer_does_not(kind: str) -> None:
    """Guards against reads that never time out, as there is always data."""
    request = ForwardedRequest("q0", "GET", "/x", (("Host", "h"),), None, None, "north")
    address = free_address()
    with script_process("endless_back_end.py", kind, address):
        begin = time.monotonic()
        with pytest.raises((DeadlinePassedError, ConnectionBrokenError)):
            deadline = steady_seconds() + DEADLINE_SECONDS
            answer = Forwarder().send(address, 1, request, True, deadline)
            for _ in answer.pieces:
                assert time.monotonic() - begin < 4 * DEADLINE_SECONDS
        assert time.monotonic() - begin < DEADLINE_SECONDS + HELD_SECONDS
