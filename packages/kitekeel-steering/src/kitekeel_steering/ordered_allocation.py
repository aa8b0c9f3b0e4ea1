"""Divides a limited amount among ranked claims: guaranteed parts first, then the rest in order."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Generic, TypeVar

import msgspec

Amount = TypeVar("Amount", int, float)


class Claim(msgspec.Struct, Generic[Amount], frozen=True):
    """What one of the ranked claimants may get.

    Attributes:
        guaranteed: amount that it gets before anything is handed out in order.
        most: the most it may get; at least ``guaranteed``.
    """

    guaranteed: Amount
    most: Amount


def allocate_in_order(room: Amount, claims: Sequence[Claim[Amount]]) -> list[Amount]:
    """Return the amount of each claim; the guaranteed amounts must not exceed the room together.

    Args:
        room: the amount to divide.
        claims: the claims, the most urgent first.

    Example:
        >>> allocate_in_order(10, [Claim(3, 3), Claim(1, 8)])
        [3, 7]
    """
    allocation = [each.guaranteed for each in claims]
    rest = room - sum(allocation)
    for index, claim in enumerate(claims):
        taken = max(0, min(claim.most - allocation[index], rest))
        allocation[index] += taken
        rest -= taken
    return allocation
