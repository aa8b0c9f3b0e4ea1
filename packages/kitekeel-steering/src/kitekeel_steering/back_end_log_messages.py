"""Typed messages for the log lines of a gateway daemon about back ends."""

from __future__ import annotations

from kitekeel_steering.log_messages import LogMessage


class ObjectsCompared(LogMessage, frozen=True):
    """Other regions have started or stopped requesting the same objects of a service.

    ``known_share`` is the share of their objects that were also requested in this region, relative
    to the share that daemons of one region have in common, which counts as 1.
    """

    service: str
    is_shared: bool
    known_share: float


class LocalShareMoves(LogMessage, frozen=True):
    """The share of a service's keys that the local region serves starts to move to a target.

    ``share`` and ``target`` are shares of the keys, 0 to 1; ``room`` is the local region's share of
    the slots; ``is_shared`` states whether other regions request the same objects; ``is_pressed``
    states whether the region gives up keys because it has been refusing requests for which other
    regions have free slots.
    """

    service: str
    share: float
    target: float
    room: float
    is_shared: bool
    is_pressed: bool


class BackEndEjected(LogMessage, frozen=True):
    """A back end is excluded for a while because it was unreachable or its answers were faulty."""

    back_end: str
    service: str
    reason: str


class BackEndLinksLost(LogMessage, frozen=True):
    """The links to the back ends of ``service``, or of all services (``all``), are lost.

    ``decided_by`` is ``peers-reach-them`` if other daemons connected to ``back_ends`` although this
    one could not, or ``none-answers`` if no back end answers this daemon. Requests go through other
    daemons until the links are restored.
    """

    service: str
    decided_by: str
    back_ends: tuple[str, ...]


class BackEndLinksRestored(LogMessage, frozen=True):
    """The links to the back ends of ``service`` work again, after ``seconds``.

    Several direct connections in a row succeeded. ``lost_by`` is what the loss was decided by.
    """

    service: str
    seconds: float
    lost_by: str


class BackEndLimitChanged(LogMessage, frozen=True):
    """A back end's advertised rate limit has changed or been withdrawn.

    ``rate`` is in requests per second for all daemons together, null if there is no limit;
    ``source`` is ``own`` for an answer to this daemon, otherwise the peer that sent the change.
    """

    back_end: str
    started_at_ms: int
    rate: float | None
    source: str


class BackEndLeaving(LogMessage, frozen=True):
    """A back end's process has announced in an answer that it is about to stop.

    It gets no more requests, even if its record still says that it is ready. ``source`` is ``own``
    for an answer to this daemon, to the request ``answered``, otherwise the peer that reported it.
    """

    back_end: str
    service: str
    started_at_ms: int
    source: str
    answered: str = ""


class BackEndBackoffStarted(LogMessage, frozen=True):
    """A back end has asked this daemon for a pause, with status 503 and ``Retry-After``.

    It gets no requests for ``seconds``, which ends at ``until`` by the wall clock. ``source`` is
    ``own`` for an answer to this daemon, to the request ``answered`` and through the daemon
    ``relay`` if the connection was relayed, otherwise the daemon that passed the request on.
    Extensions of a pause in progress are not logged.
    """

    back_end: str
    service: str
    seconds: float
    until: float
    source: str
    answered: str = ""
    relay: str = ""


class BackEndAnnouncementUnreadable(LogMessage, frozen=True):
    """A back end sent a header about its state that cannot be parsed; logged once per header."""

    back_end: str
    header: str
    values: str


class BackEndLimitUnreadable(LogMessage, frozen=True):
    """A back end sent a rate limit that is not a decimal number; logged once per process.

    Valid values in the same answer still apply; if there are none, the previous limit is kept.
    A process that is removed and registers again may be logged again.
    """

    back_end: str
    values: str


class ExchangeBroken(LogMessage, frozen=True):
    """An exchange with a back end was interrupted, and the state of its process was checked.

    ``process`` is ``gone`` if the next connection was refused, or another process answers or
    registers there; ``alive`` if a connection could be opened; ``silent`` if nothing answered.
    ``identity`` is the same for each try of the same request, on every daemon; ``caller`` is the IP
    address it came from; ``seconds`` is the duration of the exchange.
    """

    request: str
    identity: str
    caller: str
    back_end: str
    started_at_ms: int
    seconds: float
    error: str
    process: str


class CrashRecordChanged(LogMessage, frozen=True):
    """The record of a request during which back-end processes have ended was updated.

    ``ends`` processes have ended while running it since it was last cleared; ``times_cleared`` is
    how often it was cleared, by an answer or an operator; ``last_end`` is one of the processes, as
    name and start. ``source`` is the origin of the update: own, operator, store or a peer.
    """

    identity: str
    service: str
    ends: int
    last_end: str
    times_cleared: int
    is_quarantined: bool
    source: str


class CrashTryClaimed(LogMessage, frozen=True):
    """The daemon tried to claim a careful try of a quarantined request, allowed once in the fleet.

    ``reason`` is the time since the last end, or a software version that was not tried before.
    """

    identity: str
    reason: str
    is_granted: bool


class CrashTryClaimFailed(LogMessage, frozen=True):
    """The claim of a careful try could not be written; the request stays quarantined."""

    reason: str
