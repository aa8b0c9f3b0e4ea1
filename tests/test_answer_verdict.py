"""What an answer says about whether its request ran."""

import pytest

from kitekeel_backends.exchange_messages import AnswerMatch, ReceivedHead
from kitekeel_daemon.answer_verdict import Verdict, judge_answer
from kitekeel_steering.proxied_messages import HeaderNames

NAMES = HeaderNames()
NOT_RUN = ((NAMES.not_run, b"1"),)


def judge(
    status: int, states_not_run: bool, match: AnswerMatch = AnswerMatch.REQUEST_ID
) -> Verdict:
    return judge_answer(ReceivedHead(status, b"", NOT_RUN if states_not_run else (), match), NAMES)


@pytest.mark.parametrize("status", [400, 429, 503])
def test_a_rejection_must_state_that_the_request_was_not_run(status: int) -> None:
    assert judge(status, states_not_run=True) is Verdict.REJECTED
    assert judge(status, states_not_run=False) is Verdict.RAN


@pytest.mark.parametrize("states_not_run", [False, True])
def test_a_back_end_that_is_not_the_named_one_has_not_run_the_request(states_not_run: bool) -> None:
    assert judge(421, states_not_run) is Verdict.REPLACED


@pytest.mark.parametrize("status", [200, 204, 301, 404, 408, 409, 500, 502, 504])
def test_other_statuses_count_as_run_whatever_the_answer_states(status: int) -> None:
    assert judge(status, states_not_run=True) is Verdict.CONTRADICTORY
    assert judge(status, states_not_run=False) is Verdict.RAN


@pytest.mark.parametrize("status", [421, 429, 503])
def test_a_rejection_without_the_id_of_its_request_counts_as_run(status: int) -> None:
    assert judge(status, True, AnswerMatch.NEW_CONNECTION).may_have_run
    assert not judge(status, True, AnswerMatch.UNIDENTIFIED).may_have_run


def test_a_back_end_that_could_not_read_the_id_may_reject_without_it() -> None:
    assert judge(400, True, AnswerMatch.NEW_CONNECTION) is Verdict.REJECTED
