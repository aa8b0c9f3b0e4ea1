"""Fetches the tenants' use of their limits from all gateway daemons and adds it up."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import msgspec

from kitekeel_operators.client import DaemonUnreachableError
from kitekeel_operators.gateway_calls import call_gateway
from kitekeel_steering.tenant_reports import TENANTS_PATH, TenantReport, TenantsReply

_MAX_CONCURRENT_CALLS = 16


class TenantUse(msgspec.Struct, frozen=True):
    """The tenants' use over all daemons that answered.

    Attributes:
        silent: metrics addresses of daemons that did not answer; their requests are not counted.
        versions: configuration versions that the daemons have; more than one while a change is
            still being distributed.
        without_keeper: names of daemons that admit only an equal share of the limit, because no
            token keeper answers them.
    """

    tenants: tuple[TenantReport, ...]
    daemons: int
    silent: tuple[str, ...]
    versions: tuple[int, ...]
    without_keeper: tuple[str, ...]


def fetch_tenant_use(address: str) -> TenantUse:
    """Return the use at the gateway with this metrics address and at all gateways it knows.

    Raises:
        DaemonUnreachableError: the first gateway did not answer, or its reply is not valid.
    """
    first = _fetch(address)
    replies, silent = [first], []
    with ThreadPoolExecutor(_MAX_CONCURRENT_CALLS) as executor:
        for other, reply in zip(first.others, executor.map(_try_fetch, first.others), strict=True):
            if reply is None:
                silent.append(other)
            else:
                replies.append(reply)
    return TenantUse(
        _total_by_tenant(replies),
        len(replies),
        tuple(silent),
        tuple(sorted({each.configuration_version for each in replies})),
        tuple(sorted(each.daemon for each in replies if each.without_keeper)),
    )


def format_tenant_use(use: TenantUse) -> str:
    """Return the use as text, sorted by refused requests in descending order."""
    versions = ", ".join(map(str, use.versions))
    lines = [f"{use.daemons} daemons, configuration {versions}; requests a second"]
    lines.append(f"{'tenant':24}{'limit':>10}{'burst':>8}{'admitted':>10}{'refused':>9}  keys")
    for each in sorted(use.tenants, key=lambda one: (-one.refused, -one.admitted, one.name)):
        limit = f"{each.rate:g}" if each.rate else "none"
        lines.append(
            f"{each.name:24}{limit:>10}{each.burst:>8g}{each.admitted:>10.1f}"
            f"{each.refused:>9.1f}  {each.keys}"
        )
    lines += [f"not counted, no answer: {each}" for each in use.silent]
    lines += [
        f"admits its equal part only, no keeper answers: {each}" for each in use.without_keeper
    ]
    return "\n".join(lines)


def _total_by_tenant(replies: list[TenantsReply]) -> tuple[TenantReport, ...]:
    """Return the total use per tenant; limits are those of the newest configuration version."""
    newest = max(replies, key=lambda each: each.configuration_version)
    admitted: dict[str, float] = {}
    refused: dict[str, float] = {}
    for reply in replies:
        for each in reply.tenants:
            admitted[each.name] = admitted.get(each.name, 0.0) + each.admitted
            refused[each.name] = refused.get(each.name, 0.0) + each.refused
    return tuple(
        msgspec.structs.replace(each, admitted=admitted[each.name], refused=refused[each.name])
        for each in newest.tenants
    )


def _try_fetch(address: str) -> TenantsReply | None:
    """Return a daemon's reply, or ``None`` if it does not answer; the caller reports it."""
    try:
        return _fetch(address)
    except DaemonUnreachableError:
        return None


def _fetch(address: str) -> TenantsReply:
    body = call_gateway("GET", address, TENANTS_PATH, {}).data
    try:
        return msgspec.json.decode(body, type=TenantsReply)
    except msgspec.MsgspecError as error:
        raise DaemonUnreachableError(f"{address} answers no tenants: {error}") from error
