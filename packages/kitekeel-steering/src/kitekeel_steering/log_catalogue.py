"""Lists all types of log lines that a gateway daemon writes."""

from __future__ import annotations

import inspect
from types import ModuleType

from kitekeel_steering import log_messages, request_log_messages
from kitekeel_steering.log_messages import LogMessage


def all_messages() -> list[type[LogMessage]]:
    """Return all log message classes, in the order of their definition, module by module."""
    return [*_messages_of(log_messages), *_messages_of(request_log_messages)]


def _messages_of(module: ModuleType) -> list[type[LogMessage]]:
    found = inspect.getmembers(module, inspect.isclass)
    kinds = [kind for _, kind in found if issubclass(kind, LogMessage) and kind is not LogMessage]
    return sorted(kinds, key=lambda kind: inspect.getsourcelines(kind)[1])
