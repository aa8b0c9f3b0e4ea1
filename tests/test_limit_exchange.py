"""Tests the rate of calls between daemons about limits that change frequently."""

import asyncio
import random
from typing import Any

from kitekeel_peers.limit_exchange import LimitExchange, LimitReply
from kitekeel_peers.member_table import MemberTable
from kitekeel_peers.messages import MemberRecord
from kitekeel_steering.back_end_limits import BackEndLimits, LimitRecord
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.events import HybridClock

ANSWER_COUNT = 100
DURATION_SECONDS = 2.0
MAX_CALLS_PER_SECOND = 4.0


class CountingClient:
    def __init__(self) -> None:
        self.news: list[Any] = []

    def call(self, _address: str, _method: str, news: Any, *_rest: object) -> Any:
        if news.records:
            self.news.append(news)
        return LimitReply()


def member(name: str) -> MemberRecord:
    return MemberRecord(name, "north", "n1", 1, f"{name}:1", "", "")


def test_limit_that_changes_with_each_answer_is_told_at_once_then_in_batches() -> None:
    """Guards against one call per answer when a back end's limit changes or flaps."""

    async def scenario() -> CountingClient:
        client = CountingClient()
        clock = SystemClock()
        table = MemberTable(member("d0"), clock, lambda _: None)
        table.merge([member("d1")])
        limits = BackEndLimits(
            HybridClock(clock),
            lambda _name, _start: True,
            lambda record, _previous, _source: exchange.publish(record),
        )
        loop = asyncio.get_running_loop()
        exchange = LimitExchange(
            limits,
            client,  # type: ignore[arg-type]
            table,
            loop,
            random.Random(1),
            lambda _address, _reason: None,
        )
        for number in range(ANSWER_COUNT):
            limits.note_answer("b", 1, None if number % 2 else 3.0)
            await asyncio.sleep(DURATION_SECONDS / ANSWER_COUNT)
            if number == 4:
                assert client.news
        await asyncio.sleep(0.5)
        exchange.close()
        last: LimitRecord = client.news[-1].records[0]
        assert last.rate is None
        return client

    client = asyncio.new_event_loop().run_until_complete(scenario())
    assert len(client.news) <= DURATION_SECONDS * MAX_CALLS_PER_SECOND + 1
