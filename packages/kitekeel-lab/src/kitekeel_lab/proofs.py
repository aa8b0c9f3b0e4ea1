"""Compares what callers were told with what back ends ran: the checks behind every proof."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from kitekeel_lab.back_end_messages import BackEndRecord
from kitekeel_lab.caller import CallerOutcome, Result
from kitekeel_lab.load_messages import LoadRecord


class Breaches(msgspec.Struct, frozen=True):
    """Promises that were broken, by request id; all empty when none was.

    Attributes:
        doubled: requests that may not be repeated and ran more than once.
        false_not_run: requests reported as not run that were run.
        lost: requests whose caller got no answer at all.
        cut: answers that ended early.
        wrong: answers that were not the caller's own and whole.
        not_run_but_answered: answered requests that no back end ran.
    """

    doubled: tuple[str, ...]
    false_not_run: tuple[str, ...]
    lost: tuple[str, ...]
    cut: tuple[str, ...]
    wrong: tuple[str, ...]
    not_run_but_answered: tuple[str, ...]

    def count(self) -> int:
        """Return how many breaches there are in all."""
        return sum(len(getattr(self, name)) for name in self.__struct_fields__)

    def broken_promises(self) -> int:
        """Return how many there are that hold even while daemons are killed.

        A caller of a killed daemon loses its connection, which is neither a false nor a foreign
        answer.
        """
        promised = (self.doubled, self.false_not_run, self.wrong, self.not_run_but_answered)
        return sum(len(each) for each in promised)


def find_breaches(
    outcomes: Iterable[LoadRecord | CallerOutcome],
    records: Mapping[str, BackEndRecord],
    repeatable: frozenset[str],
) -> Breaches:
    """Return the breaches among some requests.

    Args:
        outcomes: what callers were told.
        records: what back ends ran.
        repeatable: ids of requests that may run more than once.
    """
    runs: dict[str, int] = {}
    for record in records.values():
        for request_id, count in record.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    by_result: dict[Result, list[LoadRecord | CallerOutcome]] = {}
    for outcome in outcomes:
        by_result.setdefault(outcome.result, []).append(outcome)
    answered = [each for each in by_result.get(Result.ANSWERED, []) if each.status < 500]
    return Breaches(
        doubled=tuple(name for name, count in runs.items() if count > 1 and name not in repeatable),
        false_not_run=tuple(
            each.request_id for each in by_result.get(Result.NOT_RUN, []) if each.request_id in runs
        ),
        lost=_ids(by_result.get(Result.LOST, [])),
        cut=_ids(by_result.get(Result.CUT, [])),
        wrong=_ids(by_result.get(Result.WRONG, [])),
        not_run_but_answered=_ids(each for each in answered if each.request_id not in runs),
    )


def _ids(outcomes: Iterable[LoadRecord | CallerOutcome]) -> tuple[str, ...]:
    return tuple(each.request_id for each in outcomes)
