"""What callers of a tenant get by three ways to keep its limit over all daemons."""

import pytest
from quota_simulation import EqualParts, LentTokens, PartsByDemand, Result, Way, simulate

from kitekeel_steering.tenants import Tenant

DAEMONS = 74
WAYS: dict[str, type[Way]] = {"equal": EqualParts, "demand": PartsByDemand, "lent": LentTokens}


def play(way: str, rate: float, load: float, skew: float = 0.0) -> Result:
    tenant = Tenant("t", rate=rate, burst=rate)
    factory = WAYS[way]
    return simulate(factory(tenant, DAEMONS), tenant, DAEMONS, load, 20.0, 7, skew)  # type: ignore[call-arg]


@pytest.mark.parametrize("rate", [5.0, 20.0, 160.0])
def test_lent_tokens_refuse_nobody_below_the_limit_where_equal_parts_do(rate: float) -> None:
    """At 0.625 of the limit, half of it at a tenth of the daemons: equal parts refuse a third."""
    assert play("lent", rate, 0.625, skew=0.5).refused_below <= 0.001
    assert play("equal", rate, 0.625, skew=0.5).refused_below >= 0.2


@pytest.mark.parametrize("rate", [5.0, 20.0, 160.0])
def test_lent_tokens_keep_the_limit_where_parts_by_demand_do_not(rate: float) -> None:
    """At 4.7 times the limit, as a tenant that sends 7.5 times its usual."""
    lent = play("lent", rate, 4.7)
    assert lent.most_over <= 0
    assert lent.admitted >= 0.95
