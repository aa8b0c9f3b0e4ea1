"""Cancels exchanges whose answer cannot arrive any more.

A connection to a machine that lost power or is out of reach does not break by itself, so the caller
would wait until its deadline. Whether the request has run is unknown.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable
from typing import TypeVar

import msgspec

from kitekeel_steering.clock import steady_seconds
from kitekeel_steering.errors import OutcomeUnknownError
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import ViewChange

Answer = TypeVar("Answer")


class BackEndRestartedError(OutcomeUnknownError):
    """The back end has restarted, so its previous process will not answer."""

    code = "back-end-restarted"


class LinkLostError(OutcomeUnknownError):
    """The link to the back end was lost before it answered."""

    code = "link-lost"


class _Exchange(msgspec.Struct, eq=False):
    """An exchange in progress."""

    record: BackEndRecord
    scope: asyncio.Timeout
    started_at: float
    is_direct: bool
    repeatable: bool
    error: type[OutcomeUnknownError] = BackEndRestartedError


class RunningExchanges:
    """The exchanges in progress, by back end; used on one event loop."""

    def __init__(self) -> None:
        self._exchanges: defaultdict[str, set[_Exchange]] = defaultdict(set)

    async def run(
        self,
        record: BackEndRecord,
        exchange: Awaitable[Answer],
        is_direct: bool = True,
        repeatable: bool = False,
    ) -> Answer:
        """Return the result of an exchange.

        Args:
            record: the back end.
            exchange: sends the request and returns the answer.
            is_direct: whether the connection does not lead through another daemon.
            repeatable: whether the request may run more than once.

        Raises:
            BackEndRestartedError: the back end restarted during the exchange.
            LinkLostError: the link to the back end was lost during the exchange.
        """
        scope = asyncio.timeout(None)
        running = _Exchange(record, scope, steady_seconds(), is_direct, repeatable)
        others = self._exchanges[record.instance]
        others.add(running)
        try:
            async with scope:
                return await exchange
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise running.error(f"the exchange with {record.instance} was ended") from error
        finally:
            others.discard(running)
            if not others and self._exchanges.get(record.instance) is others:
                del self._exchanges[record.instance]

    def waiting_directly_since(self, started_before: float) -> list[BackEndRecord]:
        """Return the back ends with a direct exchange that began before a monotonic time."""
        return [
            next(iter(exchanges)).record
            for exchanges in self._exchanges.values()
            if any(each.is_direct and each.started_at < started_before for each in exchanges)
        ]

    def end_unanswered(self, service: str | None) -> None:
        """Cancel the direct exchanges of repeatable requests, of one service or of all."""
        for exchanges in self._exchanges.values():
            for each in exchanges:
                is_concerned = service is None or each.record.service == service
                if is_concerned and each.is_direct and each.repeatable:
                    each.error = LinkLostError
                    each.scope.reschedule(asyncio.get_running_loop().time())

    def on_change(self, change: ViewChange) -> None:
        """Cancel the exchanges with a back end that has restarted."""
        if not change.is_restart:
            return
        now = asyncio.get_running_loop().time()
        for each in self._exchanges.pop(change.item.name, ()):
            each.scope.reschedule(now)
