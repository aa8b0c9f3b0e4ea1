"""Keeps what one daemon has in flight close to its part of what a pool of back ends may hold.

Load: a pool of few slots, for which the random number of requests that a level admits in a half
second exceeds what its queues can take, and figures of other daemons that are up to a second old.
A daemon knows its own requests in flight without delay: the level is raised while there are fewer
than the daemon's part, and lowered while there are more.
"""

from __future__ import annotations

import math

# Change of the level by one request. A larger one admits all tenants alike or none.
_FACTOR_PER_REQUEST = 8.0
# Appointments are given for less than this part of the level, and hold whatever is in flight.
LOWEST_CORRECTION = 0.25
# Weight of a new part in its average; the requests of one daemon in a second may be few.
_PART_WEIGHT = 0.25


class AdmissionWindow:
    """The requests that one daemon may have in flight at a pool.

    Attributes:
        limit: requests that may be in flight; a fraction in a large fleet.
    """

    def __init__(self) -> None:
        self.limit = 0.0
        self._part: float | None = None

    def update(self, pool_limit: float, own_part: float) -> None:
        """Derive the limit from current figures.

        Args:
            pool_limit: requests of all daemons that may be in flight at the pool.
            own_part: share of the pool's requests that arrive at this daemon, from 0 to 1.
        """
        if self._part is None:
            self._part = own_part
        self._part += _PART_WEIGHT * (own_part - self._part)
        self.limit = pool_limit * self._part

    def correction(self, in_flight: int) -> float:
        """Return by what factor the admission level is corrected, from 0.25 to 8.

        Args:
            in_flight: requests of this daemon that have no answer yet.
        """
        free = min(1.0, self.limit - in_flight)
        return max(LOWEST_CORRECTION, math.pow(_FACTOR_PER_REQUEST, free))
