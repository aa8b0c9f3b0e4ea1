"""Judges by an answer whether its back end ran the request.

The judgement is one-sided: what is not certainly a rejection of this send counts as run.
"""

from __future__ import annotations

import enum
from http import HTTPStatus

from kitekeel_backends.exchange_messages import AnswerMatch, ReceivedHead
from kitekeel_steering.proxied_messages import HeaderNames, find_header

# Statuses with which back ends reject requests. They fail a request that they ran with others.
_REJECTING_STATUSES = frozenset(
    {
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class Verdict(enum.Enum):
    """What an answer says about its request.

    ``RAN``: it may have run. ``REJECTED``: it was not run. ``REPLACED``: it was not run, as another
    process has the address of its back end. ``CONTRADICTORY``: it may have run, although the answer
    states that it was not.
    """

    RAN = "ran"
    REJECTED = "rejected"
    REPLACED = "replaced"
    CONTRADICTORY = "contradictory"

    @property
    def may_have_run(self) -> bool:
        """Return whether the back end may have run the request."""
        return self in (Verdict.RAN, Verdict.CONTRADICTORY)


def judge_answer(head: ReceivedHead, names: HeaderNames) -> Verdict:
    """Return what the head of an answer says about its request."""
    states_not_run = find_header(head.headers, names.not_run) is not None
    is_replaced = head.status == HTTPStatus.MISDIRECTED_REQUEST
    if not states_not_run and not is_replaced:
        return Verdict.RAN
    if head.status not in _REJECTING_STATUSES or not _is_identified(head):
        return Verdict.CONTRADICTORY
    return Verdict.REPLACED if is_replaced else Verdict.REJECTED


def _is_identified(head: ReceivedHead) -> bool:
    """Return whether the head names its request, or answers one whose id could not be read."""
    is_unreadable = head.status == HTTPStatus.BAD_REQUEST
    return is_unreadable or head.matched_by is not AnswerMatch.NEW_CONNECTION
