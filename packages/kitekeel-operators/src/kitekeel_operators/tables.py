"""Formats replies as text for the command line."""

from __future__ import annotations

from kitekeel_operators.messages import CommandReply, QueryReply


def format_table(reply: QueryReply) -> str:
    """Return a table with aligned columns."""
    lines = [reply.columns, *reply.rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(reply.columns))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


def format_command(reply: CommandReply) -> str:
    """Return the result of a command as text."""
    if reply.dry_run:
        lines = [f"dry run against revision {reply.revision}; nothing was changed"]
    else:
        lines = [f"accepted as revision {reply.revision} (command id {reply.command_id})"]
        total = len(reply.in_force) + len(reply.missing)
        lines.append(f"in force on {len(reply.in_force)} of {total} daemons")
        lines.extend(f"  not confirmed: {instance}" for instance in reply.missing)
    lines.extend(f"  {change}" for change in reply.changes)
    return "\n".join(lines)
