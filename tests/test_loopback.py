"""Addresses for tests cannot be taken by somebody's outgoing connection before they are bound."""

from pathlib import Path

from loopback import free_address

_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_lie_below_those_that_the_kernel_hands_out() -> None:
    first_ephemeral = int(_EPHEMERAL_RANGE.read_text().split()[0])
    ports = [int(free_address().rpartition(":")[2]) for _ in range(50)]
    assert max(ports) < first_ephemeral
    assert len(set(ports)) == len(ports)
