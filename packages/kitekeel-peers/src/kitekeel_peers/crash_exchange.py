"""Replicates records of back ends that ended during a request to all daemons."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.record_exchange import RecordExchange, RecordNews, RecordReply
from kitekeel_peers.rpc import PeerClient
from kitekeel_steering.crash_ledger import CrashLedger
from kitekeel_steering.crash_records import CrashRecord

CRASHES = "Crashes"
CrashNews = RecordNews[CrashRecord]
CrashReply = RecordReply[CrashRecord]


class CrashExchange(RecordExchange[CrashRecord]):
    """Replicates one daemon's crash ledger; see :class:`RecordExchange`."""

    def __init__(
        self,
        ledger: CrashLedger,
        client: PeerClient,
        table: MemberTable,
        loop: asyncio.AbstractEventLoop,
        generator: random.Random,
        on_failure: Callable[[str, str], None],
    ) -> None:
        super().__init__(
            CRASHES, CrashNews, CrashReply, ledger, client, table, loop, generator, on_failure
        )
