"""Replicates the rate limits that back ends advertise to all daemons."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.record_exchange import RecordExchange, RecordNews, RecordReply
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.back_end_limits import BackEndLimits, LimitRecord

LIMITS = "Limits"
# Limits the call rate when a back end advertises a different limit in every answer.
_BATCH_SECONDS = 0.3
LimitNews = RecordNews[LimitRecord]
LimitReply = RecordReply[LimitRecord]


class LimitExchange(RecordExchange[LimitRecord]):
    """Replicates the rate limits known to one daemon; see :class:`RecordExchange`."""

    def __init__(
        self,
        limits: BackEndLimits,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        super().__init__(
            LIMITS,
            LimitNews,
            LimitReply,
            limits,
            client,
            table,
            loop,
            generator,
            on_failure,
            _BATCH_SECONDS,
        )
