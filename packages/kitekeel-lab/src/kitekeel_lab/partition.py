"""Puts fault proxies before every daemon's peer and caller address, to cut daemons from each other.

The proxies know who connects by the process id, so a cut falls between two groups of daemons and
leaves the rest, and callers, alone.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from kitekeel_lab.cluster import Cluster
from kitekeel_lab.deployment import DaemonSpec, Deployment
from kitekeel_lab.fault_proxy import FaultProxy, ProxyMode, ProxyRule
from kitekeel_lab.ports import free_address


class ProxiedNetwork:
    """The network between the daemons of a deployment, and between each of them and the platform.

    Args:
        deployment: whose daemons advertise the proxies' addresses.
        proxies_callers: stand before the callers' addresses too, which daemons use to relay
            requests; not under heavy load, which one process could not pass on.
    """

    def __init__(self, deployment: Deployment, proxies_callers: bool = True) -> None:
        self._proxies_callers = proxies_callers
        self.listen = {each.name: self._listen(each) for each in deployment.daemons}
        self.platform_address_of = {each.name: free_address() for each in deployment.daemons}
        self._deployment = deployment
        self._peer_proxies: dict[str, list[FaultProxy]] = {}
        self._platform_proxies: dict[str, FaultProxy] = {}
        self._cut: set[frozenset[str]] = set()

    def open(self, cluster: Cluster) -> None:
        """Start the proxies."""
        self._cluster = cluster
        for daemon in self._deployment.daemons:
            listen: DaemonSpec = self.listen[daemon.name]
            proxies = [FaultProxy(daemon.peer_address, listen.peer_address)]
            if self._proxies_callers:
                proxies.append(FaultProxy(daemon.caller_address, listen.caller_address))
            self._peer_proxies[daemon.name] = proxies
            address = self.platform_address_of[daemon.name]
            self._platform_proxies[daemon.name] = FaultProxy(address, cluster.platform_address)

    def cut(self, first: Iterable[str], second: Iterable[str]) -> None:
        """Swallow what one group of daemons sends the other, both ways."""
        others = list(second)
        self._cut |= {frozenset({one, other}) for one in first for other in others}
        self._apply()

    def cut_platform(self, names: Iterable[str]) -> None:
        """Cut some daemons from the platform."""
        for name in names:
            self._platform_proxies[name].set_rule(ProxyRule(ProxyMode.SWALLOW))

    def heal(self) -> None:
        """Reset what was cut, and let everything through again."""
        self._cut.clear()
        for name, proxies in self._peer_proxies.items():
            for proxy in proxies:
                proxy.set_rule(ProxyRule(ProxyMode.RESET))
                proxy.set_rule(ProxyRule())
            self._platform_proxies[name].set_rule(ProxyRule(ProxyMode.RESET))
            self._platform_proxies[name].set_rule(ProxyRule())

    def close(self) -> None:
        """Stop every proxy."""
        for proxies in self._peer_proxies.values():
            for proxy in proxies:
                proxy.close()
        for proxy in self._platform_proxies.values():
            proxy.close()

    def _listen(self, daemon: DaemonSpec) -> DaemonSpec:
        if self._proxies_callers:
            daemon = msgspec.structs.replace(daemon, caller_address=free_address())
        return msgspec.structs.replace(daemon, peer_address=free_address())

    def _apply(self) -> None:
        names = {
            process.pid: name
            for name, process in self._cluster.processes.items()
            if process.poll() is None
        }
        for name, proxies in self._peer_proxies.items():
            for proxy in proxies:
                proxy.set_rule_by_owner(partial(self._rule, names, name), tuple(names))

    def _rule(self, names: dict[int, str], target: str, owner: int | None) -> ProxyRule:
        source = None if owner is None else names.get(owner)
        if source is not None and frozenset({source, target}) in self._cut:
            return ProxyRule(ProxyMode.SWALLOW)
        return ProxyRule()
