"""Selects the daemons that a caller is told to use, by their capacities and load.

Load: 2 large machines beside 20 small ones. A caller chooses at random among the addresses of its
list, so daemons are listed as often as their capacity says: the largest for every caller, one of a
seventh of its capacity for every seventh caller. Each place in a list is drawn on its own (Poisson
sampling; Hajek 1964), by a hash of the caller and the daemon. A caller therefore gets the same list
from every daemon while the members stay, and a member that joins or leaves changes only its own
place in it. Callers close their connections to daemons that are no longer listed.

Lists differ in length, and a daemon in a short list is chosen more often. This favours the large
ones by up to a tenth while a list has five entries, and less in longer ones.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from kitekeel_steering.load_level import LoadLevel
from kitekeel_steering.machine_capacity import MAX_CAPACITY
from kitekeel_steering.rendezvous import weight as hash_weight

# With fewer addresses, callers depend on too few machines until they ask again.
MIN_ENTRIES = 3
MAX_ENTRIES = 64
_HASH_RANGE = float(1 << 64)
# How much of its capacity a daemon is listed with.
_LOAD_FACTORS = {LoadLevel.NORMAL: 1.0, LoadLevel.BUSY: 0.5, LoadLevel.OVERLOADED: 0.25}
# Overloaded daemons stay listed if the others hold less of the capacity than this: their callers
# would overload the others as well.
_MIN_REMAINING_SHARE = 0.5


class EntryCandidate(msgspec.Struct, frozen=True):
    """A serving daemon that callers may be told to use.

    Attributes:
        address: its caller address.
        capacity: requests per second that it bears; 0 if it states none.
        load_level: how loaded it reports to be.
    """

    address: str
    capacity: int = 0
    load_level: LoadLevel = LoadLevel.NORMAL


def select_entries(candidates: Iterable[EntryCandidate], caller: str) -> list[str]:
    """Return the sorted addresses for a caller, at most :data:`MAX_ENTRIES`.

    All addresses are returned if the daemons are alike or the caller is unknown.

    Args:
        candidates: the serving daemons of the caller's zone or region.
        caller: identifies the caller, such as its IP address; empty if it is unknown.
    """
    group = list(candidates)
    weights = _without_overloaded(group, _weights(group))
    addresses = sorted(weights)
    if not caller or _are_alike(group, weights):
        return addresses[:MAX_ENTRIES]
    ranks = _ranks(weights, caller)
    ranked = sorted(addresses, key=lambda address: (ranks[address], address))
    drawn = sum(rank < 1.0 for rank in ranks.values())
    return sorted(ranked[: max(MIN_ENTRIES, min(drawn, MAX_ENTRIES))])


def _weights(group: list[EntryCandidate]) -> dict[str, float]:
    """Return the weight of each address; daemons without a capacity count as the mean."""
    stated = [_capacity(each) for each in group if _capacity(each) > 0]
    mean = sum(stated) / len(stated) if stated else 1.0
    weights: dict[str, float] = {}
    for each in group:
        weight = (_capacity(each) or mean) * _LOAD_FACTORS[each.load_level]
        weights[each.address] = max(weight, weights.get(each.address, 0.0))
    return weights


def _capacity(candidate: EntryCandidate) -> int:
    return max(0, min(candidate.capacity, MAX_CAPACITY))


def _without_overloaded(group: list[EntryCandidate], weights: dict[str, float]) -> dict[str, float]:
    """Leave out overloaded daemons if enough others remain."""
    others = {each.address for each in group if each.load_level is not LoadLevel.OVERLOADED}
    if not MIN_ENTRIES <= len(others) < len(weights):
        return weights
    by_capacity = _weights([EntryCandidate(each.address, each.capacity) for each in group])
    remaining = sum(by_capacity[address] for address in others)
    if remaining < _MIN_REMAINING_SHARE * sum(by_capacity.values()):
        return weights
    return {address: weights[address] for address in others}


def _are_alike(group: list[EntryCandidate], weights: dict[str, float]) -> bool:
    """Return whether every caller is told the same addresses."""
    if len(set(weights.values())) > 1:
        return False
    is_stated = any(each.capacity > 0 for each in group)
    return len(weights) <= MAX_ENTRIES or not is_stated


def _ranks(weights: dict[str, float], caller: str) -> dict[str, float]:
    """Return a rank for each address, below 1 with the probability that the list includes it."""
    scale = min(1.0 / max(weights.values()), MAX_ENTRIES / sum(weights.values()))
    return {
        address: hash_weight(caller, address) / _HASH_RANGE / (weight * scale)
        for address, weight in weights.items()
    }
