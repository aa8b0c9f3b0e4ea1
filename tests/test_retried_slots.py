"""A retried request keeps its order of arrival in the queue of its service.

Guards against refusing it for a full queue after its grant ended or its connection timed out.
"""

import time
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
from test_late_slots import CLASS, DEADLINE, one_slot

from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import ManualClock
from kitekeel_steering.errors import QueueFullError
from kitekeel_steering.grant_table import SlotHold

MAX_SECONDS = 5.0
# Leaves one waiting place for each class.
MIN_QUEUE_SHARE = 1e-9


class SingleSlotQueue:
    """Threads that wait for the only slot of an admission with one waiting place per class."""

    def __init__(self) -> None:
        self.admission: ServiceAdmission = one_slot(ManualClock())
        configuration = self.admission._configuration
        self.admission.configure(configuration, MIN_QUEUE_SHARE)
        self._threads = ThreadPoolExecutor(4)

    def submit(self, again: SlotHold | None = None) -> Future[SlotHold]:
        """Request the slot in a thread, and return once the request is queued or done."""
        before = self.length()
        acquired = self._threads.submit(self.admission.acquire, CLASS, DEADLINE, frozenset(), again)
        deadline = time.monotonic() + MAX_SECONDS
        while self.length() == before and not acquired.done() and time.monotonic() < deadline:
            time.sleep(0.001)
        return acquired

    def length(self) -> int:
        return self.admission.waiting().get(CLASS, 0)


def retry_behind_a_full_queue(
    queue: SingleSlotQueue,
) -> tuple[SlotHold, Future[SlotHold], Future[SlotHold]]:
    """Return the slot in use, a request in the only waiting place, and a retry behind it."""
    first = queue.admission.acquire(CLASS, DEADLINE)
    second = queue.submit()
    queue.admission.release(first)
    second_hold = second.result(MAX_SECONDS)
    third = queue.submit()
    return second_hold, third, queue.submit(again=first)


def test_a_retry_is_not_refused_for_a_full_queue_and_is_served_before_later_requests() -> None:
    queue = SingleSlotQueue()
    second_hold, third, retry = retry_behind_a_full_queue(queue)
    queue.admission.release(second_hold)
    retried_hold = retry.result(MAX_SECONDS)
    assert not third.done()
    queue.admission.release(retried_hold)
    third.result(MAX_SECONDS)


def test_a_new_request_is_refused_at_once_while_a_retry_exceeds_the_waiting_places() -> None:
    queue = SingleSlotQueue()
    second_hold, third, retry = retry_behind_a_full_queue(queue)
    with pytest.raises(QueueFullError):
        queue.admission.acquire(CLASS, DEADLINE)
    for each in (second_hold, retry, third):
        hold = each.result(MAX_SECONDS) if isinstance(each, Future) else each
        queue.admission.release(hold)
