"""Counts each tenant's requests at this daemon, for operators."""

from __future__ import annotations

from kitekeel_steering.clock import Clock
from kitekeel_steering.demand_rate import DemandRate
from kitekeel_steering.routing import RouteTable
from kitekeel_steering.tenant_reports import TenantReport

_MEMORY_SECONDS = 10.0


class _Use:
    def __init__(self, now: float) -> None:
        self.admitted = DemandRate(now, _MEMORY_SECONDS)
        self.refused = DemandRate(now, _MEMORY_SECONDS)


class TenantUsage:
    """The use of one daemon."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._uses: dict[str, _Use] = {}

    def note(self, tenant: str, is_admitted: bool) -> None:
        """Count a request."""
        now = self._clock.monotonic()
        use = self._uses.get(tenant)
        if use is None:
            use = self._uses[tenant] = _Use(now)
        (use.admitted if is_admitted else use.refused).note(1, now)

    def reports(self, routes: RouteTable) -> tuple[TenantReport, ...]:
        """Return the use of every tenant of a configuration, and forget the others."""
        tenants = routes.tenants.all()
        names = {each.name for each in tenants}
        self._uses = {name: use for name, use in self._uses.items() if name in names}
        now = self._clock.monotonic()
        unused = _Use(now)
        return tuple(
            TenantReport(
                each.name,
                each.rate,
                each.burst,
                len(each.key_digests),
                round(self._uses.get(each.name, unused).admitted.per_second(now), 2),
                round(self._uses.get(each.name, unused).refused.per_second(now), 2),
            )
            for each in tenants
        )
