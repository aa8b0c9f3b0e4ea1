"""Averages the figures of a pool, over a longer time the fewer requests they count.

Load: 2 to 80 tenants of which some ask less than once a second, and work of up to 2 s. The count of
few requests in a second is mostly chance: a tenant would seem to ask for nothing in one second, and
for several times its share in the next. Counts of many requests are used as they are.
"""

from __future__ import annotations

import math

import msgspec

from kitekeel_steering.service_demand import DemandKey, KeyDemand, ServiceDemand

# Counts of so many requests and answers are averaged with the previous average by equal weights.
# Answers more slowly, as they follow from what was admitted before.
_EQUAL_WEIGHT_REQUESTS = 4.0
_EQUAL_WEIGHT_ANSWERS = 12.0
# Standard deviations of a count within which it is taken for chance.
_CHANCE_DEVIATIONS = 3.0
# Rates below it are forgotten, per second.
_MIN_RATE = 0.02


class SmoothedDemand:
    """The averages of one pool, updated with each new sum of the last second."""

    def __init__(self) -> None:
        self._completed: float | None = None
        self._keys: dict[DemandKey, KeyDemand] = {}

    def update(self, demand: ServiceDemand) -> ServiceDemand:
        """Return the figures with averaged rates of completed requests and of each key."""
        self._completed = _average(self._completed, demand.completed)
        current = {each.key: each for each in demand.keys}
        updated: dict[DemandKey, KeyDemand] = {}
        for key in self._keys.keys() | current.keys():
            found = _average_key(self._keys.get(key), current.get(key) or KeyDemand(key, 0.0, 0.0))
            if found.asked >= _MIN_RATE:
                updated[key] = found
        self._keys = updated
        keys = tuple(sorted(updated.values(), key=lambda each: (-each.asked, each.key)))
        return msgspec.structs.replace(demand, completed=self._completed, keys=keys)


def _average(previous: float | None, rate: float) -> float:
    if previous is None:
        return rate
    return previous + _weight(previous, rate, _EQUAL_WEIGHT_ANSWERS) * (rate - previous)


def _average_key(previous: KeyDemand | None, current: KeyDemand) -> KeyDemand:
    if previous is None:
        return current
    weight = _weight(previous.asked, current.asked, _EQUAL_WEIGHT_REQUESTS)
    asked = previous.asked + weight * (current.asked - previous.asked)
    admitted = previous.admitted + weight * (current.admitted - previous.admitted)
    levels_sum = (1.0 - weight) * previous.asked * previous.level
    levels_sum += weight * current.asked * current.level
    level = min(1.0, levels_sum / asked) if asked > 0.0 else 1.0
    tenants = current.tenants if current.asked > 0.0 else previous.tenants
    return KeyDemand(current.key, asked, admitted, level, tenants)


def _weight(previous: float, rate: float, equal_weight_count: float) -> float:
    """Return the weight of a new rate, from 0 to 1.

    It is large after a second of many requests, and for a rise that is more than chance.
    """
    is_chance = rate - previous < _CHANCE_DEVIATIONS * math.sqrt(previous + 1.0)
    count = previous if is_chance else rate
    return (count + 0.5) / (count + 0.5 + equal_weight_count)
