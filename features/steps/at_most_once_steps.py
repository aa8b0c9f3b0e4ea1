"""Steps about keys, homes and repeats."""

import time
from concurrent.futures import ThreadPoolExecutor

import msgspec
import parse
from behave import given, register_type, then, when
from behave.runner import Context
from cluster_steps import SPECS, make_callers

from kitekeel_lab.back_end_messages import BackEndFaults
from kitekeel_lab.caller import Caller, NoEntryError, Result
from kitekeel_lab.cluster import Cluster, wait_until
from kitekeel_lab.deployment import PEER_SECRET, make_deployment, sample_text, to_text
from kitekeel_lab.fault_proxy import FaultProxy, ProxyRule
from kitekeel_lab.partition import ProxiedNetwork
from kitekeel_lab.platform_server import PlatformFaults
from kitekeel_lab.ports import free_address
from kitekeel_steering.home_tokens import HomeToken, HomeTokenSigner, join_key


@parse.with_pattern(r"[a-z-]+")
def parse_outcome(text: str) -> str:
    return text


register_type(Outcome=parse_outcome)

TRANSFER = msgspec.structs.replace(SPECS["loans"], work_seconds=0.2, deadline_seconds=4.0)


@given(
    "a catalogue network behind proxies with {daemons:d} daemons "
    "and {back_ends:d} back end in each region"
)
def start_behind_proxies(context: Context, daemons: int, back_ends: int) -> None:
    context.deployment = make_deployment(sample_text("catalogue"), daemons, back_ends)
    network = ProxiedNetwork(context.deployment)
    context.network = network
    context.cluster = Cluster(
        context.deployment,
        listen=network.listen,
        platform_address_of=network.platform_address_of,
    )
    network.open(context.cluster)
    context.proxies = [network]
    context.cluster.start()
    context.callers = make_callers(context)
    context.outcomes = []
    context.cluster.wait_for_grants()


@given("a catalogue network with {daemons:d} daemons and proxies before its back ends")
def start_with_back_end_proxies(context: Context, daemons: int) -> None:
    context.deployment = make_deployment(sample_text("catalogue"), daemons, 1)
    context.cluster = Cluster(context.deployment)
    real = context.deployment.configuration
    proxied = msgspec.structs.replace(
        real,
        back_ends=tuple(
            msgspec.structs.replace(each, address=free_address()) for each in real.back_ends
        ),
    )
    context.proxies = [
        FaultProxy(front.address, back.address)
        for front, back in zip(proxied.back_ends, real.back_ends, strict=True)
    ]
    context.cluster.start()
    context.cluster.apply(to_text(proxied))
    context.callers = make_callers(context)
    context.outcomes = []
    context.cluster.wait_for_grants()


@when("the proxies reset connections after {count:d} bytes")
def reset_after(context: Context, count: int) -> None:
    for proxy in context.proxies:
        proxy.set_rule(ProxyRule(reset_after_bytes=count))


def home_key(context: Context, name: str) -> str:
    """Return a key homed at the first daemon; the token stays the same in a scenario."""
    if not hasattr(context, "home_entry"):
        first = context.deployment.daemons[0]
        caller = Caller(first.zone, [first.caller_address])

        def named() -> object:
            try:
                listed = caller.entries("loans")
            except NoEntryError:
                # On a busy machine a daemon that has just started may take longer to answer than a
                # look-up waits; the limit of this wait decides.
                return None
            entries = [each for each in listed if each.address == first.caller_address]
            return entries[0] if entries else None

        context.home_entry = wait_until(named, what="the home among the entries")
        context.home_name = first.name
    return join_key(context.home_entry.home_token, name)


def addresses(context: Context, with_home: bool) -> list[str]:
    home_key(context, "any")
    return [
        each.caller_address
        for each in context.deployment.daemons
        if with_home or each.name != context.home_name
    ]


def send_at(context: Context, targets: list[str], name: str, key: str) -> None:
    caller = Caller("nl-noord-1", targets)
    with ThreadPoolExecutor(len(targets)) as workers:
        context.outcomes = list(
            workers.map(lambda address: caller.send_to(address, TRANSFER, name, key), targets)
        )


@when('{count:d} callers send transfer "{name}" at once, at every daemon, under one key')
def send_many(context: Context, count: int, name: str) -> None:
    key = home_key(context, name)
    targets = addresses(context, True)
    send_at(context, (targets * count)[:count], name, key)


@when('{count:d} callers send transfer "{name}" at once, at every daemon, without a home token')
def send_many_without_token(context: Context, count: int, name: str) -> None:
    targets = [each.caller_address for each in context.deployment.daemons]
    send_at(context, (targets * count)[:count], name, name)


@when('transfer "{name}" is sent without a home token')
def send_without_token(context: Context, name: str) -> None:
    send_at(context, [context.deployment.daemons[0].caller_address], name, name)


@when('transfer "{name}" is sent to its home and answered')
def send_to_home(context: Context, name: str) -> None:
    send_at(context, [context.deployment.daemons[0].caller_address], name, home_key(context, name))
    assert context.outcomes[0].result is Result.ANSWERED, context.outcomes


@when('transfer "{name}" is repeated at its home')
def repeat_at_home(context: Context, name: str) -> None:
    send_at(context, [context.deployment.daemons[0].caller_address], name, home_key(context, name))


@when('transfer "{name}" is repeated at every daemon')
def repeat_everywhere(context: Context, name: str) -> None:
    send_at(context, addresses(context, True), name, home_key(context, name))


@when('transfer "{name}" is repeated at every other daemon')
def repeat_elsewhere(context: Context, name: str) -> None:
    send_at(context, addresses(context, False), name, home_key(context, name))


@when("its home is killed")
def kill_home(context: Context) -> None:
    context.cluster.kill(context.home_name)


@when("its home is frozen")
def freeze_home(context: Context) -> None:
    home_key(context, "any")
    context.cluster.freeze(context.home_name)


@when("its home thaws")
def thaw_home(context: Context) -> None:
    context.cluster.thaw(context.home_name)
    wait_until(lambda: context.cluster.is_ready(context.home_name), what="the thawed home")


@when("the home's region is cut from the others")
def cut_home_region(context: Context) -> None:
    home_key(context, "any")
    region = context.cluster.daemon(context.home_name).region
    inside = [each.name for each in context.deployment.daemons if each.region == region]
    outside = [each.name for each in context.deployment.daemons if each.region != region]
    context.network.cut(inside, outside)


@when("the network heals")
def heal(context: Context) -> None:
    context.network.heal()


@when("the platform is down")
def platform_down(context: Context) -> None:
    context.cluster.set_platform_faults(PlatformFaults(down=True))


@when("the platform is up again")
def platform_up(context: Context) -> None:
    context.cluster.set_platform_faults(PlatformFaults())


@when("the platform loses the answer of the next write")
def lose_write(context: Context) -> None:
    context.cluster.set_platform_faults(PlatformFaults(lose_write_answers=1))


@when("every back end breaks connections after running a request")
def break_connections(context: Context) -> None:
    context.cluster.set_back_end_faults(BackEndFaults(break_share=1.0))


@when("{count:d} different transfers are sent")
def send_different(context: Context, count: int) -> None:
    names = [f"transfer-{number}" for number in range(count)]
    caller = context.callers["nl-noord-1"]
    with ThreadPoolExecutor(8) as workers:
        context.outcomes = list(workers.map(lambda name: caller.send(TRANSFER, name), names))


@when("a transfer is sent with a forged home token")
def send_forged(context: Context) -> None:
    token = HomeTokenSigner(b"another secret of someone").sign(_token(context, 600))
    send_at(context, addresses(context, True)[:1], "forged", join_key(token, "forged"))


@when("a transfer is sent with an expired home token")
def send_expired(context: Context) -> None:
    token = HomeTokenSigner(PEER_SECRET.encode()).sign(_token(context, -1))
    send_at(context, addresses(context, True)[:1], "expired", join_key(token, "expired"))


@when("a key is used for two different transfers")
def reuse_key(context: Context) -> None:
    key = home_key(context, "reused")
    target = addresses(context, True)[0]
    caller = Caller("nl-noord-1", [target])
    caller.send_to(target, TRANSFER, "reused", key)
    other = msgspec.structs.replace(TRANSFER, work_seconds=0.3)
    context.outcomes = [caller.send_to(target, other, "reused-again", key)]


def _token(context: Context, life_seconds: int) -> HomeToken:
    rows = context.cluster.query("show daemons").rows
    home_key(context, "any")
    instance = next(row[0] for row in rows if row[4] == context.home_entry.address)
    return HomeToken(instance, int(time.time()) + life_seconds)


@then('transfer "{name}" ran {count:d} time')
@then('transfer "{name}" ran {count:d} times')
def ran(context: Context, name: str, count: int) -> None:
    found = context.cluster.runs().get(name, 0)
    assert found == count, (found, context.outcomes)


@then('transfer "{name}" ran at most {count:d} time')
def ran_at_most(context: Context, name: str, count: int) -> None:
    found = context.cluster.runs().get(name, 0)
    assert found <= count, (found, context.outcomes)


@then("no transfer ran more than once")
def none_ran_twice(context: Context) -> None:
    doubled = {name: count for name, count in context.cluster.runs().items() if count > 1}
    assert not doubled, doubled


@then("every caller got the same answer")
def same_answer(context: Context) -> None:
    wrong = [each for each in context.outcomes if each.result is not Result.ANSWERED or each.code]
    assert not wrong, wrong


@then('every answer is "{result:Outcome}"')
def every_answer(context: Context, result: str) -> None:
    wrong = [each for each in context.outcomes if each.result is not Result(result)]
    assert not wrong, wrong[:5]


@then('some answer is "{result:Outcome}"')
def some_answer(context: Context, result: str) -> None:
    assert any(each.result is Result(result) for each in context.outcomes), context.outcomes


@then('every answer is "{result:Outcome}" with a time to come back')
def every_answer_with_time(context: Context, result: str) -> None:
    every_answer(context, result)
    silent = [each for each in context.outcomes if each.retry_after_seconds is None]
    assert not silent, silent[:5]


@then('every answer is "{result:Outcome}" with code "{code}"')
def every_answer_with_code(context: Context, result: str, code: str) -> None:
    every_answer(context, result)
    wrong = [each for each in context.outcomes if each.code != code]
    assert not wrong, wrong[:5]
