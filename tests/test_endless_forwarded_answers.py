"""Back ends of kitekeeld that send bytes without end hold no request beyond its deadline."""

import subprocess
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest
from loopback import free_address

from kitekeel_backends.forwarding import Forwarder
from kitekeel_lab.child_process import start_python
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import ConnectionBrokenError, DeadlinePassedError
from kitekeel_steering.http_messages import ForwardedRequest

ENDLESS_BACK_END = Path(__file__).with_name("endless_back_end.py")
DEADLINE_SECONDS = 1.0
HELD_SECONDS = 0.5


@contextmanager
def endless_back_end(kind: str) -> Iterator[str]:
    """Run a back end whose answers never end; return its address."""
    address = free_address()
    process = start_python([str(ENDLESS_BACK_END), kind, address], subprocess.PIPE)
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield address
    finally:
        process.kill()
        process.wait()


@pytest.mark.parametrize("kind", ["no-length", "chunked", "huge-length", "interim", "slow-rest"])
def test_a_request_ends_at_its_deadline_although_its_answer_does_not(kind: str) -> None:
    """Guards against reads that never time out, as there is always data."""
    request = ForwardedRequest("q0", "GET", "/x", (("Host", "h"),), None, None, "north")
    with endless_back_end(kind) as address:
        begin = time.monotonic()
        with pytest.raises((DeadlinePassedError, ConnectionBrokenError)):
            deadline = steady_seconds() + DEADLINE_SECONDS
            answer = Forwarder().send(address, 1, request, True, deadline)
            for _ in answer.pieces:
                assert time.monotonic() - begin < 4 * DEADLINE_SECONDS
        assert time.monotonic() - begin < DEADLINE_SECONDS + HELD_SECONDS
