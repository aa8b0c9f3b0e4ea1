"""Reports of failed tests, which pytest makes from their source and frames."""

import os
import subprocess
import sys
from pathlib import Path

TESTS = Path(__file__).resolve().parent
# A finalizer that formats a traceback parses source as well. Each leaves garbage for the next.
FAILING_TEST = """
import ast
import gc


class ParsingGarbage:
    left = 20_000

    def __init__(self):
        self.cycle = self

    def __del__(self):
        ast.parse("1 + 2")
        ParsingGarbage.left -= 1
        if ParsingGarbage.left > 0:
            ParsingGarbage()


def test_that_fails():
    gc.set_threshold(20)
    ParsingGarbage()
    assert 1 == 2


def test_that_passes():
    assert gc.isenabled()
"""


def test_garbage_of_a_failed_test_does_not_end_the_whole_run(tmp_path: Path) -> None:
    """Guards against collections within ``ast.parse`` whose finalizers parse, too."""
    (tmp_path / "test_garbage.py").write_text(FAILING_TEST)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "conftest", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [*command, "--rootdir", str(tmp_path), str(tmp_path)],
        env={**os.environ, "PYTHONPATH": str(TESTS)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert "1 failed, 1 passed" in done.stdout, done.stdout + done.stderr
