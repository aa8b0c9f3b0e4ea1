"""What holds for all tests: one commit has one verdict, whatever ran before."""

import gc
import json
from collections import deque
from collections.abc import Generator, Iterator
from typing import Any

import eliot
import pytest
from hypothesis import settings

# Property tests draw the same examples in every run.
settings.register_profile("same-each-time", derandomize=True, database=None, deadline=None)
settings.load_profile("same-each-time")

_MAX_LINES_SHOWN = 2000
_last_lines: deque[dict[str, Any]] = deque(maxlen=_MAX_LINES_SHOWN)

# Without any destination eliot keeps up to 1,000 messages and hands them to the first one that is
# added, so that a test of lines would be told those of the tests before it.
eliot.add_destinations(_last_lines.append)


@pytest.hookimpl(hookwrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, Any, None]:
    """Show what the daemons of a failed test have logged.

    A report is made without collections: a finalizer that formats a traceback parses source, and
    within another ``ast.parse`` this raises ``SystemError``, which ends the whole run.
    """
    gc.disable()
    result = yield
    gc.enable()
    report = result.get_result()
    if call.when == "setup":
        _last_lines.clear()
    if report.failed and _last_lines:
        text = "\n".join(json.dumps(each, default=str) for each in _last_lines)
        report.sections.append(("Log lines", text))


@pytest.fixture(autouse=True)
def _keep_earlier_objects_out_of_collections() -> None:
    """Keep what earlier tests left from lengthening the collections in tests that measure times.

    All gateways of a test run in this process, whose full collections stop them.
    """
    gc.collect()
    gc.freeze()


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    """Collect the log lines written during a test."""
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)
