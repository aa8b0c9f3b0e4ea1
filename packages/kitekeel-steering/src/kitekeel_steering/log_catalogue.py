"""Lists all types of log lines that a gateway daemon writes."""

from __future__ import annotations

import inspect
from types import ModuleType

from kitekeel_steering import (
    back_end_log_messages,
    load_log_messages,
    log_messages,
    request_log_messages,
    store_log_messages,
)
from kitekeel_steering.log_messages import LogMessage

_MODULES = (
    log_messages,
    store_log_messages,
    back_end_log_messages,
    load_log_messages,
    request_log_messages,
)


def all_messages() -> list[type[LogMessage]]:
    """Return all log message classes, in the order of their definition, module by module."""
    return [message for module in _MODULES for message in _messages_of(module)]


def _messages_of(module: ModuleType) -> list[type[LogMessage]]:
    found = inspect.getmembers(module, inspect.isclass)
    kinds = [
        kind
        for _, kind in found
        if issubclass(kind, LogMessage) and kind.__module__ == module.__name__
    ]
    kinds = [kind for kind in kinds if kind is not LogMessage]
    return sorted(kinds, key=lambda kind: inspect.getsourcelines(kind)[1])
