"""A small site for the cases of this review, on loopback.

The instances are processes, started with the command of the deploy file; the
store and the workers are stand-ins in this process.
"""

import http.client
import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from standins.grid_store import GridStore
from standins.ports import free_port
from standins.tcp_proxy import TcpProxy

from sound_worker import HOST, Record, Worker

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get('TROUBLE') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY_S = 20.0
ANSWER_S = 3.5

ROUTES = (
    ('r-quick', '/quick/', 0, 2),
    ('r-batch', '/batch/', 2, 3),
)


class CannotRunError(Exception):
    """The case could not be run."""


class Instance:
    """One machine of the system: a process, and its link to the store."""

    def __init__(self, site: 'Site', number: int, **more: str) -> None:
        self.name = f'front-{number}'
        self.front = free_port()
        self.ready = free_port()
        self.link = TcpProxy(site.store.port)
        self._path = site.folder / f'{self.name}.conf'
        self._log = site.folder / f'{self.name}.log'
        settings = {
            'node': self.name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front,control',
            'ip': HOST,
            'zone': 'a',
            'region': 'r',
            'listen.front': f'{HOST}:{self.front}',
            'listen.ready': f'{HOST}:{self.ready}',
            'listen.metrics': f'{HOST}:{free_port()}',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4100',
            'limits.link_mbps': '1000.0',
            'heartbeat_ms': '1100',
            'bounds.contact_ms': '3000',
            'bounds.grace_s': '6',
            'bounds.config_apply_ms': '2000',
            'bounds.max_hold_ms': '6000',
            'bounds.stop_ms': '900',
            'bounds.gang_wait_ms': '3000',
            'bounds.status_s': '120',
            'bounds.restore_ms': '100',
            'bounds.upkeep_s': '2',
            'bounds.harm_ms': '4000',
            'orders': 'invoke',
            'advice': '',
            'platform.addr': f'{HOST}:{self.link.port}',
            'platform.form': 'kv',
            'cloud_api.addr': '',
        }
        settings.update(more)
        self._path.write_text(
            '\n'.join(f'{name}={text}' for name, text in settings.items())
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'GENTIANPULLEY_NODE_FILE': str(self._path),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=output, stderr=output
            )

    def is_ready(self) -> bool:
        """Return what the instance answers to the platform's check."""
        try:
            return (
                _exchange(self.ready, 'GET', '/gentianpulley/ready')[0] == 200
            )
        except OSError:
            return False

    def log_lines(self) -> list[dict[str, Any]]:
        """Return what the instance has logged."""
        if not self._log.exists():
            return []
        lines = self._log.read_text(errors='replace').splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        self.link.close()


class Site:
    """The store, the workers and the instances."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.record = Record()
        self.store = GridStore()
        self.store.run_in_background()
        self.workers: list[Worker] = []
        self.instances: list[Instance] = []
        self.put_config(1)

    def put_config(self, version: int) -> None:
        """Write a configuration as the operator does."""
        routes = [
            {
                'name': name,
                'host': 'fit.example',
                'prefix': prefix,
                'service': 'fitting',
                'timeout_ms': 3000,
                'priority': priority,
                'max_attempts': attempts,
                'stretch': 2,
                'target_latency_ms': 1000,
            }
            for name, prefix, priority, attempts in ROUTES
        ]
        config = {
            'version': version,
            'routes': routes,
            'services': [{'name': 'fitting'}],
            'limits': {'max_body_bytes': 262_144},
        }
        self.store.put('op/config', config)

    def add_worker(self, worker_id: str, work: Any, **more: Any) -> Worker:
        """Add a worker and let it check in."""
        worker = Worker(self.store, self.record, worker_id, work, **more)
        self.workers.append(worker)
        worker.come_up()
        return worker

    def start(self, count: int = 2, **more: str) -> None:
        """Start the instances, and wait until they are ready and one leads."""
        self.instances = [
            Instance(self, number, **more) for number in range(count)
        ]
        for instance in self.instances:
            instance.start()
        wait_for(
            lambda: all(each.is_ready() for each in self.instances),
            READY_S,
            'the instances to be ready',
        )
        wait_for(self.leader, READY_S, 'a leader')

    def leader(self) -> Instance | None:
        """Return the instance that holds the leader's key, if any."""
        text = self.store.text('gp/leader')
        found = [each for each in self.instances if f'"{each.name}"' in text]
        return found[0] if found else None

    def call(
        self, method: str, path: str, body: object = None, index: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Send a request to an instance; status 0 means no answer."""
        instance = self.instances[index]
        encoded = None if body is None else json.dumps(body).encode()
        try:
            status, answer = _exchange(instance.front, method, path, encoded)
        except (OSError, http.client.HTTPException):
            status, answer = 0, {}
        self.record.add(f'{instance.name} {method} {path} -> {status} {answer}')
        return status, answer

    def submit(
        self, prefix: str, *steps: dict[str, Any], task_spec: str = 'x'
    ) -> str:
        """Hand a job in, again and again until it is accepted."""
        job_id = secrets.token_hex(8)
        body = {'task_spec': task_spec, 'phases': list(steps)}
        for attempt in range(5):
            index = attempt % len(self.instances)
            if self.call('POST', f'{prefix}{job_id}', body, index)[0] == 200:
                return job_id
            time.sleep(0.3)
        raise CannotRunError('a job was not accepted')

    def close(self, folder: Path) -> None:
        """End everything, and write the record."""
        for instance in self.instances:
            instance.end()
        for worker in self.workers:
            worker.close()
        self.store.shutdown()
        text = '\n'.join(self.record.lines)
        (folder / 'record.txt').write_text(f'{text}\n')


def _exchange(
    port: int, method: str, path: str, body: bytes | None = None
) -> tuple[int, dict[str, Any]]:
    conn = http.client.HTTPConnection(HOST, port, timeout=ANSWER_S)
    headers = {
        'Host': 'fit.example',
        'Content-Type': 'application/json',
        'X-Deadline-Ms': '3000',
    }
    try:
        conn.request(method, path, body, headers)
        response = conn.getresponse()
        content = response.read()
    finally:
        conn.close()
    return response.status, json.loads(content or b'{}')


def wait_for(holds: Callable[[], object], seconds: float, what: str) -> None:
    """Wait until a condition holds; raises `CannotRunError`."""
    until_s = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > until_s:
            raise CannotRunError(f'waited in vain for {what}')
        time.sleep(0.01)


def play(folder: Path, case: Callable[[Site], bool]) -> None:
    """Play a case on a new site, and exit with its outcome."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    site = Site()
    outcome = NOT_RUN
    try:
        outcome = HELD if case(site) else BROKEN
    except Exception as exc:
        site.record.add(f'cannot run: {exc!r}')
    finally:
        names = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
        site.record.add(names.get(outcome, 'the case could not run'))
        site.close(folder)
    print(site.record.lines[-1].strip())
    sys.exit(outcome)
