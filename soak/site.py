"""Cluster of a soak test: instances as processes, the rest in-process.

Each instance connects to the store through its own proxy, and each worker is
reached through its own proxy; each proxy can fail independently.
"""

import random
import signal
import tempfile
import time
from dataclasses import dataclass, field
from http.client import HTTPException
from pathlib import Path
from threading import Lock
from typing import Final

from gentianpulley.cluster.job_storage import LEADER_KEY
from gentianpulley.http_conn import HttpAddress
from soak.key_ring import CUSTOMERS, KeyRing
from soak.process import ENTRY_PROGRAM, InstanceProcess
from standins.grid_site import Route, cfg_document, fetch, node_file
from standins.grid_machines import GridMachines
from standins.grid_store import HOST, GridStore
from standins.grid_worker import EventKind, GridWorker
from standins.http_server import OK
from standins.ports import free_port
from standins.tcp_proxy import LinkState, TcpProxy

DOMAINS: Final = ('a', 'b')
SLOWEST_CLOCK: Final = 0.98
WORKER_MILLI: Final = 16_000
GRACE_S: Final = 3
STOP_S: Final = GRACE_S + 1.0
"""Time limit of a planned stop, with 1 second for a busy machine."""

READY_S: Final = 15.0
POLL_S: Final = 0.05
READY_PATH: Final = '/gentianpulley/ready'

ROUTES: Final[tuple[Route, ...]] = (
    ('r-quick', 'fit.example', '/quick/', 0, 3, {'public': True}),
    ('r-batch', 'fit.example', '/batch/', 2, 3, {'public': True}),
    ('r-owned', 'fit.example', '/owned/', 2, 3, {}),
)
"""Only one queue needs keys, so most callers do not depend on them."""

KEY_BITS: Final = 96
FIRST_KEYS_SEED: Final = 1
NEW_ROUTE: Final[Route] = ('r-new', 'new.example', '/new/', 1, 3, {})


@dataclass(frozen=True, slots=True)
class SiteSize:
    """Number of instances and workers of a cluster."""

    instances: int = 4
    workers: int = 6


@dataclass
class Instance:
    """An instance, its link to the store, and its HTTP addresses."""

    name: str
    front: HttpAddress
    ready: HttpAddress
    link: TcpProxy
    process: InstanceProcess

    def is_ready(self) -> bool:
        """Query whether the instance is ready for connections."""
        try:
            status, _ = fetch(self.ready, READY_PATH)
        except (OSError, HTTPException):
            return False
        return status == OK


@dataclass
class LinkedWorker:
    """A worker and the link through which it is reached."""

    worker: GridWorker
    link: TcpProxy


@dataclass
class SoakSite:
    """All components of the cluster.

    Each caller cancels a job when `cancel_requests` has increased.
    """

    store: GridStore
    folder: Path
    machines: GridMachines
    cfg_version: int = 1
    cfg_lock: Lock = field(default_factory=Lock)
    key_ring: KeyRing = field(default_factory=KeyRing)
    cancel_requests: int = 0
    wave_number: int = 0
    instances: list[Instance] = field(default_factory=list)
    workers: list[LinkedWorker] = field(default_factory=list)

    @property
    def leader(self) -> Instance | None:
        """Return the instance that the leader key names, if any."""
        leader_text = self.store.text(LEADER_KEY)
        leaders = (
            each for each in self.instances if f'"{each.name}"' in leader_text
        )
        return next(leaders, None)

    def write_cfg(self, *more: Route) -> None:
        """Write the next cfg version, with `more` routes."""
        with self.cfg_lock:
            self._put_cfg(*more)

    def change_keys(self, rng: random.Random, *customers: str) -> None:
        """Add a key of each customer, and withdraw the oldest ones.

        Without any customers, those of a random one are changed.
        """
        with self.cfg_lock:
            for customer in customers or (rng.choice(CUSTOMERS),):
                text = f'{rng.getrandbits(KEY_BITS):x}'
                self.key_ring.begin_change(customer, text)
            self._put_cfg()
            self.key_ring.end_change()

    def request_wave(self, linked: list[LinkedWorker], within_s: int) -> str:
        """Request a maintenance wave of one machine at a time.

        Returns the key of the request.
        """
        self.wave_number += 1
        key = f'op/wave/{self.wave_number}'
        wave = {
            'wave': self.wave_number,
            'machines': [f'm-{each.worker.worker_id}' for each in linked],
            'within_s': within_s,
            'at_most': 1,
        }
        self.store.put(key, wave)
        return key

    def count_deadly_crashes(self) -> int:
        """Return how often a task has crashed a worker."""
        return sum(
            event.kind is EventKind.CRASHED and bool(event.task)
            for linked in self.workers
            for event in tuple(linked.worker.events)
        )

    def start(self) -> None:
        """Start the instances; raises `TimeoutError` if one is not ready."""
        for instance in self.instances:
            instance.process.start()
        deadline_s = time.monotonic() + READY_S
        while not all(each.is_ready() for each in self.instances):
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f'instances not ready in time; logs in {self.folder}'
                )
            time.sleep(POLL_S)

    def heal(self) -> None:
        """End every fault that may still be active."""
        self.store.faults = {}
        self.machines.faults = {}
        for instance in self.instances:
            instance.link.switch(LinkState.UP)
            instance.process.tell(signal.SIGCONT)
        for linked in self.workers:
            linked.worker.faults = {}
            linked.link.switch(LinkState.UP)

    def close(self) -> None:
        """Stop all processes one by one, then the workers and the store."""
        for instance in self.instances:
            instance.process.end(STOP_S)
        for linked in self.workers:
            linked.link.close()
            linked.worker.shutdown()
        self.machines.shutdown()
        self.store.shutdown()

    def _put_cfg(self, *more: Route) -> None:
        self.cfg_version += 1
        document = cfg_document(
            self.cfg_version, (*ROUTES, *more), self.key_ring.as_cfg()
        )
        self.store.put('op/config', document)


def create_soak_site(
    size: SiteSize, rng: random.Random, program: str = ENTRY_PROGRAM
) -> SoakSite:
    """Return a cluster whose instances are not started yet."""
    store = GridStore()
    store.run_in_background()
    workers = [
        _start_worker(store, number, rng) for number in range(size.workers)
    ]
    machines = GridMachines(
        {each.worker.worker_id: each.worker for each in workers}
    )
    machines.run_in_background()
    folder = Path(tempfile.mkdtemp(prefix='soak-'))
    site = SoakSite(store, folder, machines)
    site.change_keys(random.Random(FIRST_KEYS_SEED), *CUSTOMERS)
    site.workers = workers
    site.instances = [
        _create_instance(site, number, program)
        for number in range(size.instances)
    ]
    return site


def _start_worker(
    store: GridStore, number: int, rng: random.Random
) -> LinkedWorker:
    rate = rng.uniform(SLOWEST_CLOCK, 1)
    worker = GridWorker(
        store,
        f'w{number}',
        DOMAINS[number % len(DOMAINS)],
        rate,
        capacity={'cpu': WORKER_MILLI, 'mem_mb': WORKER_MILLI, 'gpus': 0},
    )
    worker.run_in_background()
    link = TcpProxy(worker.port)
    worker.register('ready', addr=f'{HOST}:{link.port}')
    return LinkedWorker(worker, link)


def _create_instance(site: SoakSite, number: int, program: str) -> Instance:
    name = f'n{number}'
    front = HttpAddress(HOST, free_port())
    ready = HttpAddress(HOST, free_port())
    link = TcpProxy(site.store.port)
    # Later settings override earlier ones.
    settings = (
        node_file(name, link.port, '', f'{HOST}:{site.machines.port}'),
        f'zone={DOMAINS[number % len(DOMAINS)]}',
        f'listen.front={HOST}:{front.port}',
        f'listen.ready={HOST}:{ready.port}',
        f'bounds.grace_s={GRACE_S}',
    )
    path = site.folder / f'{name}.conf'
    path.write_text('\n'.join(settings))
    process = InstanceProcess(path, site.folder / f'{name}.log', program)
    return Instance(name, front, ready, link, process)
