"""The times that make grants safe, and the relations between them.

A holder counts a grant's life from the moment it *sent* the request, the keeper from the moment it
*received* it, so the keeper's end is always the later one. A voter promises its vote to one keeper
until ``switch_seconds`` after it last sent to it. The keeper dates a vote by the last of its own
replies that the voter has seen, and counts it for ``vote_freshness_seconds`` from then. Therefore

    switch >= vote_freshness + grant_life

makes every grant of a keeper end before its voters may turn to another one, however long messages
were under way and however long the keeper was frozen.
"""

from __future__ import annotations

import msgspec


class GrantTiming(msgspec.Struct, frozen=True):
    """All in seconds.

    Attributes:
        grant_life_seconds: how long a grant is good for, from sending the request.
        exchange_interval_seconds: time between two renewals.
        urgent_interval_seconds: least time between two exchanges when demand rises.
        call_timeout_seconds: how long a holder waits for a reply.
        vote_freshness_seconds: how long the keeper counts a vote.
        report_lag_seconds: most time by which a back end's load report lags.
        clock_margin_seconds: by how much earlier a holder stops than the grant's end.
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
        """Return how long a voter stays with a silent keeper."""
        return self.vote_freshness_seconds + self.grant_life_seconds + self.clock_margin_seconds
