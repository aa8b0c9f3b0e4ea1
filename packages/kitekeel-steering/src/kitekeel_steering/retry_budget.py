"""A budget that limits retries to a share of the requests, to prevent retry storms."""

from __future__ import annotations

import threading


class RetryBudget:
    """A token bucket: each request adds a fraction of a token, and each retry takes a whole one.

    Args:
        ratio: retries allowed per request; 0.1 limits the load to 1.1 times the offered load.
        reserve: maximum number of unspent retries.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = 0.0
        self._lock = threading.Lock()

    def note_request(self) -> None:
        """Add the share of one request to the budget."""
        with self._lock:
            self._balance = min(self._reserve, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
