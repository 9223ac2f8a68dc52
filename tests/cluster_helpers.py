"""Test helpers that start a cluster and send requests to it."""

import json
import time
from base64 import b64decode, b64encode
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

from gentianpulley.cfg_folder import load_cfg_folder
from gentianpulley.document_push import push_cfg
from gentianpulley.etcd_store import connect_store
from gentianpulley.http_conn import HttpAddress
from gentianpulley.store import Store
from standins.network import Network
from standins.ports import HOST
from standins.site import Site

CFG_FOLDER: Final = Path(__file__).parent / 'cfg'
DAEMON: Final = 'tests.guarded_daemon'
DOMAINS: Final = ('leith', 'gorgie')
IDEMPOTENT: Final = frozenset(('fit-preview', 'scaling-run'))


@dataclass(frozen=True)
class RequestSpec:
    """One request of a test."""

    key: str
    work_class: str = 'fit-preview'
    task: dict[str, Any] = field(default_factory=dict)
    processors_milli: int = 2000
    memory_mib: int = 1000
    accelerators: int = 0
    deadline_ms: int = 20_000
    data_tags: tuple[str, ...] = ()
    team: str = 'clinic'

    def body(self) -> dict[str, Any]:
        """Return the request body in the format of the HTTP front."""
        payload = json.dumps(self.task).encode()
        return {
            'request_key': self.key,
            'work_class': self.work_class,
            'team': self.team,
            'need': {
                'processors_milli': self.processors_milli,
                'memory_mib': self.memory_mib,
                'accelerators': self.accelerators,
            },
            'deadline_ms': int(time.time() * 1000) + self.deadline_ms,
            'idempotent': self.work_class in IDEMPOTENT,
            'data_tags': self.data_tags,
            'payload': b64encode(payload).decode(),
        }


def submit(
    site: Site, entry: str, spec: RequestSpec, wait_ms: int = 20_000
) -> Any:
    """Submit a request to an entry instance and return the response."""
    path = f'/v1/requests?wait_ms={wait_ms}'
    return site.call(entry, 'POST', path, spec.body())


def status(site: Site, entry: str, key: str, wait_ms: int = 0) -> Any:
    """Query an entry instance for the status of a request."""
    return site.call(entry, 'GET', f'/v1/requests/{key}?wait_ms={wait_ms}')


def answer_bytes(response: Any) -> bytes:
    """Return the decoded answer in the response to a request."""
    return b64decode(response['answer'])


def connect_to_store(site: Site) -> Store:
    """Return a connection to the cluster's store."""
    return connect_store(HttpAddress(HOST, site.processes['platform'].port))


def put_cfg(site: Site, folder: Path = CFG_FOLDER) -> int:
    """Push a cfg folder and return its revision."""
    cfg = load_cfg_folder(folder)
    return push_cfg(connect_to_store(site), cfg, None).revision


def start_site(
    workers: int = 2,
    entries: int = 2,
    *,
    partitioned: bool = False,
    **worker_options: Any,
) -> Site:
    """Start a cluster with this many workers and entries in each domain."""
    network = Network(DOMAINS) if partitioned else None
    site = Site(network=network, daemon_module=DAEMON)
    with ExitStack() as undo:
        undo.callback(site.stop)
        site.start_platform()
        put_cfg(site)
        for domain in DOMAINS:
            for number in range(workers):
                site.start_worker(
                    f'w-{domain}-{number}', domain, **worker_options
                )
            for number in range(entries):
                site.start_entry(f'e-{domain}-{number}', domain)
        site.wait_until_serving(workers * len(DOMAINS))
        undo.pop_all()
    return site


def list_starts(site: Site, key: str) -> list[dict[str, Any]]:
    """Return the start events that the workers recorded for a request."""
    return [
        line
        for line in site.record()
        if line['event'] == 'start' and line['task_id'].startswith(f'{key}#')
    ]
