"""Runs all tests: pytest over ``tests`` and behave over ``features``, and counts the results.

A test listed in KNOWN-RED.txt (``test: what was seen, issue N``) that fails is printed and not
counted as failed; everything else counts. An entry without an issue, or for a test that did not
run, counts as a failure.
"""

from __future__ import annotations

import json
import re
import subprocess
import sys
import tempfile
import time
import xml.etree.ElementTree as ElementTree
from collections.abc import Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

_KNOWN_RED_FILE = Path("KNOWN-RED.txt")
_ISSUE = re.compile(r"\bissue \d+")
_FEATURES = Path("features")
_FEATURES_AT_ONCE = 2


class TestResult(msgspec.Struct, frozen=True):
    """One test and whether it passed."""

    name: str
    passed: bool


def run_all_tests() -> int:
    """Run every test, print the counts on the last line, and return the exit code."""
    started_at = time.monotonic()
    results = [*_run_pytest(), *_run_behave()]
    lines = _KNOWN_RED_FILE.read_text().splitlines() if _KNOWN_RED_FILE.exists() else []
    known_red = read_known_red(lines, {each.name for each in results})
    failed = [each.name for each in results if not each.passed]
    known = [name for name in failed if name in known_red]
    for name in known:
        print(f"known red: {name}: {known_red[name]}")
    unexpected = [name for name in failed if name not in known_red]
    unexpected += invalid_entries(known_red, {each.name for each in results})
    for name in unexpected:
        print(f"failed: {name}")
    passed = sum(each.passed for each in results)
    print(f"took {time.monotonic() - started_at:.0f} s")
    skipped = f", {len(known)} skipped" if known else ""
    print(f"{passed} passed, {len(unexpected)} failed{skipped}")
    return 1 if unexpected or not results else 0


def _run_pytest() -> list[TestResult]:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "pytest.xml"
        command = ["-m", "pytest", "-q", "--doctest-modules", f"--junitxml={report}"]
        subprocess.run([sys.executable, *command, "tests", "packages", "platform"], check=False)
        if not report.exists():
            return [TestResult("pytest", False)]
        cases = ElementTree.parse(report).getroot().iter("testcase")
        return [
            TestResult(
                f"{case.get('classname')}.{case.get('name')}",
                case.find("failure") is None and case.find("error") is None,
            )
            for case in cases
        ]


def _run_behave() -> list[TestResult]:
    """Run every feature in a process of its own, a few at a time; the longest begin first."""
    features = sorted(_FEATURES.glob("*.feature"), key=lambda file: -file.stat().st_size)
    with ThreadPoolExecutor(_FEATURES_AT_ONCE) as workers:
        return [result for found in workers.map(_run_feature, features) for result in found]


def _run_feature(feature: Path) -> list[TestResult]:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "behave.json"
        log = Path(folder) / "behave.log"
        command = ["-m", "behave", "--no-color", "-f", "plain", "-f", "json"]
        command += ["-o", str(log), "-o", str(report), str(feature)]
        done = subprocess.run([sys.executable, *command], capture_output=True, check=False)
        if not report.exists() or not report.read_text().strip():
            print(done.stdout.decode(errors="replace"), done.stderr.decode(errors="replace"))
            return [TestResult(str(feature), False)]
        results = _read_report(json.loads(report.read_text()))
        print(f"{feature.name}: {sum(each.passed for each in results)} of {len(results)} passed")
        if not all(each.passed for each in results):
            print(log.read_text(errors="replace"), done.stdout.decode(errors="replace"))
        return results


def _read_report(features: list[dict[str, Any]]) -> list[TestResult]:
    return [
        TestResult(f"{feature['name']}: {element['name']}", element.get("status") == "passed")
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def read_known_red(lines: Iterable[str], tests: Collection[str]) -> dict[str, str]:
    """Return what was seen by test name.

    Names of scenarios and descriptions may both hold ``: ``, so the names of ``tests`` decide
    where a name ends. An entry of no known test is kept under its whole line.
    """
    known_red = {}
    for line in filter(None, map(str.strip, lines)):
        ends = [found.start() for found in re.finditer(": ", line)]
        name = next((line[:end] for end in ends if line[:end] in tests), line)
        known_red[name] = line[len(name) + 2 :]
    return known_red


def invalid_entries(known_red: dict[str, str], tests: set[str]) -> list[str]:
    """Return an error for each entry without an issue, or for a test that did not run."""
    unknown = [name for name in known_red if name not in tests]
    without_issue = [
        name for name, cause in known_red.items() if name in tests and not _ISSUE.search(cause)
    ]
    return [
        *(f"{_KNOWN_RED_FILE}: no issue is named for {name}" for name in without_issue),
        *(f"{_KNOWN_RED_FILE}: no such test: {name}" for name in unknown),
    ]
