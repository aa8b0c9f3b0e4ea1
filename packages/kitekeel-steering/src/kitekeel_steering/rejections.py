"""Tells rejections that a full back end makes from those of a service that rejects at random.

The load in question: every back end of a service rejects a part of its requests although slots are
free. The key's first back end has the object at hand, and others reject as often, so that sending a
request there once more serves more callers in time than moving on to one that must load the object.
"""

from __future__ import annotations

import math

from kitekeel_steering.back_end_load import AnsweredLoad

_MEMORY_SECONDS = 2.0
# Of the service's answers. With fewer, the next back end most probably takes the request.
_COMMON_SHARE = 0.25
# Fewer answers say little.
_LEAST_ANSWERS = 4.0


def had_free_slot(report: AnsweredLoad | None) -> bool:
    """Tell whether a back end that rejected a request says that it could have begun it at once."""
    return report is not None and report.running < report.slots and report.waiting == 0


class ServiceRejections:
    """How large a part of one service's answers rejects requests without need, lately.

    Args:
        now: monotonic time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._answers = 0.0
        self._rejections = 0.0
        self._updated_at = now

    def note_answer(self, is_needless_rejection: bool, now: float) -> None:
        """Count an answer of any back end of the service."""
        self._fade(now)
        self._answers += 1.0
        self._rejections += is_needless_rejection

    def are_common(self, now: float) -> bool:
        """Tell whether the next back end would probably reject a request as well."""
        self._fade(now)
        is_enough = self._answers >= _LEAST_ANSWERS
        return is_enough and self._rejections >= _COMMON_SHARE * self._answers

    def _fade(self, now: float) -> None:
        factor = math.exp((self._updated_at - now) / _MEMORY_SECONDS)
        self._answers *= factor
        self._rejections *= factor
        self._updated_at = now
