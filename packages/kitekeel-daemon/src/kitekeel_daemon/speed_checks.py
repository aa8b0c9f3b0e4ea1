"""Asks the back end that a request would be sent to for its speed, if the last report is too old.

Load: back ends that take several times as long for a second or so, in turn, and daemons that send
each of them about one request a second. The answer of a back end that has turned slow arrives when
it has recovered, so answers alone do not tell a daemon which ones to avoid. The question is asked
before the request is sent (Prequal's synchronous probing, Wydrowski et al., 2024), and only while
back ends of the service were slow lately.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from kitekeel_daemon.back_end_states import BackEndStates
from kitekeel_daemon.routed_request import RoutedRequest
from kitekeel_daemon.speed_probes import SpeedProbes
from kitekeel_steering.clock import Clock
from kitekeel_steering.placement_policy import Candidate, Placement

# The second question is asked if the first back end turns out to be slow.
_MAX_QUESTIONS = 2
# A working back end answers its health path within a few milliseconds in a region. Longer waits
# would cost requests more than an occasional slow back end does.
_MAX_WAIT_SECONDS = 0.05
# Part of a request's remaining time that a question may take.
_MAX_WAIT_SHARE = 0.1


class SpeedChecks:
    """Updates the speeds of back ends just before requests are placed; used on one event loop.

    Args:
        place: names the back end that a request would be sent to, without counting a placement.
        states: tells which services had slow back ends lately; nothing is decided for the others.
        probes: asks back ends for their present speed.
    """

    def __init__(
        self,
        place: Callable[[RoutedRequest], Placement],
        states: BackEndStates,
        probes: SpeedProbes,
        clock: Clock,
    ) -> None:
        self._place = place
        self._states = states
        self._probes = probes
        self._clock = clock
        self._questions: set[asyncio.Task[None]] = set()

    async def check(self, routed: RoutedRequest) -> None:
        """Ask for the speed of the back ends that a request would be sent to, one after another."""
        if not self._states.had_slow_back_ends(routed.service):
            return
        asked: Candidate | None = None
        for _ in range(_MAX_QUESTIONS):
            candidate = self._place(routed).candidate
            if candidate is None or not candidate.load.needs_speed_report(self._clock.monotonic()):
                return
            if asked is not None and candidate.load is asked.load:
                # It did not answer, or may not be asked.
                return
            asked = candidate
            question = asyncio.create_task(self._probes.ask(candidate, routed.regions or ()))
            self._questions.add(question)
            question.add_done_callback(self._questions.discard)
            await asyncio.wait({question}, timeout=self._max_wait_seconds(routed))

    def _max_wait_seconds(self, routed: RoutedRequest) -> float:
        remaining_seconds = max(0.0, routed.deadline - self._clock.monotonic())
        return min(_MAX_WAIT_SECONDS, _MAX_WAIT_SHARE * remaining_seconds)
