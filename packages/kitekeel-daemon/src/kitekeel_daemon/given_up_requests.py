"""Releases the slots of abandoned requests once their back ends have stopped working on them."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from kitekeel_backends.forwarding import Forwarder
from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.metrics import Metrics

# How long a back end may run past the deadline: it counts the time from arrival of the request, the
# daemon from sending it.
_OVERRUN_SECONDS = 0.25
# Cancel calls to back ends that run at the same time; each takes half a second at most.
_MAX_CONCURRENT_CANCELS = 8


class GivenUpRequests:
    """Cancels requests with unknown outcome in the background, and releases their slots.

    A cancel call takes up to 0.5 s at a slow back end, and back ends tend to be slow when requests
    are abandoned. The caller, whose deadline has passed, is therefore answered without waiting.

    Args:
        forwarder: sends the cancel calls.
        metrics: counts successful and failed cancel calls.
    """

    def __init__(self, forwarder: Forwarder, metrics: Metrics) -> None:
        self._forwarder = forwarder
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(_MAX_CONCURRENT_CANCELS, thread_name_prefix="give-up")

    def release_at_deadline(self, deadline: float, release_slot: Callable[[], None]) -> None:
        """Release a slot after the deadline of the back end.

        Args:
            deadline: monotonic deadline sent to the back end.
            release_slot: releases the slot.
        """
        remaining = max(0.0, deadline - steady_seconds()) + _OVERRUN_SECONDS
        timer = threading.Timer(remaining, release_slot)
        timer.daemon = True
        timer.start()

    def cancel(
        self, address: str, request_id: str, deadline: float, release_slot: Callable[[], None]
    ) -> None:
        """Ask a back end to cancel a request, and release its slot as soon as it has.

        Args:
            address: ``IP:port`` of the back end.
            request_id: id of a repeatable request.
            deadline: monotonic deadline sent to the back end.
            release_slot: releases the slot.
        """
        self._workers.submit(self._cancel, address, request_id, deadline, release_slot)

    def _cancel(
        self, address: str, request_id: str, deadline: float, release_slot: Callable[[], None]
    ) -> None:
        if steady_seconds() > deadline + _OVERRUN_SECONDS:
            release_slot()
        elif self._forwarder.cancel(address, request_id):
            self._metrics.increment("requests.cancelled")
            release_slot()
        else:
            self._metrics.increment("requests.cancel_failed")
            self.release_at_deadline(deadline, release_slot)
