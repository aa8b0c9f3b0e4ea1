"""Starts child processes that the kernel ends when their parent dies, so that none is left over."""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import IO

_SET_PARENT_DEATH_SIGNAL = 1
_LIBC = ctypes.CDLL(None)


# The kernel ends a child with the *thread* that started it, so all are started by one that stays.
_STARTER = ThreadPoolExecutor(1, thread_name_prefix="starter")


def start_python(
    arguments: list[str], log: IO[bytes] | int, variables: Mapping[str, str] | None = None
) -> subprocess.Popen[bytes]:
    """Start the interpreter.

    Args:
        arguments: of the interpreter.
        log: takes all output.
        variables: added to this process's environment.
    """
    return _STARTER.submit(_start, arguments, log, {**os.environ, **(variables or {})}).result()


def _start(
    arguments: list[str], log: IO[bytes] | int, environment: Mapping[str, str]
) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=log,
        stderr=subprocess.STDOUT,
        preexec_fn=_end_with_parent,
        env=environment,
    )


def _end_with_parent() -> None:
    _LIBC.prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)
