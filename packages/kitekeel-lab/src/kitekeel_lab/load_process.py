"""An open-loop load process: seeded arrivals, latency counted from the intended start."""

from __future__ import annotations

import heapq
import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from kitekeel_lab.caller import Caller, Result
from kitekeel_lab.load_messages import LoadOrder, LoadRecord, LoadStream

_MAX_WORK_FACTOR = 4.0
_MAX_RETURNS = 30


class _Arrival(msgspec.Struct, frozen=True, order=True):
    """One request to be sent, at a time counted from the start."""

    at: float
    number: int
    stream: int
    work_seconds: float


def run_load(order: LoadOrder) -> list[LoadRecord]:
    """Send the requests of an order and return what became of each."""
    callers = {
        stream.zone: Caller(stream.zone, list(order.known), f"{stream.zone}-{order.seed}")
        for stream in order.streams
    }
    records: list[LoadRecord] = []
    lock = threading.Lock()

    def send(arrival: _Arrival, intended: float) -> None:
        stream = order.streams[arrival.stream]
        late = max(0.0, time.time() - intended)
        request = msgspec.structs.replace(stream.request, work_seconds=arrival.work_seconds)
        request_id = f"{stream.name}-{stream.zone}-{order.seed}-{arrival.number}".replace("/", "-")
        caller = callers[stream.zone]
        outcome = caller.send(request, request_id, order.repeats)
        for _ in range(_MAX_RETURNS if stream.comes_back else 0):
            if outcome.result is not Result.NOT_RUN:
                break
            time.sleep(outcome.retry_after_seconds or 1.0)
            outcome = caller.send(request, request_id, order.repeats)
        record = LoadRecord(
            stream.name,
            request_id,
            intended,
            time.time() - intended,
            late,
            outcome.result,
            outcome.status,
            outcome.code,
            outcome.retry_after_seconds,
            outcome.entry,
        )
        with lock:
            records.append(record)

    with ThreadPoolExecutor(order.threads) as workers:
        for arrival in arrivals(order):
            intended = order.start_at + arrival.at
            time.sleep(max(0.0, intended - time.time()))
            workers.submit(send, arrival, intended)
    return records


def arrivals(order: LoadOrder) -> Iterator[_Arrival]:
    """Yield the arrivals of all streams in the order of time; equal seeds give equal arrivals."""
    return heapq.merge(
        *(_stream_arrivals(index, each, order) for index, each in enumerate(order.streams))
    )


def run_load_file(order_file: Path, result_file: Path) -> int:
    """Run the order in a file and write the records to another."""
    order = msgspec.msgpack.decode(order_file.read_bytes(), type=LoadOrder)
    result_file.write_bytes(msgspec.msgpack.encode(run_load(order)))
    return 0


def _stream_arrivals(index: int, stream: LoadStream, order: LoadOrder) -> Iterator[_Arrival]:
    drawn = random.Random(f"{order.seed} {stream.name} {stream.zone}")
    at = 0.0
    number = 0
    if stream.per_second <= 0:
        return
    while True:
        at += drawn.expovariate(stream.per_second)
        if at >= order.seconds:
            return
        mean = stream.request.work_seconds
        work = mean
        if stream.exponential_work:
            work = min(drawn.expovariate(1 / mean), _MAX_WORK_FACTOR * mean)
        yield _Arrival(at, number, index, work)
        number += 1
