"""Cancels the exchanges with a back end's process once that process is known to be gone.

A connection to a machine that lost power does not break by itself, so the caller would wait until
its deadline for an answer that cannot come. Whether the request has run is unknown.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable
from typing import TypeVar

from kitekeel_steering.errors import OutcomeUnknownError
from kitekeel_steering.fleet_items import BackEndRecord
from kitekeel_steering.fleet_view import ViewChange

Answer = TypeVar("Answer")


class BackEndRestartedError(OutcomeUnknownError):
    """The back end has restarted, so its previous process will not answer."""

    code = "back-end-restarted"


class RunningExchanges:
    """The exchanges in progress, by back end; used on one event loop."""

    def __init__(self) -> None:
        self._scopes: defaultdict[str, set[asyncio.Timeout]] = defaultdict(set)

    async def run(self, record: BackEndRecord, exchange: Awaitable[Answer]) -> Answer:
        """Return the result of an exchange.

        Raises:
            BackEndRestartedError: the back end restarted during the exchange.
        """
        scope = asyncio.timeout(None)
        scopes = self._scopes[record.instance]
        scopes.add(scope)
        try:
            async with scope:
                return await exchange
        except TimeoutError as error:
            if not scope.expired():
                raise
            raise BackEndRestartedError(f"{record.instance} has restarted") from error
        finally:
            scopes.discard(scope)
            if not scopes and self._scopes.get(record.instance) is scopes:
                del self._scopes[record.instance]

    def on_change(self, change: ViewChange) -> None:
        """Cancel the exchanges with a back end that has restarted."""
        if not change.is_restart:
            return
        now = asyncio.get_running_loop().time()
        for scope in self._scopes.pop(change.item.name, ()):
            scope.reschedule(now)
