"""The result of a send to a back end, and how far the send got."""

from __future__ import annotations

import enum

import msgspec

from kitekeel_backends.http_exchange import BackEndConnection
from kitekeel_steering.back_end_load import AnsweredLoad
from kitekeel_steering.proxied_messages import ProxiedAnswer, find_header


class SendResult(msgspec.Struct):
    """The result of one send.

    Attributes:
        answer: the answer to pass on to the caller; ``None`` if there is none.
        may_have_run: whether the back end may have run the request.
        has_arrived: whether the request may have reached the back end.
        error: failure code; empty if ``answer`` is the result of running the request.
        rejected_with_free_slot: whether the back end rejected the request despite a free slot.
        requests_pause: whether the back end asked this daemon to send nothing for a while.
        report: the back end's load as reported in its answer.
    """

    answer: ProxiedAnswer | None
    may_have_run: bool
    has_arrived: bool
    error: str = ""
    rejected_with_free_slot: bool = False
    requests_pause: bool = False
    report: AnsweredLoad | None = None


class ConnectionKind(enum.Enum):
    """The connection that a send uses; ``PENDING`` until it has one."""

    PENDING = "pending"
    NEW = "new"
    KEPT = "kept"


class SendProgress(msgspec.Struct):
    """How far a send has got; also readable after its task was cancelled.

    Attributes:
        relay: the daemon through which the connection leads; empty if it is direct.
        connection_number: identifies the connection within this process; 0 without one.
        exchange_number: number of the exchange on its connection, from 1; 0 without one.
        status: the status of the answer; 0 without one.
        matched_by: by what sign the answer was taken for that to this send; empty without one.
        states_not_run: whether the answer states that the request was not run.
        skipped_answers: number of answers to other requests that came before it.
        is_open_ended: whether the answer has no length, so that it ends with the connection.
    """

    connection: ConnectionKind = ConnectionKind.PENDING
    relay: str = ""
    connection_number: int = 0
    exchange_number: int = 0
    status: int = 0
    matched_by: str = ""
    states_not_run: bool = False
    skipped_answers: int = 0
    is_open_ended: bool = False

    def note_connection(self, connection: BackEndConnection) -> None:
        """Record the connection that the request is about to be sent on."""
        self.connection = ConnectionKind.KEPT if connection.exchanges else ConnectionKind.NEW
        self.relay = connection.relay
        self.connection_number = connection.number
        self.exchange_number = connection.exchanges + 1

    def note_answer(self, connection: BackEndConnection, not_run_header: bytes) -> None:
        """Record what was received during the exchange, which may have failed."""
        self.skipped_answers = connection.skipped_answers
        self.is_open_ended = connection.has_open_ended_answer
        received = connection.received_head
        if received is None:
            return
        self.status = received.status
        self.matched_by = received.matched_by.value
        self.states_not_run = find_header(received.headers, not_run_header) is not None
