"""Keeps one cluster of real processes for the scenarios that share it, and ends every process."""

from behave.model import Scenario
from behave.runner import Context


def after_scenario(context: Context, scenario: Scenario) -> None:
    cluster = getattr(context, "cluster", None)
    if cluster is None:
        return
    if scenario.status.name not in ("passed",):
        for daemon in cluster.deployment.daemons:
            if daemon.name in cluster.processes:
                print(f"--- {daemon.name}\n{cluster.output(daemon.name)[-2000:]}")
    for proxy in getattr(context, "proxies", []):
        proxy.close()
    cluster.close()
