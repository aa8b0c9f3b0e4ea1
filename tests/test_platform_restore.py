"""kitekeeld's platform comes back from a copy: commands and key claims written since are lost."""

import threading
import time
from collections.abc import Iterator

import msgspec
import pytest
from loopback import free_address

from kitekeel_daemon.platform_follower import PlatformFollower
from kitekeel_lab.platform_server import serve_platform
from kitekeel_lab.platform_store import PlatformStore
from kitekeel_peers.configuration_spread import ConfigurationSpread
from kitekeel_peers.keeper import Keeper
from kitekeel_peers.rpc import PeerClient
from kitekeel_platform.client import PlatformClient
from kitekeel_platform.configuration_store import ConfigurationStore
from kitekeel_platform.key_claims import KeyClaims
from kitekeel_platform.rate_budget import RateBudget
from kitekeel_steering.clock import SystemClock
from kitekeel_steering.grant_timing import GrantTiming
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
        changed = commands.change(
            zone, f"drain {zone}", lambda base: drain(base, zone), 2.0, spread.current
        )
        assert spread.adopt(changed)

    accept("z0")
    copy = platform.store.copy()
    for number in range(COMMANDS):
        accept(f"lost{number}")
    platform.store.restore(copy)
    accept("z1")
    drained = {each.name for each in spread.current().drains}
    assert drained == {"z0", "z1", *(f"lost{number}" for number in range(COMMANDS))}
    client.close()


def test_a_daemon_that_watches_writes_again_what_a_restore_has_lost(platform: Platform) -> None:
    client = PeerClient("secret", MemoryMetrics())
    spread = ConfigurationSpread(client, "p", "d1", lambda _: None, lambda _: None)
    commands = ConfigurationStore(platform.client)
    told: list[tuple[str, str]] = []
    follower = PlatformFollower(
        platform.client,
        commands,
        spread,
        Keeper("d1", SystemClock(), GrantTiming(), lambda *_: None),
        Recorder(told),  # type: ignore[arg-type]
        lambda: True,
        lambda: False,
    )
    for number in range(2):
        zone = f"z{number}"
        changed = commands.change(zone, zone, lambda base, zone=zone: drain(base, zone), 2.0)
        spread.adopt(changed)
        if number == 0:
            copy = platform.store.copy()
    stop = threading.Event()
    thread = threading.Thread(target=follower.loops()[0], args=(stop,))
    thread.start()
    platform.store.restore(copy)
    end = time.monotonic() + 3.0
    while len(commands.load().drains) < 2 and time.monotonic() < end:
        time.sleep(0.02)
    assert {each.name for each in commands.load().drains} == {"z0", "z1"}
    assert spread.order().era == 2
    assert [name for name, _ in told] == ["platform-restored"]
    stop.set()
    # Ends the watch that waits.
    platform.store.restore(platform.store.copy())
    thread.join(5.0)
    client.close()


def test_the_copy_that_a_platform_came_back_with_does_not_come_into_force(
    platform: Platform,
) -> None:
    client = PeerClient("secret", MemoryMetrics())
    spread = ConfigurationSpread(client, "p", "d1", lambda _: None, lambda _: None)
    commands = ConfigurationStore(platform.client)
    spread.adopt(commands.change("z0", "z0", lambda base: drain(base, "z0"), 2.0))
    copy = platform.store.copy()
    spread.adopt(commands.change("z1", "z1", lambda base: drain(base, "z1"), 2.0))
    platform.store.restore(copy)
    assert not spread.adopt(commands.load())
    assert {each.name for each in spread.current().drains} == {"z0", "z1"}
    client.close()


class Recorder:
    """Collects events."""

    def __init__(self, told: list[tuple[str, str]]) -> None:
        self._told = told

    def add(self, name: str, detail: str) -> None:
        self._told.append((name, detail))


def test_a_key_claimed_before_a_restore_of_the_platform_keeps_its_home(
    platform: Platform,
) -> None:
    copy = platform.store.copy()
    assert KeyClaims(platform.client, "d1", 60.0).claim("key") == "d1"
    platform.store.restore(copy)
    assert KeyClaims(platform.client, "d2", 60.0).claim("key") == "d1"
