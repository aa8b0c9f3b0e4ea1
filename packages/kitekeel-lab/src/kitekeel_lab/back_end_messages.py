"""What the back-end stand-ins are told and what they record."""

from __future__ import annotations

import msgspec


class BackEndSpec(msgspec.Struct, frozen=True):
    """One stand-in server.

    Attributes:
        one_way_seconds: emulated delay to each region, one way.
        cold_seconds: time after the start during which work takes longer.
    """

    name: str
    address: str
    region: str
    slots: int
    one_way_seconds: dict[str, float]
    cold_seconds: float = 0.0


class BackEndFaults(msgspec.Struct, frozen=True):
    """How a stand-in fails.

    Attributes:
        slow_factor: work takes so many times as long.
        fail_share: share of requests answered 500 at once, without being run.
        break_share: share of requests whose connection breaks after they were run.
        cut_share: share of answers cut in the middle of their body.
        report_frozen: load reports stop: their end point does not answer.
        report_running: a lie told as the running count.
        report_lag_seconds: by how much reports lag.
        draining: reports say that it is draining.
        announces_end: answers say that it is about to stop.
        retry_after: every request is turned away with 503 and this ``Retry-After``; empty for none.
        sheds: work beyond the slots is refused with 503, not run beside the rest.
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    break_share: float = 0.0
    cut_share: float = 0.0
    report_frozen: bool = False
    report_running: int | None = None
    report_lag_seconds: float = 0.0
    draining: bool = False
    sheds: bool = False
    announces_end: bool = False
    retry_after: str = ""


class FaultOrder(msgspec.Struct, frozen=True):
    """Sets the faults of some stand-ins; an empty list means all of them."""

    back_ends: tuple[str, ...]
    faults: BackEndFaults


class BackEndRecord(msgspec.Struct):
    """What a stand-in has seen; the truth that proofs read.

    Attributes:
        runs: how often the request of each id was begun.
        over_slots: requests begun while every slot was taken.
        peak: most requests running at once.
        last_started_at: wall-clock time of the last request begun.
        starts: wall-clock start time, origin region and shift of each request.
        turned_away: wall-clock time and requested pause in seconds of each request turned away.
    """

    runs: dict[str, int]
    over_slots: int = 0
    peak: int = 0
    shed: int = 0
    cancelled: int = 0
    running: int = 0
    last_started_at: float = 0.0
    starts: list[tuple[float, str, str]] = []
    turned_away: list[tuple[float, float]] = []
