"""kitekeeld's platform comes back from a copy: commands and key claims written since are lost."""

from collections.abc import Iterator

import msgspec
import pytest
from loopback import free_address

from kitekeel_lab.platform_server import serve_platform
from kitekeel_lab.platform_store import PlatformStore
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.rpc import PeerClient
from kitekeel_platform.client import PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_platform.key_claims import KeyClaims
from kitekeel_platform.rate_budget import RateBudget
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.metrics import MemoryMetrics
from kitekeel_steering.model import Configuration, Drain, DrainScope

COMMANDS = 3


class Platform(msgspec.Struct, frozen=True):
    """A platform with its store, and a client of it."""

    store: PlatformStore
    client: PlatformClient


@pytest.fixture
def platform() -> Iterator[Platform]:
    address, store = free_address(), PlatformStore()
    server = serve_platform(address, store)
    budget = RateBudget(SystemClock(), 100.0, 100.0)
    yield Platform(store, PlatformClient(address, budget, MemoryMetrics()))
    server.stop()


def drain(configuration: Configuration, zone: str) -> Configuration:
    drains = (*configuration.drains, Drain(DrainScope.ZONE, zone))
    return msgspec.structs.replace(configuration, drains=drains)


def test_a_command_accepted_after_a_restore_of_the_platform_comes_into_force(
    platform: Platform,
) -> None:
    client = PeerClient("secret", MemoryMetrics())
    spread = ConfigurationSpread(client, "p", "d1", lambda _: None, lambda _: None)
    commands = ConfigurationStore(platform.client)

    def accept(zone: str) -> None:
        spread.adopt(commands.change(zone, f"drain {zone}", lambda base: drain(base, zone), 2.0))

    accept("z0")
    copy = platform.store.copy()
    for number in range(COMMANDS):
        accept(f"lost{number}")
    platform.store.restore(copy)
    accept("z1")
    drained = {each.name for each in spread.current().drains}
    assert drained == {"z0", "z1", *(f"lost{number}" for number in range(COMMANDS))}
    client.close()


def test_a_key_claimed_before_a_restore_of_the_platform_keeps_its_home(
    platform: Platform,
) -> None:
    copy = platform.store.copy()
    assert KeyClaims(platform.client, "d1", 60.0).claim("key") == "d1"
    platform.store.restore(copy)
    assert KeyClaims(platform.client, "d2", 60.0).claim("key") == "d1"
