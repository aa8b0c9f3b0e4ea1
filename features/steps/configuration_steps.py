"""Steps about configuration, its spread, and the platform's failures."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when
from behave.runner import Context

from kitekeel_lab.cluster import wait_until
from kitekeel_lab.platform_server import PlatformFaults
from kitekeel_operators.client import OperatorRefusedError
from kitekeel_operators.messages import CommandReply


@when('an operator commands under id "{command_id}": {text}')
def command_with_id(context: Context, command_id: str, text: str) -> None:
    context.reply = context.cluster.command(text, command_id)


@when('an operator tries to command "{text}"')
def try_command(context: Context, text: str) -> None:
    context.refusal = None
    try:
        context.cluster.command(text)
    except OperatorRefusedError as error:
        context.refusal = error


@when("two operators at different daemons command {rounds:d} rounds of conflicting changes at once")
def race(context: Context, rounds: int) -> None:
    first, *_, last = [each.name for each in context.deployment.daemons]
    context.accepted = []
    context.refused = []

    def run(at: str, text: str) -> CommandReply | OperatorRefusedError:
        try:
            return context.cluster.command(text, at=at)
        except OperatorRefusedError as error:
            return error

    with ThreadPoolExecutor(2) as workers:
        for number in range(rounds):
            texts = [
                f"set backend search-1 slots {2 + number}",
                f"set backend search-1 slots {50 + number}",
            ]
            replies = list(workers.map(run, (first, last), texts))
            for text, reply in zip(texts, replies, strict=True):
                accepted = isinstance(reply, CommandReply)
                (context.accepted if accepted else context.refused).append((text, reply))


@when('daemon "{name}" is killed and started again')
def restart_killed(context: Context, name: str) -> None:
    context.cluster.kill(name)
    context.cluster.start_daemon(name)
    context.cluster.wait_ready([name])


@when('daemon "{name}" is frozen')
def freeze(context: Context, name: str) -> None:
    context.cluster.freeze(name)


@when('daemon "{name}" thaws')
def thaw(context: Context, name: str) -> None:
    context.cluster.thaw(name)


@when('region "{region}" is cut from the others and from the platform')
def cut_region(context: Context, region: str) -> None:
    inside = [each.name for each in context.deployment.daemons if each.region == region]
    outside = [each.name for each in context.deployment.daemons if each.region != region]
    context.network.cut(inside, outside)
    context.network.cut_platform(inside)


@when("the platform answers after {delay:d} ms and takes {rate:d} calls a second")
def slow_platform(context: Context, delay: int, rate: int) -> None:
    faults = PlatformFaults(delay_seconds=delay / 1000, calls_per_second=rate)
    context.cluster.set_platform_faults(faults)


@when("the platform's calls are counted for {seconds:d} seconds")
def count_calls(context: Context, seconds: int) -> None:
    before = context.cluster.platform_counts()
    time.sleep(seconds)
    after = context.cluster.platform_counts()
    context.rates = {
        kind: (after.get(kind, 0) - before.get(kind, 0)) / seconds
        for kind in ("reads", "watches", "machines", "writes")
    }


@then(
    "the platform is called at most {calls:g} times a second "
    "and written to at most {writes:g} time a second"
)
def within_budget(context: Context, calls: float, writes: float) -> None:
    print(f"platform calls a second: {context.rates}")
    assert sum(context.rates.values()) <= calls, context.rates
    assert context.rates["writes"] <= writes, context.rates


@then("every daemon has the same revision within {seconds:g} seconds")
def same_revision(context: Context, seconds: float) -> None:
    def revisions() -> set[str]:
        return {
            context.cluster.query("show configuration", at=each.name).rows[-1][0]
            for each in context.deployment.daemons
        }

    wait_until(lambda: len(revisions()) == 1, seconds, "one revision on every daemon")


@then("the command is recorded once")
def recorded_once(context: Context) -> None:
    rows = context.cluster.query("show configuration").rows
    found = [row for row in rows if row[1] == context.reply.command_id]
    assert len(found) == 1, rows


@then("every accepted change is recorded and none was silently overwritten")
def none_overwritten(context: Context) -> None:
    recorded = {row[2]: int(row[0]) for row in context.cluster.query("show configuration").rows}
    assert context.accepted
    for text, reply in context.accepted:
        assert recorded.get(text) == reply.revision, (text, reply, recorded)
    revisions = [reply.revision for _, reply in context.accepted]
    assert len(set(revisions)) == len(revisions), revisions
    for text, _ in context.refused:
        assert text not in recorded, text


@then("every refused operator was told what changed")
def refused_with_reason(context: Context) -> None:
    for text, error in context.refused:
        assert error.refusal_code == "configuration-conflict", (text, error)
        assert "set backend search-1" in error.message, error.message


@then("the operator is told that nothing was written")
def nothing_written(context: Context) -> None:
    assert context.refusal is not None
    assert context.refusal.refusal_code == "platform-unavailable", context.refusal.refusal_code


@then('the operator is told that daemon "{name}" has not confirmed')
def named_missing(context: Context, name: str) -> None:
    assert any(each.startswith(f"{name}-") for each in context.reply.missing), context.reply
