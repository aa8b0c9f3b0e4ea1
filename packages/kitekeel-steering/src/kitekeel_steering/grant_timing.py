"""The time limits that make grants safe, and the relations between them.

A holder measures a grant's lifetime from when it *sent* the request, the keeper from when it
*received* it, so a grant always ends later for the keeper than for the holder. A voter commits its
vote to one keeper until ``switch_seconds`` after it last sent a request to it. The keeper dates a
vote by the last of its own replies that the voter has received, and counts the vote for
``vote_freshness_seconds`` from then. Therefore

    switch >= vote_freshness + grant_life

ensures that all grants of a keeper end before its voters may switch to another one, regardless of
message delays and of how long the keeper was suspended.
"""

from __future__ import annotations

import msgspec


class GrantTiming(msgspec.Struct, frozen=True):
    """Time limits and intervals of grants, in seconds.

    Attributes:
        grant_life_seconds: lifetime of a grant, from sending the request.
        exchange_interval_seconds: time between two renewals.
        urgent_interval_seconds: minimum time between two exchanges when demand rises.
        call_timeout_seconds: how long a holder waits for a reply.
        vote_freshness_seconds: how long the keeper counts a vote.
        report_lag_seconds: maximum lag of a back end's load report.
        clock_margin_seconds: how long before the end of a grant a holder stops using it.
    """

    grant_life_seconds: float = 2.0
    exchange_interval_seconds: float = 0.25
    urgent_interval_seconds: float = 0.05
    call_timeout_seconds: float = 0.5
    vote_freshness_seconds: float = 1.25
    report_lag_seconds: float = 1.0
    clock_margin_seconds: float = 0.05

    @property
    def switch_seconds(self) -> float:
        """Return how long a voter stays with a keeper that does not respond."""
        return self.vote_freshness_seconds + self.grant_life_seconds + self.clock_margin_seconds
