"""Steps about planned stops, drains and freezes under load."""

import time
from collections import Counter

from behave import then, when
from behave.runner import Context

from kitekeel_lab.caller import Result
from kitekeel_lab.load_messages import LoadRecord
from kitekeel_lab.load_run import LoadRun
from kitekeel_lab.platform_server import PlatformFaults
from kitekeel_lab.proofs import find_breaches
from kitekeel_lab.workloads import CATALOGUE, make_streams
from kitekeel_steering.model import DrainScope

LOAD = 0.35
MEAN_WORK_SECONDS = 0.25
ROLLING_SECONDS_EACH = 9.0
WORK_TIMEOUT_SECONDS = 8.0


def start_load(context: Context, seconds: float) -> LoadRun:
    configuration = context.deployment.configuration
    context.streams = make_streams(configuration, CATALOGUE, LOAD, MEAN_WORK_SECONDS)
    return LoadRun(context.cluster, context.streams, seconds, seed=3, threads=200)


def drained_names(context: Context, scope: str, name: str) -> set[str]:
    back_ends = context.deployment.configuration.back_ends
    kind = DrainScope(scope)
    if kind is DrainScope.BACK_END:
        return {name}
    if kind is DrainScope.ZONE:
        return {each.name for each in back_ends if each.zone == name}
    return {each.name for each in back_ends if each.region == name}


def wait_for_work(context: Context) -> None:
    """Wait until what is about to be drained has work; the load's start depends on the machine."""
    deadline = time.monotonic() + WORK_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        records = context.cluster.records()
        if any(records[name].runs for name in context.drained):
            return
        time.sleep(0.1)
    raise AssertionError("the place to be drained got no work")


def summarized(records: list[LoadRecord]) -> list[str]:
    """Count requests by stream, entry, code and the second in which they were sent."""
    kinds = Counter((each.stream, each.entry, each.code, int(each.started_at)) for each in records)
    return [f"{count} x {' '.join(map(str, kind))}" for kind, count in sorted(kinds.items())]


@when("mixed load with uploads runs while every daemon is stopped and started in turn")
def rolling_restart(context: Context) -> None:
    names = [each.name for each in context.deployment.daemons]
    load = start_load(context, ROLLING_SECONDS_EACH * len(names))
    load.wait_for(1.0)
    for name in names:
        context.cluster.stop(name)
        assert context.cluster.wait_stopped(name) == 0, context.cluster.output(name)[-2000:]
        context.cluster.start_daemon(name)
        context.cluster.wait_ready([name])
    context.outcomes = load.collect()


@when('mixed load runs while an operator commands "{text}"')
def load_and_command(context: Context, text: str) -> None:
    load = start_load(context, 10.0)
    load.wait_for(3.0)
    _, scope, name = text.split()
    context.drained = drained_names(context, scope, name)
    wait_for_work(context)
    context.changed_at = time.time()
    context.cluster.command(text)
    context.outcomes = load.collect()


@when("the machine list lags by {seconds:g} seconds")
def list_lags(context: Context, seconds: float) -> None:
    context.cluster.set_platform_faults(PlatformFaults(list_lag_seconds=seconds))


@when('mixed load runs while back end "{name}" is listed as leaving')
def load_and_leave(context: Context, name: str) -> None:
    load = start_load(context, 10.0)
    load.wait_for(3.0)
    back_ends = context.deployment.configuration.back_ends
    address = next(each.address for each in back_ends if each.name == name)
    context.drained = {name}
    wait_for_work(context)
    context.changed_at = time.time()
    context.cluster.set_machines(frozenset({address}))
    context.outcomes = load.collect()


@when('mixed load runs while daemon "{name}" is frozen for {seconds:g} seconds')
def load_and_freeze(context: Context, name: str, seconds: float) -> None:
    load = start_load(context, seconds + 6.0)
    load.wait_for(2.0)
    context.cluster.freeze(name)
    time.sleep(seconds)
    context.cluster.thaw(name)
    context.outcomes = load.collect()


@when("its home is stopped as planned")
def stop_home(context: Context) -> None:
    context.cluster.stop(context.home_name)
    assert context.cluster.wait_stopped(context.home_name) == 0


@then("the drained back ends began no work later than {seconds:g} seconds after the command")
def drained_in_time(context: Context, seconds: float) -> None:
    records = context.cluster.records()
    latest = max(records[name].last_started_at for name in context.drained)
    print(f"last new work {latest - context.changed_at:.2f} s after the change")
    assert latest - context.changed_at <= seconds, latest - context.changed_at
    assert any(records[name].runs for name in context.drained), "the drained place had no work"


@then('back end "{name}" began no work later than {seconds:g} seconds after the list said so')
def left_in_time(context: Context, name: str, seconds: float) -> None:
    drained_in_time(context, seconds)


@then("no request was lost, cut, doubled or misreported")
def no_breach(context: Context) -> None:
    repeatable_streams = {each.name for each in context.streams if each.request.repeatable}
    outcomes: list[LoadRecord] = context.outcomes
    repeatable = frozenset(
        each.request_id for each in outcomes if each.stream in repeatable_streams
    )
    breaches = find_breaches(outcomes, context.cluster.records(), repeatable)
    unknown = [each for each in outcomes if each.result is Result.UNKNOWN]
    print(f"{len(outcomes)} requests, {len(unknown)} unknown")
    named = {each for name in breaches.__struct_fields__ for each in getattr(breaches, name)}
    details = [each for each in outcomes if each.request_id in named]
    assert breaches.count() == 0, (breaches, summarized(details), details[:5])
    assert not unknown, (summarized(unknown), unknown[:5])


@then("at most {percent:g}% of the requests were refused")
def few_refused(context: Context, percent: float) -> None:
    refused = [each for each in context.outcomes if each.result is Result.NOT_RUN]
    print(f"{len(refused)} of {len(context.outcomes)} refused")
    assert len(refused) <= percent / 100 * len(context.outcomes), refused[:5]
