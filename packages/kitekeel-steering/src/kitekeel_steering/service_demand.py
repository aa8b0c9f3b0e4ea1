"""What callers ask of a service and what its back ends complete, as counted by daemons.

One daemon of a large fleet sees a small part of a service's requests. The daemons therefore add up
their counts, and each decides on the sum. The figures of any number of daemons have the same form.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Protocol

import msgspec

# Keys of one service that are counted apart; the others are counted together by their priority.
MAX_KEYS = 92

_Name = Annotated[str, msgspec.Meta(max_length=200)]
_Priority = Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
_Rate = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class DemandKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Requests that are admitted alike.

    Attributes:
        priority: 0 is the most urgent.
        tenant: name of the tenant; empty for requests of no tenant, or of several together.
    """

    priority: _Priority
    tenant: _Name = ""


class KeyDemand(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one key.

    Attributes:
        asked: requests that arrived, per second.
        admitted: requests that were admitted, per second.
        level: mean admission level in force, weighted by the requests that arrived; 1 admits all.
        tenants: number of tenants that are counted together; daemons may count different ones.
    """

    key: DemandKey
    asked: _Rate
    admitted: _Rate
    level: _Share = 1.0
    tenants: _Count = 1


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """The requests for one pool of back ends.

    Attributes:
        pool: name of the service, with the regions that may serve the requests if not all may.
        completed: requests that back ends completed, per second.
        in_flight: requests that were sent to back ends and have no answer yet.
        slots: requests that the pool's back ends run concurrently, as known to the reporter.
        objective_seconds: shortest objective among the routes that are asked for; 0 if none is.
        keys: at most :data:`MAX_KEYS`.
        daemons: number of daemons whose requests are included.
        members: number of daemons whose requests should be included, as known to the keeper of
            the sum; 0 if unknown.
        rejected: sends that back ends without a free slot rejected, per second.
    """

    pool: _Name
    completed: _Rate
    in_flight: _Count
    slots: _Count
    objective_seconds: _Rate
    keys: tuple[KeyDemand, ...]
    daemons: _Count = 1
    members: _Count = 0
    rejected: _Rate = 0.0

    def asked(self) -> float:
        """Return all requests that arrived, per second."""
        return sum(each.asked for each in self.keys)


class SharedDemand(Protocol):
    """Adds up the demand that the daemons report."""

    def publish(self, own: tuple[ServiceDemand, ...]) -> None:
        """Report this daemon's demand on pools that may be short of room; empty ends reporting."""

    def total(self, pool: str, now: float) -> ServiceDemand | None:
        """Return the demand of all daemons on a pool; ``None`` if none is known that is recent."""


def add_demands(pool: str, demands: Iterable[ServiceDemand]) -> ServiceDemand:
    """Return the sum of several daemons' demand on a pool.

    The number of slots is the largest one reported, as each reporter counts all back ends.
    """
    found = list(demands)
    objectives = [each.objective_seconds for each in found if each.objective_seconds > 0.0]
    by_key: dict[DemandKey, list[KeyDemand]] = {}
    for demand in found:
        for each in demand.keys:
            by_key.setdefault(each.key, []).append(each)
    summed = [
        _add_key_demands(key, parts, max(each.tenants for each in parts))
        for key, parts in by_key.items()
    ]
    return ServiceDemand(
        pool=pool,
        completed=sum(each.completed for each in found),
        in_flight=sum(each.in_flight for each in found),
        slots=max((each.slots for each in found), default=0),
        objective_seconds=min(objectives, default=0.0),
        keys=bounded_keys(summed),
        daemons=sum(each.daemons for each in found),
        members=sum(each.members for each in found),
        rejected=sum(each.rejected for each in found),
    )


def bounded_keys(keys: Iterable[KeyDemand]) -> tuple[KeyDemand, ...]:
    """Return at most :data:`MAX_KEYS`; the least asked ones are merged by their priority."""
    ranked = sorted(keys, key=lambda each: (-each.asked, each.key))
    if len(ranked) <= MAX_KEYS:
        return tuple(ranked)
    kept, rest = ranked[: MAX_KEYS // 2], ranked[MAX_KEYS // 2 :]
    merged: dict[DemandKey, list[KeyDemand]] = {each.key: [each] for each in kept}
    for each in rest:
        merged.setdefault(DemandKey(each.key.priority), []).append(each)
    summed = (
        _add_key_demands(key, parts, sum(each.tenants for each in parts))
        for key, parts in merged.items()
    )
    return tuple(summed)[:MAX_KEYS]


def _add_key_demands(key: DemandKey, parts: list[KeyDemand], tenants: int) -> KeyDemand:
    asked = sum(each.asked for each in parts)
    admitted = sum(each.admitted for each in parts)
    levels = sum(each.level * each.asked for each in parts)
    level = min(1.0, levels / asked) if asked > 0.0 else 1.0
    return KeyDemand(key, asked, admitted, level, tenants)
