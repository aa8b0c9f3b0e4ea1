"""Steps about outcomes: retries, cut answers, refusals, hostile input."""

import socket
from concurrent.futures import ThreadPoolExecutor

import msgspec
import urllib3
from behave import then, when
from behave.runner import Context
from cluster_steps import SPECS, send_all

from kitekeel_lab.back_end_messages import BackEndFaults
from kitekeel_lab.caller import Caller, Result
from kitekeel_lab.proofs import find_breaches

HOSTILE = (
    b"\x00\x01\x02\x03\xff\xfe\r\n\r\n",
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\nHost: a\r\n\r\n",
    b"GET /v1/services/search/%00%ff HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /v1/services/loans/x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
    b"POST /v1/services/loans/x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999\r\n\r\n",
    b"POST /v1/services/loans/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n",
    b"GET /v1/services/search/x HTTP/1.1\r\nHost: a\r\nX: " + b"a" * 100_000 + b"\r\n\r\n",
    b"GET /v1/services/search/x HTTP/1.1\r\nHost: a\r\nKitekeel-Deadline-Ms: soon\r\n\r\n",
    b"GET /v1/services/search/x HTTP/1.1\r\nHost: a\r\nKitekeel-Class: \xc3\x28\r\n\r\n",
    b"POST /v1/services/loans/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: .\r\n\r\n",
    b"POST /v1/services/loans/x HTTP/1.1\r\nHost: a\r\nIdempotency-Key: AAAA.b\r\n\r\n",
    b"GET /v1/entries?service=%F0%9F%92%A9 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /v1/services/ HTTP/1.1\r\nHost: a\r\n\r\n",
)


@when("half of the back ends answer every request with an error")
def fail_half(context: Context) -> None:
    names = [each.name for each in context.deployment.configuration.back_ends]
    context.cluster.set_back_end_faults(BackEndFaults(fail_share=1.0), tuple(names[::2]))


@when('callers of zone "{zone}" send {count:d} searches')
def send_searches(context: Context, zone: str, count: int) -> None:
    caller = context.callers[zone]
    context.outcomes = send_all(
        context, [(caller, SPECS["search"], f"search-{number}") for number in range(count)]
    )


@when("back ends cut {percent:d}% of their answers")
def cut_answers(context: Context, percent: int) -> None:
    context.cluster.set_back_end_faults(BackEndFaults(cut_share=percent / 100))


@when(
    "{count:d} callers send searches of {work:d} ms and close their connections after {wait:d} ms"
)
def give_up(context: Context, count: int, work: int, wait: int) -> None:
    address = context.deployment.daemons[0].caller_address
    host, _, port = address.rpartition(":")

    def send_and_close(number: int) -> None:
        with socket.create_connection((host, int(port)), timeout=5) as connection:
            connection.sendall(
                f"GET /v1/services/search/w?work_ms={work}&answer_bytes=5000 HTTP/1.1\r\n"
                f"Host: a\r\nKitekeel-Request-Id: gone-{number}\r\n\r\n".encode()
            )
            connection.settimeout(wait / 1000)
            try:
                connection.recv(10)
            except TimeoutError:
                pass

    with ThreadPoolExecutor(20) as workers:
        list(workers.map(send_and_close, range(count)))


@when("{count:d} searches of {work:d} ms arrive at once at one daemon")
def send_burst(context: Context, count: int, work: int) -> None:
    spec = msgspec.structs.replace(SPECS["search"], work_seconds=work / 1000, deadline_seconds=4.0)
    address = context.deployment.daemons[0].caller_address
    caller = Caller("nl-noord-1", [address])
    with ThreadPoolExecutor(count) as workers:
        context.outcomes = list(
            workers.map(
                lambda number: caller.send_to(address, spec, f"burst-{number}", ""), range(count)
            )
        )


@when("hostile bytes are sent to a daemon's callers' port")
def send_hostile(context: Context) -> None:
    host, _, port = context.deployment.daemons[0].caller_address.rpartition(":")
    context.hostile_answers = []
    for payload in HOSTILE:
        with socket.create_connection((host, int(port)), timeout=15) as connection:
            received = b""
            try:
                connection.sendall(payload)
                connection.shutdown(socket.SHUT_WR)
                while piece := connection.recv(4096):
                    received += piece
            except OSError:
                pass
            context.hostile_answers.append((payload[:60], received))


@then("every hostile connection was answered or closed without a stack trace")
def no_stack_trace(context: Context) -> None:
    for payload, answer in context.hostile_answers:
        assert b"Traceback" not in answer, (payload, answer)
        assert b" 500 " not in answer.split(b"\r\n")[0], (payload, answer)


@then("the back ends were asked at most {factor:g} times for each request")
def not_amplified(context: Context, factor: float) -> None:
    counters: dict[str, int] = {}
    for daemon in context.deployment.daemons:
        for name, count in context.cluster.query("show counters", at=daemon.name).rows:
            counters[name] = counters.get(name, 0) + int(count)
    assert counters["requests.received"] >= len(context.outcomes)
    assert counters["requests.sent"] <= factor * counters["requests.received"] + 10, counters


@then("no answer is wrong or taken for whole though it was cut")
def none_wrong(context: Context) -> None:
    assert any(each.result in (Result.CUT, Result.UNKNOWN) for each in context.outcomes)
    wrong = [each for each in context.outcomes if each.result in (Result.WRONG, Result.LOST)]
    assert not wrong, wrong[:5]


@then("no request ran more than once unless it may be repeated")
def none_doubled(context: Context) -> None:
    doubled = [
        name for name, count in context.cluster.runs().items() if count > 1 and "search" not in name
    ]
    assert not doubled, doubled


@then("every request reported as not run was not run")
def not_run_is_true(context: Context) -> None:
    breaches = find_breaches(context.outcomes, context.cluster.records(), frozenset())
    assert not breaches.false_not_run, breaches.false_not_run[:5]


@then("some requests are refused")
def some_refused(context: Context) -> None:
    context.refusals = [each for each in context.outcomes if each.result is Result.NOT_RUN]
    assert context.refusals, "none was refused"


@then("every refusal has a time to come back")
def refusals_have_times(context: Context) -> None:
    silent = [each for each in context.refusals if each.retry_after_seconds is None]
    assert not silent, silent[:5]


@then("refusals for a full queue took less than {seconds:g} second")
def refused_at_once(context: Context, seconds: float) -> None:
    full = [each for each in context.refusals if each.code == "queue-full"]
    assert full, "no queue was full"
    slow = [each for each in full if each.seconds >= seconds]
    assert not slow, slow[:5]


@then("no back end was given more work than its slots")
def none_over(context: Context) -> None:
    over = {
        name: record.over_slots
        for name, record in context.cluster.records().items()
        if record.over_slots
    }
    assert not over, over


@then("every daemon serves its OpenAPI document")
def serves_openapi(context: Context) -> None:
    for daemon in context.deployment.daemons:
        answer = urllib3.request("GET", f"http://{daemon.operator_address}/v1/openapi")
        assert answer.status == 200
