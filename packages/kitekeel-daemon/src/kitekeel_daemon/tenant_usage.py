"""Measures the request rates of each tenant at this daemon, for reports to operators."""

from __future__ import annotations

from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_rate import DemandRate
from kitekeel_steering.routing import RouteTable
from kitekeel_steering.tenant_reports import TenantReport

_RATE_DECAY_SECONDS = 10.0


class _RequestRates:
    def __init__(self, now: float) -> None:
        self.admitted = DemandRate(now, _RATE_DECAY_SECONDS)
        self.refused = DemandRate(now, _RATE_DECAY_SECONDS)


class TenantUsage:
    """The rates of admitted and refused requests of each tenant at one daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rates_by_tenant: dict[str, _RequestRates] = {}

    def note(self, tenant: str, is_admitted: bool) -> None:
        """Count a request."""
        now = self._clock.monotonic()
        rates = self._rates_by_tenant.get(tenant)
        if rates is None:
            rates = self._rates_by_tenant[tenant] = _RequestRates(now)
        (rates.admitted if is_admitted else rates.refused).note(1, now)

    def reports(self, routes: RouteTable) -> tuple[TenantReport, ...]:
        """Return a report on every tenant of the configuration, and discard all other tenants."""
        tenants = routes.tenants.all()
        names = {each.name for each in tenants}
        self._rates_by_tenant = {
            name: rates for name, rates in self._rates_by_tenant.items() if name in names
        }
        now = self._clock.monotonic()
        unused = _RequestRates(now)
        return tuple(
            TenantReport(
                each.name,
                each.rate,
                each.burst,
                len(each.key_digests),
                round(self._rates_by_tenant.get(each.name, unused).admitted.per_second(now), 2),
                round(self._rates_by_tenant.get(each.name, unused).refused.per_second(now), 2),
            )
            for each in tenants
        )
