"""Merges the events of all daemons into one timeline in causal order."""

from __future__ import annotations

import html
from collections.abc import Iterable
from datetime import UTC, datetime

import msgspec

from kitekeel_operators.client import DaemonUnreachableError, OperatorClient, OperatorRefusedError
from kitekeel_steering.events import Event

_ROW_HEIGHT = 18
_LEFT_MARGIN = 190
_LANE_WIDTH = 150
_TOP_MARGIN = 60
_COLOURS = ("#1b6ca8", "#a8431b", "#3c8d40", "#7a3c8d", "#8d7a3c", "#3c7f8d")


class Timeline(msgspec.Struct, frozen=True):
    """Merged events, and the addresses of daemons that could not be queried."""

    events: tuple[Event, ...]
    missing: tuple[str, ...]


def collect_timeline(first_address: str, key: str) -> Timeline:
    """Fetch the events of a daemon and of every daemon that can be discovered from it."""
    pending = [first_address]
    asked: set[str] = set()
    events: list[Event] = []
    missing: list[str] = []
    while pending:
        address = pending.pop()
        if address in asked:
            continue
        asked.add(address)
        try:
            reply = OperatorClient(address, key, timeout_seconds=3.0).events()
        except (DaemonUnreachableError, OperatorRefusedError):
            missing.append(address)
            continue
        events.extend(reply.events)
        pending.extend(reply.operator_addresses)
    return merge_events(events, missing)


def merge_events(events: Iterable[Event], missing: Iterable[str]) -> Timeline:
    """Return the events sorted by their timestamps, whose order is consistent with causality."""
    ordered = sorted(events, key=lambda each: (each.stamp, each.instance))
    return Timeline(tuple(ordered), tuple(sorted(missing)))


def format_text(timeline: Timeline) -> str:
    """Return one line for each event, then one for each daemon that could not be queried."""
    lines = [
        f"{_format_time(each)}+{each.stamp.counter} {each.instance:<28} {each.kind:<24} {each.text}"
        for each in timeline.events
    ]
    lines.extend(f"missing: {address} could not be reached" for address in timeline.missing)
    return "\n".join(lines)


def format_html(timeline: Timeline) -> str:
    """Return a self-contained page with one lane for each daemon."""
    lanes = sorted({each.instance for each in timeline.events})
    width = _LEFT_MARGIN + _LANE_WIDTH * len(lanes) + 700
    height = _TOP_MARGIN + _ROW_HEIGHT * (len(timeline.events) + 1)
    parts = [
        "<!doctype html><html><head><meta charset='utf-8'><title>kitekeel time line</title></head>",
        f"<body><svg xmlns='http://www.w3.org/2000/svg' width='{width}' height='{height}' "
        "font-family='monospace' font-size='11'>",
    ]
    parts.extend(_lane_svg(lanes, index, height) for index in range(len(lanes)))
    parts.extend(_event_svg(lanes, row, event) for row, event in enumerate(timeline.events))
    parts.append("</svg>")
    parts.extend(f"<p>missing: {html.escape(each)}</p>" for each in timeline.missing)
    parts.append("</body></html>")
    return "\n".join(parts)


def _lane_svg(lanes: list[str], index: int, height: int) -> str:
    x = _LEFT_MARGIN + _LANE_WIDTH * index
    name = html.escape(lanes[index])
    colour = _COLOURS[index % len(_COLOURS)]
    return (
        f"<text x='{x}' y='20' fill='{colour}'>{name[:22]}</text>"
        f"<line x1='{x}' y1='30' x2='{x}' y2='{height}' stroke='{colour}' stroke-opacity='0.3'/>"
    )


def _event_svg(lanes: list[str], row: int, event: Event) -> str:
    y = _TOP_MARGIN + _ROW_HEIGHT * row
    index = lanes.index(event.instance)
    x = _LEFT_MARGIN + _LANE_WIDTH * index
    colour = _COLOURS[index % len(_COLOURS)]
    text_x = _LEFT_MARGIN + _LANE_WIDTH * len(lanes)
    text = html.escape(f"{event.kind}: {event.text}")
    return (
        f"<text x='4' y='{y}'>{_format_time(event)}</text>"
        f"<circle cx='{x}' cy='{y - 4}' r='4' fill='{colour}'><title>{text}</title></circle>"
        f"<text x='{text_x}' y='{y}' fill='{colour}'>{text}</text>"
    )


def _format_time(event: Event) -> str:
    moment = datetime.fromtimestamp(event.stamp.milliseconds / 1000, UTC)
    return moment.strftime("%H:%M:%S.") + f"{event.stamp.milliseconds % 1000:03d}"
