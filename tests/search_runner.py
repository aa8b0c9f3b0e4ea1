"""A runner of requests for one service, whose slots are granted for good."""

import msgspec

from kitekeel_backends.forwarding import Forwarder
from kitekeel_callers.caller_request import CallerRequest, RequestLimits, RequestReader
from kitekeel_daemon.back_end_announcements import BackEndAnnouncements
from kitekeel_daemon.event_recorder import EventRecorder
from kitekeel_daemon.request_guard import RequestGuard
from kitekeel_daemon.request_runner import RequestRunner
from kitekeel_lab.deployment import sample_text
from kitekeel_steering.admission import ServiceAdmission
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.configuration_text import parse_configuration
from kitekeel_steering.events import EventLog, HybridClock
from kitekeel_steering.grant_messages import (
    Allowance,
    DemandKey,
    ExchangeReply,
    KeeperState,
    PoolName,
    Quota,
)
from kitekeel_steering.grant_table import HolderIdentity
from kitekeel_steering.grant_timing import GrantTiming
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration
from kitekeel_steering.unavailable_back_ends import UnavailableBackEnds

POOL = PoolName("search", "nl-noord")


def search_configuration(*addresses: str) -> Configuration:
    """The catalogue network with back ends of one pool alone, where a test's servers listen."""
    given = parse_configuration(sample_text("catalogue"))
    own = [
        each
        for each in given.back_ends
        if (each.service, each.region) == (POOL.service, POOL.region)
    ]
    local = tuple(
        msgspec.structs.replace(back_end, address=address)
        for back_end, address in zip(own, addresses, strict=False)
    )
    return msgspec.structs.replace(given, back_ends=local, revision=1)


def admission_with(
    configuration: Configuration, slots: int, unavailable: UnavailableBackEnds | None = None
) -> ServiceAdmission:
    identity = HolderIdentity("d1", POOL.region, 1)
    admission = ServiceAdmission(
        POOL.service, identity, SystemClock(), GrantTiming(), lambda _pool: None, unavailable
    )
    admission.configure(configuration)
    request = admission.prepare_exchange(POOL, True, False, 0.0)
    service = configuration.find_service(POOL.service)
    assert service is not None
    admission.apply_reply(
        POOL,
        ExchangeReply(
            request.sequence,
            KeeperState.GRANTING,
            tuple(Allowance(each.name, slots) for each in configuration.back_ends),
            tuple(Quota(DemandKey(each.name), 100) for each in service.classes),
            1.0,
        ),
    )
    return admission


def caller_request(deadline_ms: int, request_id: str = "r1", path: str = "x") -> CallerRequest:
    environment = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": f"/v1/services/search/{path}",
        "HTTP_KITEKEEL_DEADLINE_MS": str(deadline_ms),
        "HTTP_KITEKEEL_REQUEST_ID": request_id,
        "HTTP_KITEKEEL_CLASS": "patron",
    }
    return RequestReader(RequestLimits(), POOL.region).read(environment)


def lone_guard() -> RequestGuard:
    """A guard without other daemons; its loop must run for it to learn."""
    return RequestGuard(SystemClock(), MemoryMetrics(), lone_recorder())


def lone_recorder() -> EventRecorder:
    return EventRecorder(EventLog("d1", HybridClock(SystemClock())), "d1")


def runner_at(
    *addresses: str,
    slots: int = 5,
    forwarder: Forwarder | None = None,
    guard: RequestGuard | None = None,
) -> tuple[RequestRunner, ServiceAdmission]:
    configuration = search_configuration(*addresses)
    unavailable = UnavailableBackEnds(SystemClock())
    admission = admission_with(configuration, slots, unavailable)
    runner = RequestRunner(
        lambda: configuration,
        lambda _service: admission,
        forwarder or Forwarder(),
        MemoryMetrics(),
        guard or lone_guard(),
        BackEndAnnouncements(unavailable, MemoryMetrics(), lone_recorder()),
    )
    return runner, admission
