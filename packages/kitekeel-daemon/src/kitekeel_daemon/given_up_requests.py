"""Frees the slots of requests that were given up, once their back ends are done with them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from kitekeel_backends.forwarding import Forwarder
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.metrics import Metrics

# By how much a back end may run past a deadline: it counts from arrival, the daemon from sending.
_OVERRUN_SECONDS = 0.25
# Questions to give up that are on their way at once; each takes half a second at most.
_MOST_QUESTIONS = 8


class GivenUpRequests:
    """Follows requests whose outcome is unknown, without anybody waiting for it.

    Asking a back end to give a request up takes up to 0.5 s where it is slow, as it is when
    requests have to be given up; the caller, whose deadline has passed, is told meanwhile.

    Args:
        forwarder: asks back ends.
        metrics: counts how many gave a request up, and how many did not answer that.
    """

    def __init__(self, forwarder: Forwarder, metrics: Metrics) -> None:
        self._forwarder = forwarder
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_MOST_QUESTIONS, thread_name_prefix="give-up")

    def free_at_deadline(self, deadline: float, free: Callable[[], None]) -> None:
        """Free a slot when the back end's time is over.

        Args:
            deadline: monotonic time that the back end was given.
            free: gives the slot back.
        """
        remaining = max(0.0, deadline - steady_seconds()) + _OVERRUN_SECONDS
        timer = threading.Timer(remaining, free)
        timer.daemon = True
        timer.start()

    def cancel(
        self, address: str, request_id: str, deadline: float, free: Callable[[], None]
    ) -> None:
        """Ask a back end to give a request up, and free its slot as soon as it has.

        Args:
            address: ``IP:port`` of the back end.
            request_id: of a request that may be repeated.
            deadline: monotonic time that the back end was given.
            free: gives the slot back.
        """
        self._workers.submit(self._cancel, address, request_id, deadline, free)

    def _cancel(
        self, address: str, request_id: str, deadline: float, free: Callable[[], None]
    ) -> None:
        if steady_seconds() > deadline + _OVERRUN_SECONDS:
            free()
        elif self._forwarder.cancel(address, request_id):
            self._metrics.increment("requests.cancelled")
            free()
        else:
            self._metrics.increment("requests.cancel_failed")
            self.free_at_deadline(deadline, free)
