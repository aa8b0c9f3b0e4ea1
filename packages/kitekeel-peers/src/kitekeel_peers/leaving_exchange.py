"""Replicates to all daemons which back ends have announced that they are about to stop."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.record_exchange import RecordExchange, RecordNews, RecordReply
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.leaving_back_ends import LeavingBackEnds, LeavingRecord

LEAVING = "Leaving"
LeavingNews = RecordNews[LeavingRecord]
LeavingReply = RecordReply[LeavingRecord]


class LeavingExchange(RecordExchange[LeavingRecord]):
    """Replicates the announcements known to one daemon; see :class:`RecordExchange`."""

    def __init__(
        self,
        leaving: LeavingBackEnds,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        super().__init__(
            LEAVING, LeavingNews, LeavingReply, leaving, client, table, loop, generator, on_failure
        )
