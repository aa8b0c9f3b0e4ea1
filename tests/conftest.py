"""What holds for all tests: one commit has one verdict, whatever ran before."""

from collections.abc import Iterator

import eliot
import pytest
from hypothesis import settings

# Property tests draw the same examples in every run.
settings.register_profile("same-each-time", derandomize=True, database=None, deadline=None)
settings.load_profile("same-each-time")

# Without any destination eliot keeps up to 1,000 messages and hands them to the first one that is
# added, so that a test of lines would be told those of the tests before it.
eliot.add_destinations(lambda _message: None)


@pytest.fixture
def lines() -> Iterator[list[dict[str, object]]]:
    """Collect the log lines written during a test."""
    found: list[dict[str, object]] = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)
