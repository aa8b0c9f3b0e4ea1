"""Decides which requests to quarantine, based on the process ends recorded for each.

A request is quarantined when three back-end processes have ended while running it and it was not
answered in between. When a process ends, every request that it was running is a suspect. Two rules
release the requests that did not cause the end:

* A complete answer shows that a request is harmless; its earlier ends no longer count.
* The end of a process is explained by one request. Requests with the most ends are evaluated first,
  and each of the others needs at least two ends that are still unexplained. A request that was
  wrongly identified as the cause is therefore released as soon as the actual cause has ended one
  more process.

A request with several recent complete answers before an end is probably harmless. It is evaluated
last, counts only the ends that no other suspect with two or more ends and without such answers
explains, and needs twice as many of them. Otherwise, when many requests end back-end processes at
the same time, a frequent harmless request would reach its third end before all of them did, and
would be quarantined for ends that they caused.
"""

from __future__ import annotations

from collections.abc import Collection

from kitekeel_steering.crash_records import ENDS_UNTIL_QUARANTINE_IF_ANSWERED, CrashRecord

_MIN_UNEXPLAINED_ENDS = 2
# An unanswered suspect with fewer ends does not explain the ends of answered requests.
_MIN_EXPLAINING_ENDS = 2


def may_be_cause(record: CrashRecord) -> bool:
    """Return whether the request has enough ends to be quarantined."""
    return len(record.ends) >= record.ends_until_quarantine


def find_causes(records: Collection[CrashRecord]) -> frozenset[str]:
    """Return the identities of the requests to quarantine as the causes of the ends."""
    candidates = [each for each in records if may_be_cause(each)]
    candidates.sort(key=lambda each: (-len(each.ends), each.identity))
    unanswered = [each for each in candidates if not each.was_answered]
    answered = [each for each in candidates if each.was_answered]
    explained: set[str] = set()
    causes = _select_causes(unanswered, explained, _MIN_UNEXPLAINED_ENDS)
    if answered:
        explained.update(_ends_explained_by_unanswered(records))
        causes += _select_causes(answered, explained, ENDS_UNTIL_QUARANTINE_IF_ANSWERED)
    return frozenset(each.identity for each in causes)


def _select_causes(
    candidates: list[CrashRecord], explained: set[str], min_unexplained_ends: int
) -> list[CrashRecord]:
    """Return the requests with enough unexplained ends and add their ends to ``explained``."""
    causes: list[CrashRecord] = []
    for each in candidates:
        if len(set(each.ends) - explained) >= min_unexplained_ends:
            causes.append(each)
            explained.update(each.ends)
    return causes


def _ends_explained_by_unanswered(records: Collection[CrashRecord]) -> set[str]:
    """Return the ends of unanswered suspects that have enough ends to explain them."""
    suspects = [
        each for each in records if not each.was_answered and len(each.ends) >= _MIN_EXPLAINING_ENDS
    ]
    return {end for each in suspects for end in each.ends}
