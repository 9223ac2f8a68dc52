"""A small platform cluster: store, workers and nodes on loopback.

All components run in this process, for tests and for the demo.
"""

import json
import time
from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field
from http.client import HTTPConnection
from types import MappingProxyType
from typing import Any, Final

from gentianpulley.http_conn import HttpAddress
from gentianpulley.logs import EventLog
from gentianpulley.platform.daemon import PlatformDaemon
from gentianpulley.platform.daemon_settings import (
    parse_platform_daemon_settings,
)
from standins.grid_adviser import GridAdviser
from standins.grid_machines import GridMachines
from standins.grid_store import HOST, GridStore
from standins.grid_worker import MAX_LEASE_MS, GridWorker
from standins.http_server import StandinServer
from standins.ports import free_port

ADVICE: Final = MappingProxyType(
    {'decide_ms': 20, 'each_ms': 1, 'valid_ms': 2000}
)
GRACE_S: Final = 1
READY_S: Final = 10.0
Route = tuple[str, str, str, int, int, Mapping[str, Any]]
PLAIN: Final[Mapping[str, Any]] = MappingProxyType({})
ROUTES: Final[tuple[Route, ...]] = (
    ('r-quick', 'fit.example', '/quick/', 0, 2, PLAIN),
    ('r-batch', 'fit.example', '/batch/', 2, 3, PLAIN),
    (
        'r-advised',
        'fit.example',
        '/advised/',
        2,
        3,
        MappingProxyType({'advice': dict(ADVICE)}),
    ),
)


def node_file(
    instance: str, store_port: int, adviser: str, machines: str
) -> str:
    """Return the settings of a node with free ports."""
    return '\n'.join(
        (
            f'node={instance}',
            'zone=a',
            f'listen.front={HOST}:{free_port()}',
            f'listen.ready={HOST}:{free_port()}',
            f'listen.metrics={HOST}:{free_port()}',
            f'platform.addr={HOST}:{store_port}',
            f'advice={adviser}',
            f'cloud_api.addr={machines}',
            'bounds.upkeep_s=0.4',
            'bounds.contact_ms=3000',
            f'bounds.grace_s={GRACE_S}',
            f'bounds.max_hold_ms={MAX_LEASE_MS}',
            'bounds.stop_ms=900',
            'bounds.harm_ms=4000',
            'bounds.status_s=120',
            'something.new=1',
        )
    )


def cfg_document(
    version: int,
    routes: Any = ROUTES,
    customers: Mapping[str, Iterable[str]] = PLAIN,
) -> dict[str, Any]:
    """Return a configuration document in the form that operators write.

    `customers` gives the keys of each customer.
    """
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': host,
                'prefix': prefix,
                'service': 'fitting',
                'priority': priority,
                'max_attempts': attempts,
                'stretch': 2,
                'target_latency_ms': 1000,
                'timeout_ms': 3000,
                **more,
            }
            for name, host, prefix, priority, attempts, more in routes
        ],
        'services': [{'name': 'fitting'}],
        'limits': {'max_body_bytes': 10_000},
        'tenants': [_tenant(name, keys) for name, keys in customers.items()],
    }


def _tenant(name: str, keys: Iterable[str]) -> dict[str, Any]:
    """Return a customer without a ceiling."""
    return {
        'name': name,
        'api_keys': list(keys),
        'priority': 1,
        'weight': 1,
        'at_most': {'cpu': 0, 'mem_mb': 0, 'gpus': 0},
    }


@dataclass
class Site:
    """The components of the cluster and operations on them."""

    store: GridStore
    workers: dict[str, GridWorker] = field(default_factory=dict)
    nodes: list[PlatformDaemon] = field(default_factory=list)
    adviser: GridAdviser | None = None
    machines: GridMachines | None = None

    def add_worker(self, worker_id: str, **registration: Any) -> GridWorker:
        """Start a worker."""
        worker = GridWorker(self.store, worker_id, **registration)
        worker.run_in_background()
        self.workers[worker_id] = worker
        return worker

    def add_node(
        self,
        store_port: int = 0,
        cpu_share: float = 1.0,
        link_mbps: float = 1000.0,
        contracts: str = '',
    ) -> PlatformDaemon:
        """Start a node with these limits and wait until it is ready.

        If it does not become ready, the whole cluster is closed.
        `store_port` is the port of a proxy to the store, or 0 to connect
        directly. `contracts` is the setting of that name.
        """
        name = f'n{len(self.nodes)}'
        text = node_file(
            name,
            store_port or self.store.port,
            _address_of(self.adviser),
            _address_of(self.machines),
        )
        limits = (
            f'limits.cpu_share={cpu_share}\nlimits.link_mbps={link_mbps}\n'
            f'contracts={contracts}'
        )
        node = PlatformDaemon(
            parse_platform_daemon_settings(f'{text}\n{limits}'), EventLog()
        )
        with ExitStack() as undo:
            undo.callback(self.close)
            self.nodes.append(node)
            node.start()
            wait_until(node.is_ready, READY_S, f'{name} is ready')
            undo.pop_all()
        return node

    def take_leader(self) -> PlatformDaemon:
        """Wait for a leader, remove it from `nodes` and return it.

        A node reports that it leads only when all of its components run; it
        may have sent its first orders by then.
        """
        wait_until(
            lambda: any(node.is_leading for node in self.nodes),
            what='a leader',
        )
        leading = [node for node in self.nodes if node.is_leading]
        assert len(leading) == 1
        self.nodes.remove(leading[0])
        return leading[0]

    def close(self) -> None:
        """Stop everything."""
        while self.nodes:
            self.nodes.pop().shut_down()
        servers: list[GridStore | GridWorker] = [self.store]
        servers.extend(self.workers.values())
        for server in servers:
            server.faults = {}
            _close(server)
        for fake in (self.adviser, self.machines):
            if fake is not None:
                _close(fake)


def _address_of(server: StandinServer | None) -> str:
    return f'{HOST}:{server.port}' if server else ''


def _close(server: StandinServer) -> None:
    server.shutdown()
    server.server_close()


def call(
    node: PlatformDaemon,
    method: str,
    path: str,
    body: object = None,
    host: str = 'fit.example',
    key: str = '',
) -> tuple[int, dict[str, Any]]:
    """Send a request to a node's HTTP front; return status and response.

    `key` is the key of a customer, empty to send none.
    """
    address = node.front_address
    conn = HTTPConnection(address.host, address.port, timeout=5)
    encoded = body if isinstance(body, bytes) else json.dumps(body)
    conn.request(
        method,
        path,
        None if body is None else encoded,
        {'Host': host, 'X-Deadline-Ms': '3000', **key_header(key)},
    )
    resp = conn.getresponse()
    payload = resp.read()
    conn.close()
    return resp.status, json.loads(payload or b'{}')


def key_header(key: str) -> dict[str, str]:
    """Return the header that carries a customer's key, if it is not empty."""
    return {'X-Credential': key} if key else {}


def fetch(address: HttpAddress, path: str) -> tuple[int, str]:
    """Return the status and body of a GET request to an address."""
    conn = HTTPConnection(address.host, address.port, timeout=5)
    conn.request('GET', path)
    resp = conn.getresponse()
    text = resp.read().decode()
    conn.close()
    return resp.status, text


def job_body(*steps: dict[str, Any], **work: Any) -> dict[str, Any]:
    """Return a job submission; `work` controls how the fake runs its tasks."""
    return {
        'task_spec': json.dumps(work),
        'phases': [
            {'count': 1, 'cpu': 4000, 'mem_mb': 100, **step}
            for step in steps or ({},)
        ],
    }


def wait_until(
    holds: Callable[[], object], seconds: float = 10, what: str = ''
) -> None:
    """Wait until a condition holds; raise `AssertionError` on time-out."""
    deadline_s = time.monotonic() + seconds
    label = what or str(holds)
    while not holds():
        assert time.monotonic() < deadline_s, f'not in time: {label}'
        time.sleep(0.02)


def state_of(node: PlatformDaemon, path: str) -> str:
    """Return the state of a job as a node reports it."""
    return str(call(node, 'GET', path)[1].get('state', ''))
