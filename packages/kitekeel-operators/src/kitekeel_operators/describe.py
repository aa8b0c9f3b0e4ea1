"""Describes the differences between two configurations as text."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from kitekeel_steering.model import Configuration, Drain

_SECTIONS = ("regions", "links", "services", "back_ends", "drains", "shifts")


def describe_changes(old: Configuration, new: Configuration) -> tuple[str, ...]:
    """Return one line for each item that was added, removed or changed."""
    lines: list[str] = []
    for section in _SECTIONS:
        before = _by_name(getattr(old, section))
        after = _by_name(getattr(new, section))
        lines.extend(f"{section}: removed {name}" for name in before if name not in after)
        lines.extend(f"{section}: added {name}" for name in after if name not in before)
        lines.extend(
            f"{section}: changed {name}: {_differences(before[name], after[name])}"
            for name in after
            if name in before and before[name] != after[name]
        )
    return tuple(lines)


def _by_name(items: Iterable[msgspec.Struct]) -> Mapping[str, msgspec.Struct]:
    return {_name(item): item for item in items}


def _name(item: msgspec.Struct) -> str:
    if isinstance(item, Drain):
        return f"{item.scope.value} {item.name}"
    name = getattr(item, "name", None)
    return str(name) if name else f"{getattr(item, 'first', '')} {getattr(item, 'second', '')}"


def _differences(old: msgspec.Struct, new: msgspec.Struct) -> str:
    parts = [
        f"{field} {_to_json(getattr(old, field))} -> {_to_json(getattr(new, field))}"
        for field in old.__struct_fields__
        if getattr(old, field) != getattr(new, field)
    ]
    return ", ".join(parts)


def _to_json(value: object) -> str:
    return msgspec.json.encode(value).decode()
