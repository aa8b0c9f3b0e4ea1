"""An answer that cannot be read is an error of the project's tree, and ends no thread.

What happened: the operators' client ended in a bare ``msgspec.DecodeError`` where a daemon that was
just starting on two loaded cores answered with another status and no document.

Why: what came with another status than 200 was taken for the document of a refusal. The same holds
for the client of the platform: one document that cannot be read ended the thread that follows the
configuration, or the machine list, for good.

What showed it: the traceback of that run, and these tests: 8 of 8 failed before.
"""

import contextlib
import threading
import time
from collections.abc import Iterable, Iterator
from typing import cast

import pytest
from loopback import free_address

from kitekeel_callers.caller_request import Environment
from kitekeel_callers.front import HttpServer, ServerLimits
from kitekeel_callers.intake import StartResponse
from kitekeel_operators.client import DaemonUnreachableError, OperatorClient
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.messages import PullReply
from kitekeel_peers.rpc import PeerClient
from kitekeel_platform.client import MachineList, PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_platform.key_claims import KeyClaims
from kitekeel_platform.rate_budget import RateBudget
from kitekeel_platform.watchers import ConfigurationWatch, MachineListPoll
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.errors import ClaimFailedError, PlatformError, WriteOutcomeUnknownError
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration, encode_configuration
from kitekeel_steering.store_revision import StoreRevision

VERSION = ("Version", "7")


class Answers:
    """Gives the same answer to every request until it is changed."""

    def __init__(self, status: str, body: bytes, *headers: tuple[str, str]) -> None:
        self.status = status
        self.body = body
        self.headers = list(headers)

    def __call__(self, _environment: Environment, start: StartResponse) -> Iterable[bytes]:
        start(self.status, [*self.headers, ("Content-Length", str(len(self.body)))])
        return [self.body]


@contextlib.contextmanager
def server_of(answers: Answers) -> Iterator[str]:
    address = free_address()
    server = HttpServer(address, answers, ServerLimits(threads=4))
    server.start()
    try:
        yield address
    finally:
        server.stop()


def platform_client(address: str) -> PlatformClient:
    return PlatformClient(address, RateBudget(SystemClock(), 100.0, 100.0), MemoryMetrics())


@pytest.mark.parametrize(
    "answers",
    [
        Answers("503 Service Unavailable", b""),
        Answers("408 Request Timeout", b"The request took too long"),
        Answers("200 OK", b"{"),
    ],
)
def test_a_daemon_whose_answer_cannot_be_read_is_an_error_with_a_code(answers: Answers) -> None:
    with server_of(answers) as address, pytest.raises(DaemonUnreachableError) as error:
        OperatorClient(address, "key").query("show counters")
    assert address in error.value.message
    assert answers.status[:3] in error.value.message


def test_a_configuration_that_cannot_be_read_is_an_error_of_the_platform() -> None:
    with server_of(Answers("200 OK", b"\xff{", VERSION)) as address:
        store = ConfigurationStore(platform_client(address))
        with pytest.raises(PlatformError):
            store.load()
        with pytest.raises(PlatformError):
            store.watch(StoreRevision(0, 1), 0.1)


def test_an_answer_without_its_version_is_an_error_of_the_platform() -> None:
    with server_of(Answers("200 OK", b"{}")) as address:
        client = platform_client(address)
        with pytest.raises(PlatformError):
            client.read("key")
        with pytest.raises(WriteOutcomeUnknownError):
            client.write("key", b"value", 0)


def test_a_claim_that_cannot_be_read_runs_nothing() -> None:
    with server_of(Answers("409 Conflict", b"")) as address:
        answers = Answers("200 OK", b"[1,", VERSION)
        with server_of(answers) as other:
            claims = KeyClaims(platform_client(other), "d1", 60.0)
            with pytest.raises(ClaimFailedError):
                claims._read_home("kitekeel/keys/x")
        with pytest.raises(ClaimFailedError):
            KeyClaims(platform_client(address), "d1", 60.0).claim("a-key")


def test_the_watch_of_the_configuration_outlives_an_unreadable_one() -> None:
    answers = Answers("200 OK", b"no document", VERSION)
    adopted: list[Configuration] = []
    failures: list[PlatformError] = []
    stop = threading.Event()
    with server_of(answers) as address:
        store = ConfigurationStore(platform_client(address))
        watch = ConfigurationWatch(
            store, lambda: StoreRevision(0, 1), adopted.append, lambda: True, failures.append
        )
        thread = threading.Thread(target=watch.run, args=(stop,))
        thread.start()
        time.sleep(0.3)
        answers.body = encode_configuration(Configuration(revision=7))
        until = time.monotonic() + 3.0
        while not adopted and time.monotonic() < until:
            time.sleep(0.02)
        stop.set()
        thread.join()
    assert adopted
    assert failures


def test_the_poll_of_the_machine_list_outlives_an_unreadable_one() -> None:
    answers = Answers("200 OK", b"no document")
    lists: list[MachineList] = []
    failures: list[PlatformError] = []
    stop = threading.Event()
    with server_of(answers) as address:
        poll = MachineListPoll(
            platform_client(address), 0.05, lists.append, lambda: True, failures.append
        )
        thread = threading.Thread(target=poll.run, args=(stop,))
        thread.start()
        time.sleep(0.3)
        answers.body = b'{"machines":[]}'
        until = time.monotonic() + 3.0
        while not lists and time.monotonic() < until:
            time.sleep(0.02)
        stop.set()
        thread.join()
    assert lists
    assert failures


class OtherDaemon:
    """Answers each pull with the same document."""

    def __init__(self, document: bytes) -> None:
        self._document = document

    def call(self, *_arguments: object) -> PullReply:
        return PullReply(9, self._document)


def test_a_configuration_of_another_daemon_that_cannot_be_read_changes_nothing() -> None:
    causes: list[str] = []
    client = cast(PeerClient, OtherDaemon(b"\xff"))
    spread = ConfigurationSpread(client, "p", "d1", lambda _: None, causes.append)
    assert not spread.pull("10.0.0.1:1")
    assert spread.revision() == 0
    assert "10.0.0.1:1" in causes[0]
