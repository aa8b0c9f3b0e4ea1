"""Applies commands to the configuration, and validates the names and values in them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

import msgspec

from kitekeel_operators.statements import (
    ApplyCommand,
    CancelShiftCommand,
    CapLinkCommand,
    CapShiftCommand,
    Command,
    DrainCommand,
    SetClassCommand,
    SetServiceCommand,
    SetSlotsCommand,
    ShiftCommand,
)
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.errors import ConfigurationError
from kitekeel_steering.model import (
    Configuration,
    Drain,
    DrainScope,
    PriorityClass,
    Service,
    Shift,
)

Item = TypeVar("Item", bound=msgspec.Struct)


def change_configuration(configuration: Configuration, command: Command) -> Configuration:
    """Return the configuration with the command applied.

    Raises:
        ConfigurationError: the command refers to an unknown item, or its values are not allowed
            in this configuration.
    """
    match command:
        case ShiftCommand():
            return _shift(configuration, command)
        case CancelShiftCommand():
            return _cancel_shift(configuration, command)
        case DrainCommand():
            return _drain(configuration, command)
        case CapLinkCommand():
            return _cap_link(configuration, command)
        case CapShiftCommand():
            return _cap_shift(configuration, command)
        case SetClassCommand() | SetServiceCommand() | SetSlotsCommand():
            return _change_setting(configuration, command)
        case ApplyCommand():
            return _apply(configuration, command)


def _shift(configuration: Configuration, command: ShiftCommand) -> Configuration:
    _require_known(command.service, (each.name for each in configuration.services), "service")
    regions = [each.name for each in configuration.regions]
    _require_known(command.source, regions, "region")
    _require_known(command.target, regions, "region")
    if command.source == command.target:
        raise ConfigurationError("a shift goes from one region to another")
    if not 0 < command.share <= 1:
        raise ConfigurationError("a shift's percentage is above 0 and at most 100")
    if not configuration.pool_back_ends(command.service, command.target):
        raise ConfigurationError(f"'{command.service}' has no back end in '{command.target}'")
    shift = Shift(
        command.name,
        command.service,
        command.source,
        command.target,
        command.share,
        command.slot_cap,
        command.ramp_seconds,
    )
    others = [each for each in configuration.shifts if each.name != command.name]
    _check_total_share(others, shift)
    return msgspec.structs.replace(configuration, shifts=(*others, shift))


def _check_total_share(others: Iterable[Shift], shift: Shift) -> None:
    total = shift.share + sum(
        each.share
        for each in others
        if each.service == shift.service and each.source == shift.source and not each.cancelled
    )
    if total > 1:
        raise ConfigurationError("the shifts of a service from one region exceed 100% together")


def _cancel_shift(configuration: Configuration, command: CancelShiftCommand) -> Configuration:
    shift = _find(configuration.shifts, command.name, "shift")
    if shift.cancelled:
        rest = tuple(each for each in configuration.shifts if each.name != command.name)
        return msgspec.structs.replace(configuration, shifts=rest)
    cancelled = msgspec.structs.replace(shift, cancelled=True)
    return msgspec.structs.replace(
        configuration, shifts=_replace_item(configuration.shifts, shift, cancelled)
    )


def _drain(configuration: Configuration, command: DrainCommand) -> Configuration:
    names = {
        DrainScope.BACK_END: [each.name for each in configuration.back_ends],
        DrainScope.ZONE: [zone for each in configuration.regions for zone in each.zones],
        DrainScope.REGION: [each.name for each in configuration.regions],
    }
    _require_known(command.name, names[command.scope], command.scope.value)
    drain = Drain(command.scope, command.name)
    others = tuple(each for each in configuration.drains if each != drain)
    if command.undo and len(others) == len(configuration.drains):
        raise ConfigurationError(f"{command.scope.value} '{command.name}' is not drained")
    drains = others if command.undo else (*others, drain)
    return msgspec.structs.replace(configuration, drains=drains)


def _cap_link(configuration: Configuration, command: CapLinkCommand) -> Configuration:
    link = configuration.find_link(command.first, command.second)
    if link is None:
        raise ConfigurationError(f"no link between '{command.first}' and '{command.second}'")
    changed = msgspec.structs.replace(link, request_limit=command.limit)
    return msgspec.structs.replace(
        configuration, links=_replace_item(configuration.links, link, changed)
    )


def _cap_shift(configuration: Configuration, command: CapShiftCommand) -> Configuration:
    shift = _find(configuration.shifts, command.name, "shift")
    changed = msgspec.structs.replace(shift, slot_cap=command.limit)
    return msgspec.structs.replace(
        configuration, shifts=_replace_item(configuration.shifts, shift, changed)
    )


def _change_setting(
    configuration: Configuration,
    command: SetClassCommand | SetServiceCommand | SetSlotsCommand,
) -> Configuration:
    if isinstance(command, SetSlotsCommand):
        back_end = _find(configuration.back_ends, command.back_end, "backend")
        if command.slots < 1:
            raise ConfigurationError("a back end has at least 1 slot; drain it to use none")
        changed = msgspec.structs.replace(back_end, slots=command.slots)
        back_ends = _replace_item(configuration.back_ends, back_end, changed)
        return msgspec.structs.replace(configuration, back_ends=back_ends)
    service = _find(
        configuration.services,
        command.service if isinstance(command, SetClassCommand) else command.name,
        "service",
    )
    if isinstance(command, SetClassCommand):
        changed_service = _set_class(service, command)
    else:
        changed_service = _replace_given_fields(
            service,
            longest_run_seconds=command.longest_run_seconds,
            warm_up_seconds=command.warm_up_seconds,
        )
    services = _replace_item(configuration.services, service, changed_service)
    return msgspec.structs.replace(configuration, services=services)


def _set_class(service: Service, command: SetClassCommand) -> Service:
    priority_class = _find(service.classes, command.name, "class")
    changed: PriorityClass = _replace_given_fields(
        priority_class,
        sure_share=command.sure_share,
        most_share=command.most_share,
        rank=command.rank,
    )
    if not 0 <= changed.sure_share <= changed.most_share <= 1:
        raise ConfigurationError("a class needs 0% <= sure <= most <= 100%")
    classes = _replace_item(service.classes, priority_class, changed)
    if sum(each.sure_share for each in classes) > 1:
        raise ConfigurationError("the sure shares of a service exceed 100% together")
    ranked = tuple(sorted(classes, key=lambda each: each.rank))
    return msgspec.structs.replace(service, classes=ranked)


def _apply(configuration: Configuration, command: ApplyCommand) -> Configuration:
    """Replace the configuration by that of a text; keep drains and shifts of items still in it."""
    given = parse_configuration(command.text)
    zones = {zone for each in given.regions for zone in each.zones}
    names = {
        DrainScope.BACK_END: {each.name for each in given.back_ends},
        DrainScope.ZONE: zones,
        DrainScope.REGION: {each.name for each in given.regions},
    }
    drains = tuple(each for each in configuration.drains if each.name in names[each.scope])
    shifts = tuple(
        each
        for each in configuration.shifts
        if given.find_service(each.service)
        and given.find_region(each.source)
        and given.find_region(each.target)
    )
    return msgspec.structs.replace(
        given,
        revision=configuration.revision,
        commands=configuration.commands,
        drains=drains,
        shifts=shifts,
    )


def _replace_given_fields(item: Item, **given: object) -> Item:
    changes = {name: value for name, value in given.items() if value is not None}
    return msgspec.structs.replace(item, **changes)


def _replace_item(items: Iterable[Item], old: Item, new: Item) -> tuple[Item, ...]:
    return tuple(new if each is old else each for each in items)


def _find(items: Iterable[Item], name: str, kind: str) -> Item:
    known = {str(getattr(each, "name", "")): each for each in items}
    _require_known(name, known, kind)
    return known[name]


def _require_known(name: str, known: Iterable[str], kind: str) -> None:
    names = list(known)
    if name not in names:
        raise ConfigurationError(f"no {kind} '{name}'; there are: {', '.join(names) or 'none'}")
