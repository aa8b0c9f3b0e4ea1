"""What a process uses, from the kernel's tables."""

from __future__ import annotations

import os
import resource
from pathlib import Path

_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = resource.getpagesize()
# Places in /proc/PID/stat after the command's name, in clock ticks.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
_RESIDENT_PAGES_FIELD = 1


def processor_seconds(process: int | str) -> float:
    """Return the processor time that a process has used, user and system."""
    fields = Path(f"/proc/{process}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks / _CLOCK_TICKS


def resident_bytes(process: int | str) -> int:
    """Return a process's resident memory."""
    pages = Path(f"/proc/{process}/statm").read_text().split()[_RESIDENT_PAGES_FIELD]
    return int(pages) * _PAGE_BYTES
