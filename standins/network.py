"""A network of proxies between the failure domains of a cluster.

Each failure domain connects to the cluster through its own proxies and its own
copy of the instance list, so each link can fail separately, also in one
direction only.
"""

import json
from dataclasses import dataclass, field
from typing import Any, Final

from standins.http_server import OK, Call, Reply, StandinServer
from standins.platform import HOST, LIST_PATH
from standins.tcp_proxy import LinkState, TcpProxy

PLATFORM: Final = 'platform'


class _ListView(StandinServer):
    """Serves the instance list that one failure domain reads."""

    def __init__(self, view: 'DomainView') -> None:
        super().__init__(HOST, 0)
        self._view = view
        self.run_in_background()

    def serve(self, call: Call) -> Reply:
        """Return the instance list with the ports of the domain's proxies."""
        if call.path != LIST_PATH or self._view.list_is_down:
            return Reply(503)
        slices = list(self._view.slices.values())
        return Reply(OK, json.dumps({'items': slices}).encode())


@dataclass
class DomainView:
    """The proxies through which one failure domain reaches all processes."""

    domain: str
    proxies: dict[tuple[str, str], TcpProxy] = field(default_factory=dict)
    slices: dict[str, Any] = field(default_factory=dict)
    list_is_down: bool = False

    def proxy(self, name: str, port_name: str, port: int) -> TcpProxy:
        """Return the proxy to a port of a process, created on first use."""
        key = (name, port_name)
        if key not in self.proxies:
            self.proxies[key] = TcpProxy(port)
        self.proxies[key].retarget(port)
        return self.proxies[key]

    def put_slice(self, name: str, slice_: Any) -> None:
        """Add an instance to the list, with the ports of its proxies."""
        ports = [
            {
                'name': port['name'],
                'port': self.proxy(name, port['name'], port['port']).port,
            }
            for port in slice_['ports']
        ]
        self.slices[name] = {**slice_, 'ports': ports}


class Network:
    """All links of a cluster, by source failure domain."""

    def __init__(self, domains: tuple[str, ...]) -> None:
        """Start with every link up."""
        self.views = {domain: DomainView(domain) for domain in domains}
        self._domains: dict[str, str] = {}
        self._list_views = {
            domain: _ListView(view) for domain, view in self.views.items()
        }

    def list_port(self, domain: str) -> int:
        """Return the port that serves a domain's copy of the instance list."""
        return self._list_views[domain].port

    def store_port(self, domain: str, port: int) -> int:
        """Return the port of the proxy from a domain to the store."""
        return self.views[domain].proxy(PLATFORM, 'http', port).port

    def put_slice(self, name: str, domain: str, slice_: Any) -> None:
        """Add an instance to every domain's copy of the list."""
        self._domains[name] = domain
        for view in self.views.values():
            view.put_slice(name, slice_)

    def set_link(self, source: str, target: str, state: LinkState) -> None:
        """Set the state of the links from a domain to a target.

        The target is a domain, the name of an instance, or the platform.
        """
        for (name, _), proxy in self.views[source].proxies.items():
            if target in {name, self._domains.get(name)}:
                proxy.switch(state)
        if target == PLATFORM:
            self.views[source].list_is_down = state is not LinkState.UP

    def isolate(self, domain: str, state: LinkState) -> None:
        """Set the state of all links between a domain and everything else."""
        for other in (*self.views, PLATFORM):
            if other != domain:
                self.set_link(domain, other, state)
        for source in self.views:
            if source != domain:
                self.set_link(source, domain, state)

    def silence_open(self, source: str, target: str) -> None:
        """Stop forwarding on open connections of a link; new ones work."""
        for (name, _), proxy in self.views[source].proxies.items():
            if target in {name, self._domains.get(name)}:
                proxy.silence_open()

    def close(self) -> None:
        """Close all proxies and list servers."""
        for view in self.views.values():
            for proxy in view.proxies.values():
                proxy.close()
        for list_view in self._list_views.values():
            list_view.shutdown()
            list_view.server_close()
