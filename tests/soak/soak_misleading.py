"""Answers of a soak's back ends that mislead: late copies of rejections, and contradictions."""

import asyncio
import random
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from kitekeel_adapter.adapter import HEADER_NAMES
from kitekeel_callers.http_connection import CallerConnection, Handler, ServerState
from kitekeel_daemon.request_outcomes import own_answer
from kitekeel_steering.proxied_messages import ProxiedAnswer

_REJECTION_START = b"HTTP/1.1 503 "
_EARLIEST_COPY_SECONDS = 0.002
_LATEST_COPY_SECONDS = 0.06
# A back end that has run a request fails it with one of these, or answers it.
_STATUSES_OF_RUN = (HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR, HTTPStatus.GATEWAY_TIMEOUT)
_NOT_RUN = (HEADER_NAMES.not_run, b"1")


class MisleadingAnswers(msgspec.Struct):
    """How a back end misleads at present; shares are from 0 to 1.

    Attributes:
        rejected: share of the requests that it rejects although it has a free slot.
        copied: share of its rejections that come once more, later.
        contradicted: share of the requests that it runs and answers as not run.
        copies, contradictions: how many of these it has sent.
    """

    rejected: float = 0.0
    copied: float = 0.0
    contradicted: float = 0.0
    copies: int = 0
    contradictions: int = 0

    def contradict(self, answer: ProxiedAnswer, generator: random.Random) -> ProxiedAnswer:
        """Return the answer to a request that has run, perhaps one that says it has not."""
        if generator.random() >= self.contradicted:
            return answer
        self.contradictions += 1
        status = generator.choice(_STATUSES_OF_RUN)
        return own_answer(status, (*answer.headers, _NOT_RUN), answer.body.start)


class CopyingConnection(CallerConnection):
    """A connection of a back end, on which some rejections come twice.

    Args:
        draw_copy: decides for each rejection whether it is sent again.
    """

    def __init__(
        self,
        handler: Handler,
        server: ServerState,
        draw_copy: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        super().__init__(handler, server)
        self._draw_copy = draw_copy
        self._random = generator

    async def write(self, data: bytes) -> None:
        await super().write(data)
        if data.startswith(_REJECTION_START) and self._draw_copy():
            seconds = self._random.uniform(_EARLIEST_COPY_SECONDS, _LATEST_COPY_SECONDS)
            asyncio.get_running_loop().call_later(seconds, self._write_copy, data)

    def _write_copy(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
