"""A script of the tests as a process of its own, which is killed at the end."""

import subprocess
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from kitekeel_lab.child_process import start_python

FOLDER = Path(__file__).resolve().parent


@contextmanager
def script_process(script: str, *arguments: str) -> Iterator[subprocess.Popen[bytes]]:
    """Run a script of this folder, from its line ``ready`` on, with its output in a pipe."""
    process = start_python([str(FOLDER / script), *arguments], subprocess.PIPE)
    try:
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        yield process
    finally:
        process.kill()
        process.wait()
