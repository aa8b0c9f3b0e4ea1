"""The requests of one connection that run at the same time, in the order of their answers.

Load: callers send up to eight repeatable requests on a connection before the first is answered.
Each of them runs in a task of its own; the tasks take turns at writing their answers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine

import h11

from kitekeel_callers.memory_budget import HeldBytes
from kitekeel_steering.proxied_messages import ProxiedAnswer, ProxiedRequest

MAX_RUNNING_REQUESTS = 8

Handler = Callable[[ProxiedRequest], Awaitable[ProxiedAnswer]]


class PipelinedRequest:
    """A request whose answer has not been written yet.

    Args:
        handler: answers the request.
        parser: the parser that read the request; it serializes the answer.
        held: the memory held for it.

    Attributes:
        may_run_ahead: whether it may run beside other requests; ``None`` if not determined yet.
        is_cancelled: whether it was cancelled, as its answer cannot be sent any more.
    """

    def __init__(
        self, request: ProxiedRequest, handler: Handler, parser: h11.Connection, held: HeldBytes
    ) -> None:
        self.request = request
        self.handler = handler
        self.parser = parser
        self._held = held
        self.may_run_ahead: bool | None = None
        self.is_cancelled = False
        self.task: asyncio.Task[None] | None = None
        self.turn = asyncio.Event()
        self._unsent_answer: ProxiedAnswer | None = None

    def keep_answer(self, answer: ProxiedAnswer) -> None:
        """Keep an answer until its turn."""
        self._held.add(len(answer.body.start))
        self._unsent_answer = answer

    def take_answer(self) -> ProxiedAnswer:
        """Return the answer, which is now being written."""
        answer, self._unsent_answer = self._unsent_answer, None
        assert answer is not None
        self._held.remove(len(answer.body.start))
        return answer

    def release(self) -> None:
        """Release what is held for the request, and for an answer that will not be sent."""
        self._held.release()
        answer, self._unsent_answer = self._unsent_answer, None
        if answer is not None and answer.body.on_unread is not None:
            answer.body.on_unread()

    def cancel(self) -> None:
        """Cancel the task of the request, unless it is the one that calls this."""
        self.is_cancelled = True
        if self.task is not None and self.task is not asyncio.current_task():
            self.task.cancel()

    def raise_if_cancelled(self) -> None:
        """End the task of a cancelled request whose handler has failed or answered nevertheless.

        Raises:
            asyncio.CancelledError: the request was cancelled.
        """
        if self.is_cancelled:
            raise asyncio.CancelledError


class PipelinedRequests:
    """The running requests of one connection; used on one event loop.

    Attributes:
        is_closed: whether an answer closes the connection, so that no request may follow.
    """

    def __init__(self) -> None:
        self._running: list[PipelinedRequest] = []
        self._changed = asyncio.Event()
        self.is_closed = False

    def running(self) -> tuple[PipelinedRequest, ...]:
        """Return the running requests in the order of their answers."""
        return tuple(self._running)

    def is_empty(self) -> bool:
        """Return whether all answers have been written."""
        return not self._running

    def is_last(self, request: PipelinedRequest) -> bool:
        """Return whether no other request runs behind this one."""
        return self._running[-1] is request

    def has_open_end(self) -> bool:
        """Return whether an answer has been written in part whose end is that of its connection.

        Callers of HTTP/1.0 take it as complete unless the connection is reset.
        """
        if not self._running:
            return False
        parser = self._running[0].parser
        return parser.our_state is h11.SEND_BODY and parser.their_http_version == b"1.0"

    def start(self, request: PipelinedRequest, work: Coroutine[None, None, None]) -> None:
        """Run a request behind the others; ``work`` waits for its turn before it writes."""
        self._running.append(request)
        if len(self._running) == 1:
            request.turn.set()
        request.task = asyncio.get_running_loop().create_task(work)
        request.task.add_done_callback(lambda _: request.release())

    def remove(self, request: PipelinedRequest) -> None:
        """Remove a request whose answer has been written; the next one has its turn."""
        self._running.remove(request)
        if self._running:
            self._running[0].turn.set()
        self._changed.set()

    def cancel_behind(self, request: PipelinedRequest) -> int:
        """Cancel all requests behind one whose answer is the last; return their number."""
        self.is_closed = True
        place = self._running.index(request) + 1
        cancelled = self._running[place:]
        del self._running[place:]
        for each in cancelled:
            each.cancel()
        return len(cancelled)

    def cancel_all(self) -> None:
        """Cancel all requests, because the connection is closed."""
        self.is_closed = True
        cancelled, self._running = self._running, []
        for each in cancelled:
            each.cancel()
        self._changed.set()

    async def wait_for_room(self) -> None:
        """Wait until fewer than the maximum number of requests run."""
        while len(self._running) >= MAX_RUNNING_REQUESTS:
            await self._wait_for_change()

    async def wait_until_empty(self) -> None:
        """Wait until all answers have been written."""
        while self._running:
            await self._wait_for_change()

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()
