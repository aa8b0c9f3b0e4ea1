"""A budget that keeps retries to a share of the requests, so that they cannot feed an outage."""

from __future__ import annotations

import threading


class RetryBudget:
    """Earns a part of a retry with each request and spends a whole one with each retry.

    Args:
        ratio: retries allowed for each request; 0.1 keeps the load at 1.1 times the offered.
        reserve: most unspent retries that are kept.
    """

    def __init__(self, ratio: float = 0.1, reserve: float = 10.0) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._balance = 0.0
        self._lock = threading.Lock()

    def note_request(self) -> None:
        """Earn the share of one request."""
        with self._lock:
            self._balance = min(self._reserve, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; tell whether there was one."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
