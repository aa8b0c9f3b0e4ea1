"""What a load process is told and what it brings back."""

from __future__ import annotations

import msgspec

from kitekeel_lab.caller import CallerSpec, Result


class LoadStream(msgspec.Struct, frozen=True):
    """Requests of one kind from one zone, at random times with a mean rate.

    Attributes:
        name: of the kind, such as ``search/patron``.
        per_second: mean rate.
        exponential_work: draw the service time from an exponential distribution with the mean that
            the request gives, cut at four times the mean.
        comes_back: a refused request is sent again when the answer said to.
    """

    name: str
    zone: str
    per_second: float
    request: CallerSpec
    exponential_work: bool = False
    comes_back: bool = False


class LoadOrder(msgspec.Struct, frozen=True):
    """The work of one load process.

    Attributes:
        start_at: wall-clock time of the first arrival at the earliest.
        known: callers' addresses of some daemons.
        threads: most requests in flight.
        repeats: how often a request is sent again while its outcome is unknown.
    """

    streams: tuple[LoadStream, ...]
    start_at: float
    seconds: float
    seed: int
    known: tuple[str, ...]
    threads: int
    repeats: int = 0


class LoadRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request, seen from its caller.

    Attributes:
        started_at: the intended start, wall-clock.
        seconds: from the intended start to the end of the answer.
        late_seconds: how late the load process itself sent it.
    """

    stream: str
    request_id: str
    started_at: float
    seconds: float
    late_seconds: float
    result: Result
    status: int
    code: str
    retry_after_seconds: float | None
    entry: str
