"""Addresses for tests cannot be taken by anybody else before they are bound.

Neither by an outgoing connection, nor by another run on the same machine: a scenario once waited
40 s in vain for back ends to start, as another cluster had been handed one of their addresses.
Runs whose process numbers differed by 90 were handed 110 of 120 addresses in common.
"""

import subprocess
import sys
from pathlib import Path

from loopback import free_address

_EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_ports_lie_below_those_that_the_kernel_hands_out() -> None:
    first_ephemeral = int(_EPHEMERAL_RANGE.read_text().split()[0])
    ports = [int(free_address().rpartition(":")[2]) for _ in range(50)]
    assert max(ports) < first_ephemeral
    assert len(set(ports)) == len(ports)


_DRAW = """
import os, sys
os.getpid = lambda: 4711
from kitekeel_lab.ports import free_address
print(*(free_address() for _ in range(600)), flush=True)
sys.stdin.read()
"""


def test_runs_side_by_side_are_handed_no_address_in_common() -> None:
    """Not even where both begin to look at the same place."""
    runs = [
        subprocess.Popen(
            [sys.executable, "-c", _DRAW], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        for _ in range(3)
    ]
    try:
        drawn = [set(each.stdout.readline().split()) for each in runs if each.stdout is not None]
    finally:
        for each in runs:
            each.communicate()
    assert [len(each) for each in drawn] == [600, 600, 600]
    assert len(set.union(*drawn)) == 1800
