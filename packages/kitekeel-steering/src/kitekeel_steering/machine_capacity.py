"""Estimates how many requests per second a machine bears, relative to the others.

Load: machines of very different processors, links and memory serve the same callers, who choose at
random among the addresses they are given. A machine is as strong as the resource that runs out
first. Only ratios between machines are used, so an approximate mean request is enough.
"""

from __future__ import annotations

from kitekeel_steering.gateway_settings import MachineSettings

# A proxied request with its answer: processor time of a core of the usual speed, and the bits that
# cross the link in the busier direction, since each body enters and leaves the machine once.
_PROCESSOR_SECONDS_PER_REQUEST = 0.004
_LINK_BITS_PER_REQUEST = 8 * 8192
# Memory of a daemon that holds no connections, and of the connections that callers and back ends
# keep open for each request per second.
_BASE_MEMORY_BYTES = 80 * 1024 * 1024
_MEMORY_BYTES_PER_REQUEST_RATE = 400 * 1024
MAX_CAPACITY = 10_000


def machine_capacity(machine: MachineSettings) -> int:
    """Return the requests per second that a machine bears, from 1 to :data:`MAX_CAPACITY`.

    Returns 0 if the settings state neither the processors nor the link.
    """
    rates: list[float] = []
    if machine.processors > 0.0:
        rates.append(machine.processors / _PROCESSOR_SECONDS_PER_REQUEST)
    if machine.link_bits_per_second > 0.0:
        rates.append(machine.link_bits_per_second / _LINK_BITS_PER_REQUEST)
    if not rates:
        return 0
    if machine.memory_bytes > 0:
        free_bytes = machine.memory_bytes - _BASE_MEMORY_BYTES
        rates.append(free_bytes / _MEMORY_BYTES_PER_REQUEST_RATE)
    return max(1, min(MAX_CAPACITY, round(min(rates))))
