"""A deployment on loopback: a configuration with local addresses, and the daemons that serve it."""

from __future__ import annotations

from importlib import resources

import msgspec

from kitekeel_lab.back_end_messages import BackEndSpec
from kitekeel_lab.ports import free_address
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.model import BackEnd, Configuration

OPERATOR_KEY = "operators-of-the-lab"
PEER_SECRET = "shared-by-the-lab-daemons"


class DaemonSpec(msgspec.Struct, frozen=True):
    """One daemon of a deployment."""

    name: str
    region: str
    zone: str
    place: int
    caller_address: str
    peer_address: str
    operator_address: str


class Deployment(msgspec.Struct, frozen=True):
    """What runs where; the text is the configuration with local addresses."""

    configuration: Configuration
    text: str
    daemons: tuple[DaemonSpec, ...]


def sample_text(name: str) -> str:
    """Return a sample configuration that ships with the lab: ``catalogue`` or ``device-lab``."""
    return resources.files("kitekeel_lab").joinpath(f"samples/{name}.ini").read_text()


def make_deployment(
    text: str, daemons_per_region: int, back_ends_per_pool: int | None = None
) -> Deployment:
    """Return a deployment of a configuration text on loopback.

    Args:
        text: the configuration in INI.
        daemons_per_region: entry machines of each region.
        back_ends_per_pool: most back ends that are kept in each service and region.
    """
    given = parse_configuration(text)
    kept = _first_of_each_pool(given, back_ends_per_pool)
    local = tuple(msgspec.structs.replace(each, address=free_address()) for each in kept)
    regions = tuple(
        msgspec.structs.replace(each, entry_machines=daemons_per_region) for each in given.regions
    )
    configuration = msgspec.structs.replace(given, back_ends=local, regions=regions)
    return Deployment(configuration, to_text(configuration), _daemons(configuration))


def back_end_specs(deployment: Deployment, emulate_delays: bool) -> list[BackEndSpec]:
    """Return the stand-ins for a deployment's back ends."""
    configuration = deployment.configuration
    return [
        BackEndSpec(
            name=each.name,
            address=each.address,
            region=each.region,
            slots=each.slots,
            one_way_seconds={
                region.name: configuration.one_way_seconds(region.name, each.region)
                for region in configuration.regions
            }
            if emulate_delays
            else {},
        )
        for each in configuration.back_ends
    ]


def to_text(configuration: Configuration) -> str:
    """Return a configuration in its INI form."""
    lines: list[str] = []
    for region in configuration.regions:
        lines += [f"[region {region.name}]", f"zones = {', '.join(region.zones)}"]
        lines += [f"entry_machines = {region.entry_machines}", ""]
    for link in configuration.links:
        lines += [f"[link {link.first} {link.second}]"]
        lines += [f"one_way_delay = {link.one_way_seconds * 1000:g}ms"]
        lines += [f"request_limit = {link.request_limit}", ""]
    for service in configuration.services:
        lines += [f"[service {service.name}]"]
        lines += [f"longest_run = {service.longest_run_seconds:g}s"]
        lines += [f"warm_up = {service.warm_up_seconds:g}s", ""]
        for each in service.classes:
            lines += [f"[class {service.name}/{each.name}]", f"rank = {each.rank}"]
            lines += [f"sure_share = {each.sure_share}", f"most_share = {each.most_share}"]
            lines += [f"pushes_aside = {', '.join(each.pushes_aside)}", f"key = {each.key}"]
            lines += [f"queue_places = {each.queue_places}", ""]
    for back_end in configuration.back_ends:
        lines += [f"[backend {back_end.name}]", f"service = {back_end.service}"]
        lines += [f"zone = {back_end.zone}", f"address = {back_end.address}"]
        lines += [f"slots = {back_end.slots}", f"connections = {back_end.connections}", ""]
    return "\n".join(lines)


def settings_text(
    daemon: DaemonSpec, platform_address: str, seeds: list[str], listen: DaemonSpec | None = None
) -> str:
    """Return a daemon's settings file.

    Args:
        daemon: the daemon, with the addresses it advertises.
        platform_address: where the platform is.
        seeds: peer addresses to join through.
        listen: addresses it listens on, where proxies stand before them.
    """
    listen = listen or daemon
    return "\n".join(
        [
            "[daemon]",
            f"name = {daemon.name}",
            f"region = {daemon.region}",
            f"zone = {daemon.zone}",
            f"place = {daemon.place}",
            "[callers]",
            f"address = {listen.caller_address}",
            f"advertised = {daemon.caller_address}",
            "max_age = 2s",
            "[operators]",
            f"address = {listen.operator_address}",
            f"key = {OPERATOR_KEY}",
            "[peers]",
            f"address = {listen.peer_address}",
            f"advertised = {daemon.peer_address}",
            f"secret = {PEER_SECRET}",
            f"seeds = {', '.join(seeds)}",
            "[platform]",
            f"address = {platform_address}",
            "",
        ]
    )


def _first_of_each_pool(configuration: Configuration, most: int | None) -> list[BackEnd]:
    counts: dict[tuple[str, str], int] = {}
    kept: list[BackEnd] = []
    for back_end in configuration.back_ends:
        pool = (back_end.service, back_end.region)
        counts[pool] = counts.get(pool, 0) + 1
        if most is None or counts[pool] <= most:
            kept.append(back_end)
    return kept


def _daemons(configuration: Configuration) -> tuple[DaemonSpec, ...]:
    return tuple(
        DaemonSpec(
            name=f"{region.name}-{place}",
            region=region.name,
            zone=region.zones[(place - 1) % len(region.zones)],
            place=place,
            caller_address=free_address(),
            peer_address=free_address(),
            operator_address=free_address(),
        )
        for region in configuration.regions
        for place in range(1, region.entry_machines + 1)
    )
