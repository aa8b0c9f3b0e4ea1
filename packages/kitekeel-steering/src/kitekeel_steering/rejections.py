"""Distinguishes rejections by a full back end from those of a service that rejects at random.

Some services reject a share of their requests on every back end although slots are free. The key's
first back end has cached the object, and the others reject as often, so retrying there serves more
callers in time than moving on to a back end that must load the object.
"""

from __future__ import annotations

import math

from kitekeel_steering.back_end_load import AnsweredLoad

_TIME_CONSTANT_SECONDS = 2.0
# Share of the service's answers. Below it, the next back end will most probably accept the request.
_COMMON_REJECTION_SHARE = 0.25
# With fewer answers, the share is not significant.
_MIN_ANSWERS = 4.0


def had_free_slot(report: AnsweredLoad | None) -> bool:
    """Return whether a rejecting back end's own report says that it had a free slot."""
    return report is not None and report.running < report.slots and report.waiting == 0


class ServiceRejections:
    """The recent share of one service's answers that are rejections despite a free slot.

    Args:
        now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._answers = 0.0
        self._rejections = 0.0
        self._updated_at = now

    def note_answer(self, is_needless_rejection: bool, now: float) -> None:
        """Count an answer from any back end of the service."""
        self._decay(now)
        self._answers += 1.0
        self._rejections += is_needless_rejection

    def are_common(self, now: float) -> bool:
        """Return whether another back end would probably reject the request as well."""
        self._decay(now)
        has_enough_answers = self._answers >= _MIN_ANSWERS
        return has_enough_answers and self._rejections >= _COMMON_REJECTION_SHARE * self._answers

    def _decay(self, now: float) -> None:
        factor = math.exp((self._updated_at - now) / _TIME_CONSTANT_SECONDS)
        self._answers *= factor
        self._rejections *= factor
        self._updated_at = now
