"""Decides when a request without an answer should be sent to a second back end as well.

Load: a back end turns several times as slow while a request is there, and others have room. A
second send then still answers in time, but it is work for the back ends and uses the budget of
retries, so it must be rare while back ends work as usual (Dean and Barroso, "The Tail at Scale").
"""

from __future__ import annotations

import msgspec

from kitekeel_steering.expected_time import DEFAULT_SERVICE_SECONDS, answer_seconds
from kitekeel_steering.placement_policy import Candidate, Placement
from kitekeel_steering.present_speed import SLOW_FACTOR

# A margin over the 96th percentile, so that in calm times well below 4 in 100 sends are overdue.
_LATE_MARGIN = 1.2
# A multiple of the median, from which the speed of the back end is of interest.
_LONG_FACTOR = 1.15
# Scheduling delays of a busy daemon or back end are of this order, and no second send avoids them.
_MIN_OVERDUE_SECONDS = 0.05
_REVIEW_SECONDS = 0.1
# The answer of the second send must also reach the caller.
_RETURN_SECONDS = 0.02


class AwaitedSend(msgspec.Struct, frozen=True):
    """A send whose answer has not arrived; times are monotonic, in seconds.

    Attributes:
        ahead_factor: how much longer than without queueing the answer should take, because of the
            requests ahead of it; at least 1.
        objective_at: time until which the answer is prompt.
        deadline: time by which the caller must have its answer.
    """

    candidate: Candidate
    sent_at: float
    ahead_factor: float
    objective_at: float
    deadline: float

    def overdue_at(self, now: float) -> float:
        """Return when the answer is later than nearly all answers of the service are."""
        times = self.candidate.load.service_times
        late_seconds = _LATE_MARGIN * times.recent_late_seconds(DEFAULT_SERVICE_SECONDS, now)
        return self.sent_at + self._ahead(now) * max(_MIN_OVERDUE_SECONDS, late_seconds)

    def _ahead(self, now: float) -> float:
        """Return the ahead factor, by what is known of the queue now if that is longer."""
        slots = max(1, self.candidate.record.slots)
        return max(self.ahead_factor, self.candidate.load.expected_requests(now) / slots)

    def ask_speed_at(self, now: float) -> float:
        """Return when the back end should be asked for its speed, before the answer is overdue."""
        times = self.candidate.load.service_times
        long_seconds = _LONG_FACTOR * times.recent_usual_seconds(DEFAULT_SERVICE_SECONDS)
        long_at = self.sent_at + self.ahead_factor * max(_MIN_OVERDUE_SECONDS, long_seconds)
        return min(long_at, self.overdue_at(now))

    def review_at(self, now: float) -> float:
        """Return when a send that was not worth a second one should be reviewed again."""
        overdue_at = self.overdue_at(now)
        return overdue_at if overdue_at > now else now + _REVIEW_SECONDS

    def is_second_send_worthwhile(self, placement: Placement, now: float) -> bool:
        """Return whether another back end's answer is expected sooner, and soon enough.

        Within the objective if that is possible. If it is not, the second send only replaces one
        that has not been answered in the time that it should take at the back end's present speed:
        its answer may never come.
        """
        other = placement.candidate
        if other is None or other.is_cold or not other.is_working(now):
            return False
        likely_at = now + _RETURN_SECONDS
        likely_at += answer_seconds(other, True, now, other.load.likely_factor(now))
        if likely_at > self.deadline:
            return False
        factor = self.candidate.load.work_factor(now)
        late_at = self.sent_at + factor * (self.overdue_at(now) - self.sent_at)
        if now >= late_at:
            return True
        is_due = now >= self.overdue_at(now) or factor >= SLOW_FACTOR
        expected_at = now + answer_seconds(other, placement.keeps_object, now)
        is_sooner = expected_at < self._expected_at(factor)
        return is_due and is_sooner and likely_at <= self.objective_at

    def _expected_at(self, factor: float) -> float:
        work_seconds = self.candidate.load.service_seconds(DEFAULT_SERVICE_SECONDS)
        return self.sent_at + self.ahead_factor * work_seconds * factor


def awaited_send(
    candidate: Candidate, now: float, objective_at: float, deadline: float
) -> AwaitedSend:
    """Return a send that is about to begin."""
    ahead = (candidate.load.expected_requests(now) + 1) / max(1, candidate.record.slots)
    return AwaitedSend(candidate, now, max(1.0, ahead), objective_at, deadline)
