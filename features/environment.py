"""Keeps one cluster of real processes for the scenarios that share it, and ends every process."""

from behave.model import Scenario
from behave.runner import Context

_KINDS = ("request-unknown", "request-late", "request-refused-late")
_MAX_LINES = 50


def after_scenario(context: Context, scenario: Scenario) -> None:
    cluster = getattr(context, "cluster", None)
    if cluster is None:
        return
    if scenario.status.name not in ("passed",):
        for daemon in cluster.deployment.daemons:
            if daemon.name in cluster.processes:
                output = cluster.output(daemon.name)
                print(f"--- {daemon.name}\n{_failed_requests(output)}\n{output[-2000:]}")
    for proxy in getattr(context, "proxies", []):
        proxy.close()
    cluster.close()


def _failed_requests(output: str) -> str:
    """Return the log lines that show where late, unknown and refused requests spent their time."""
    lines = [line for line in output.splitlines() if any(kind in line for kind in _KINDS)]
    return "\n".join(lines[-_MAX_LINES:])
