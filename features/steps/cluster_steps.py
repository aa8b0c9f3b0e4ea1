"""Steps that start deployments, send requests and command operators' changes."""

import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from behave.runner import Context

from kitekeel_lab.caller import Caller, CallerOutcome, CallerSpec, Result
from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import make_deployment, sample_text

SPECS = {
    "search": CallerSpec("search", "patron", "", True, 0.005, 3.0, 2000),
    "authority": CallerSpec(
        "authority", "cataloguer", "cataloguers-only-key", False, 0.005, 8.0, 2000
    ),
    "loans": CallerSpec("loans", "transfer", "branch-transfer-key", False, 0.005, 8.0, 2000),
}


def make_callers(context: Context) -> dict[str, Caller]:
    addresses = [each.caller_address for each in context.cluster.deployment.daemons]
    zones = [zone for each in context.deployment.configuration.regions for zone in each.zones]
    return {zone: Caller(zone, addresses) for zone in zones}


@given("a catalogue network with {daemons:d} daemons and {back_ends:d} back ends in each region")
@given("a catalogue network with {daemons:d} daemons and {back_ends:d} back end in each region")
def start_catalogue(context: Context, daemons: int, back_ends: int) -> None:
    context.deployment = make_deployment(sample_text("catalogue"), daemons, back_ends)
    context.cluster = Cluster(context.deployment)
    context.cluster.start()
    context.callers = make_callers(context)
    context.outcomes = []
    context.cluster.wait_for_grants()


def send_all(context: Context, jobs: list[tuple[Caller, CallerSpec, str]]) -> list[CallerOutcome]:
    with ThreadPoolExecutor(24) as workers:
        return list(workers.map(lambda job: job[0].send(job[1], job[2]), jobs))


@when("callers of every zone send {count:d} requests of every service")
def send_requests(context: Context, count: int) -> None:
    jobs = [
        (caller, spec, f"{zone}-{service}-{number}-{len(context.outcomes)}")
        for zone, caller in context.callers.items()
        for service, spec in SPECS.items()
        for number in range(count)
    ]
    context.outcomes += send_all(context, jobs)


@when('an operator commands "{text}"')
def command(context: Context, text: str) -> None:
    context.reply = context.cluster.command(text)


@when("{seconds:g} seconds pass")
def pass_time(context: Context, seconds: float) -> None:
    time.sleep(seconds)


@then("every request is answered by a back end")
def all_answered(context: Context) -> None:
    assert context.outcomes, "no request was sent"
    others = [each for each in context.outcomes if each.result is not Result.ANSWERED]
    assert not others, others[:5]


@then("no request ran more than once")
def none_doubled(context: Context) -> None:
    doubled = {name: count for name, count in context.cluster.runs().items() if count > 1}
    assert not doubled, doubled


@then("the change is in force on every daemon")
def in_force_everywhere(context: Context) -> None:
    assert not context.reply.missing, context.reply.missing
    assert len(context.reply.in_force) == len(context.deployment.daemons)


@then('no back end of zone "{zone}" began work in the last {seconds:g} seconds')
def none_began(context: Context, zone: str, seconds: float) -> None:
    names = {each.name for each in context.deployment.configuration.back_ends if each.zone == zone}
    latest = max(
        record.last_started_at
        for name, record in context.cluster.records().items()
        if name in names
    )
    assert time.time() - latest >= seconds, time.time() - latest
