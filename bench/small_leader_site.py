"""A cluster for one leader process with a narrow link and few processors.

The workers and the link run in processes of their own. All connections of the
leader, to the store and to the workers, share the bandwidth of the link.
"""

import json
import tempfile
import threading
import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from multiprocessing import get_context
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any, Final

from bench.processor_quota import ProcessorQuota, processor_s
from gentianpulley.cluster.job_storage import job_key
from gentianpulley.deadline import now_ms
from gentianpulley.http_conn import HttpAddress
from gentianpulley.jobs.spec import JobSpec, QueuePolicy, StepSpec, encode_job
from gentianpulley.resources import Resources
from soak.process import ENTRY_PROGRAM, InstanceProcess
from standins.grid_site import (
    cfg_document,
    fetch,
    node_file,
    wait_until,
)
from standins.grid_store import HOST, GridStore
from standins.grid_worker import GridWorker
from standins.ports import free_port
from standins.tcp_proxy import TcpProxy

BYTES_PER_MBIT: Final = 125_000
WORKERS_PER_HOST: Final = 24
TASKS_PER_JOB: Final = 8
TASK_MILLI: Final = 2000
TASK_MIB: Final = 1000
TASK_MS: Final = 1000
FEED_S: Final = 0.05
LEADER: Final = 'n0'
LEADS_S: Final = 40.0
STOP_S: Final = 5.0
METRICS_PATH: Final = '/metrics'
ORDER_DELAY: Final = 'gentianpulley_worker_order_us'
US_PER_MS: Final = 1000


@dataclass(frozen=True)
class Usage:
    """Starts that workers carried out, and what the instance used for them.

    `at_s` is the time of day in seconds; the other figures count from the
    start of the process.
    """

    at_s: float
    starts: int
    sent_bytes: int
    processor_s: float


class _RemoteStore:
    """Passes a worker's registration on to the process of the store."""

    def __init__(self, conn: Connection) -> None:
        self._conn = conn

    def put(self, key: str, entry: object) -> int:
        self._conn.send((key, entry))
        return 0


def host_workers(conn: Connection, numbers: Sequence[int]) -> None:
    """Run workers; answer each message with the number of their starts."""
    workers = []
    for number in numbers:
        store: Any = _RemoteStore(conn)
        worker = GridWorker(store, f'w{number}')
        worker.run_in_background()
        workers.append(worker)
    while conn.recv():
        conn.send(sum(len(worker.started) for worker in workers))


def host_link(conn: Connection, ports: Sequence[int], bytes_per_s: int) -> None:
    """Run one link to all ports; answer each message with the bytes sent."""
    links = [TcpProxy(port) for port in ports]
    links[0].narrow(bytes_per_s)
    for link in links[1:]:
        link.share(links[0])
    conn.send([link.port for link in links])
    while conn.recv():
        conn.send(sum(link.sent_bytes for link in links))


class SmallLeaderSite:
    """A store, workers, and one instance behind a link."""

    def __init__(
        self, workers: int, link_mbps: float, cores: float, payload_bytes: int
    ) -> None:
        """Start everything and wait until the instance leads."""
        self._payload = _payload(payload_bytes)
        self._job_count = 0
        self._closed = threading.Event()
        self._ask_lock = threading.Lock()
        self._quota: ProcessorQuota | None = None
        self._context = get_context('spawn')
        self._processes: list[Any] = []
        self.store = GridStore()
        self.store.run_in_background()
        self.store.put('op/config', cfg_document(3))
        self._hosts = [
            self._spawn(host_workers, numbers) for numbers in _shares(workers)
        ]
        entries = [
            conn.recv()
            for conn, numbers in zip(self._hosts, _shares(workers), strict=True)
            for _ in numbers
        ]
        self._link = self._spawn(
            host_link,
            (self.store.port, *(_port_of(entry) for _, entry in entries)),
            int(link_mbps * BYTES_PER_MBIT),
        )
        store_port, *ports = self._link.recv()
        for (key, entry), port in zip(entries, ports, strict=True):
            self.store.put(key, {**entry, 'addr': f'{HOST}:{port}'})
        self._metrics = HttpAddress(HOST, free_port())
        self._instance = _create_instance(
            store_port,
            f'listen.metrics={self._metrics}',
            f'limits.cpu_share={cores}',
            f'limits.link_mbps={link_mbps}',
        )
        self._instance.start()
        self.pid = self._instance.pid
        with ExitStack() as undo:
            undo.callback(self.close)
            wait_until(self._is_led, LEADS_S, 'a leader')
            self._quota = _limit(self.pid, cores)
            undo.pop_all()

    def usage(self) -> Usage:
        """Return what the instance has used and done until now."""
        return Usage(
            time.time(),
            self._starts(),
            _ask(self._link),
            processor_s(self.pid),
        )

    def plan_reports(self) -> list[dict[str, Any]]:
        """Return the reports of the leader's plans, one a second."""
        lines = self._instance.log.read_text().splitlines()
        return [json.loads(line) for line in lines if ':plan_report"' in line]

    def order_delay_ms(self, quantile: str) -> float:
        """Return a quantile of the time from sending an order to its reply."""
        _, text = fetch(self._metrics, METRICS_PATH)
        name = f'{ORDER_DELAY}{{quantile="{quantile}"}} '
        lines = text.splitlines()
        values = [line for line in lines if line.startswith(name)]
        return float(values[0].split()[1]) / US_PER_MS if values else 0

    def feed(self, waiting_tasks: int) -> None:
        """Keep at least so many tasks waiting, from now on."""
        threading.Thread(
            target=self._feed, args=(waiting_tasks,), daemon=True
        ).start()

    def wait_for_starts(self) -> None:
        """Wait until the leader has started a task."""
        wait_until(self._starts, LEADS_S, 'a start')

    def close(self) -> None:
        """Stop everything."""
        self._closed.set()
        if self._quota is not None:
            self._quota.close()
        self._instance.end(STOP_S)
        for conn in (*self._hosts, self._link):
            conn.send(False)
        for process in self._processes:
            process.join(STOP_S)
            process.kill()
        self.store.shutdown()

    def _starts(self) -> int:
        with self._ask_lock:
            return sum(_ask(conn) for conn in self._hosts)

    def _spawn(self, host: Any, *args: object) -> Connection:
        conn, remote = self._context.Pipe()
        process = self._context.Process(
            target=host, args=(remote, *args), daemon=True
        )
        process.start()
        self._processes.append(process)
        return conn

    def _is_led(self) -> bool:
        return '"leads"' in self._instance.log.read_text()

    def _feed(self, waiting_tasks: int) -> None:
        begun = self._starts()
        while not self._closed.wait(FEED_S):
            created = self._job_count * TASKS_PER_JOB
            missing = waiting_tasks - created + self._starts() - begun
            for _ in range(max(0, missing) // TASKS_PER_JOB):
                self._store_job()

    def _store_job(self) -> None:
        self._job_count += 1
        policy = QueuePolicy('r-batch', 'fitting', 0, 3, 2, 1000)
        resources = Resources(TASK_MILLI, TASK_MIB, 0)
        steps = (StepSpec(TASKS_PER_JOB, resources, TASK_MS),)
        job_id = f'{self._job_count:016x}'
        spec = JobSpec(job_id, self._payload, policy, steps, now_ms())
        self.store.put(job_key(job_id), encode_job(spec))


def _limit(pid: int, cores: float) -> ProcessorQuota | None:
    """Limit a process unless it may use a whole processor or more."""
    return ProcessorQuota(pid, cores) if cores < 1 else None


def _payload(size: int) -> str:
    """Return a payload of at least this many characters."""
    return json.dumps({'ms': TASK_MS}).ljust(size)


def _shares(workers: int) -> list[range]:
    """Return the numbers of the workers of each process."""
    return [
        range(first, min(workers, first + WORKERS_PER_HOST))
        for first in range(0, workers, WORKERS_PER_HOST)
    ]


def _port_of(entry: dict[str, Any]) -> int:
    return int(str(entry['addr']).rpartition(':')[2])


def _ask(conn: Connection) -> int:
    conn.send(True)
    return int(conn.recv())


def _create_instance(store_port: int, *changes: str) -> InstanceProcess:
    """Return an instance whose settings end with these lines."""
    folder = Path(tempfile.mkdtemp(prefix='small-leader-'))
    settings = folder / f'{LEADER}.conf'
    lines = (node_file(LEADER, store_port, '', ''), *changes)
    settings.write_text('\n'.join(lines))
    return InstanceProcess(settings, folder / f'{LEADER}.log', ENTRY_PROGRAM)
