"""Polls back ends for their load reports, with one thread per back end."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

import msgspec
import urllib3

from kitekeel_steering.load_reports import LoadReport

_TIMEOUT_SECONDS = 1.0
_OK = 200


class ProbeTarget(msgspec.Struct, frozen=True):
    """A back end to be probed.

    Attributes:
        name: identifies the back end; probing stops when the target is no longer listed.
    """

    name: str
    address: str


class LoadProbes:
    """Probes the targets that a callback returns.

    Args:
        targets: returns the back ends to be probed now.
        on_report: called with a target's name and its report.
        on_refused: called with the name of a target that accepts no connection.
        interval_seconds: time between two probes of a target.
    """

    def __init__(
        self,
        targets: Callable[[], Iterable[ProbeTarget]],
        on_report: Callable[[str, LoadReport], None],
        on_refused: Callable[[str], None],
        interval_seconds: float = 0.5,
    ) -> None:
        self._targets = targets
        self._on_report = on_report
        self._on_refused = on_refused
        self._interval_seconds = interval_seconds
        self._running: dict[ProbeTarget, threading.Event] = {}

    def run(self, stop: threading.Event) -> None:
        """Start and stop probe threads as the targets change, until told to stop."""
        while not stop.wait(self._interval_seconds):
            wanted = set(self._targets())
            for target in self._running.keys() - wanted:
                self._running.pop(target).set()
            for target in wanted - self._running.keys():
                self._start(target)
        for ended in self._running.values():
            ended.set()

    def _start(self, target: ProbeTarget) -> None:
        ended = threading.Event()
        self._running[target] = ended
        name = f"probe-{target.name}"
        threading.Thread(
            target=self._probe_repeatedly, args=(target, ended), name=name, daemon=True
        ).start()

    def _probe_repeatedly(self, target: ProbeTarget, ended: threading.Event) -> None:
        http = urllib3.PoolManager(maxsize=1, retries=False)
        url = f"http://{target.address}/-/load"
        while not ended.is_set():
            self._probe(http, target, url)
            ended.wait(self._interval_seconds)

    def _probe(self, http: urllib3.PoolManager, target: ProbeTarget, url: str) -> None:
        try:
            response = http.request("GET", url, timeout=_TIMEOUT_SECONDS)
        except urllib3.exceptions.NewConnectionError:
            self._on_refused(target.name)
            return
        except (urllib3.exceptions.HTTPError, OSError):
            return
        if response.status != _OK:
            return
        try:
            report = msgspec.json.decode(response.data, type=LoadReport)
        except msgspec.DecodeError:
            return
        self._on_report(target.name, report)
