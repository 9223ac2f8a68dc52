"""A small site for the review's scripts, on loopback and the real clock.

The instances are processes, started with the command of `deploy/system.toml`.
The store, the workers and the machines are stand-ins in the driver's process.
Only the standard library and the project's own stand-ins are used.
"""

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.grid_store import GridStore  # noqa: E402
from standins.grid_worker import GridWorker  # noqa: E402
from standins.http_server import Call, Reply, StandinServer  # noqa: E402
from standins.tcp_proxy import LinkState, TcpProxy  # noqa: E402

HOST = '127.0.0.1'
QUEUE_HOST = 'fit.example'
STORE_ANSWER_S = 0.004
BOUNDS = """\
bounds.seed_lag_s=3
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.max_hold_ms=6000
bounds.stop_ms=900
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpoint_interval_s=2
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.move_s=1.5
bounds.upkeep_s=2
bounds.require_fencing=true
bounds.lease_ms=3000
bounds.pace_ms=100
bounds.harm_ms=4000
"""


class CannotRun(Exception):
    """The case couldn't be brought about."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._lock = threading.Lock()
        self._start_s = time.monotonic()
        self._file = Path(path).open('w')

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def note(self, text):
        """Write one line; return its time."""
        with self._lock:
            at_s = self.now()
            self._file.write(f'{at_s:8.3f} {text}\n')
            self._file.flush()
        return at_s


def free_port():
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Store(GridStore):
    """The project's store, with the 4 ms an answer that SYSTEM.md gives."""

    def serve(self, call):
        """Answer a call."""
        reply = super().serve(call)
        time.sleep(STORE_ANSWER_S)
        return reply


class Worker(GridWorker):
    """A worker of the project's stand-ins that can lose power for good."""

    is_off = False
    polled_s = 0.0

    def serve(self, call):
        """Answer, or break the channel of a machine without power."""
        if self.is_off:
            raise ConnectionError('no power')
        reply = super().serve(call)
        if self.is_off:
            raise ConnectionError('no power')
        if call.path.endswith('/hold'):
            self.polled_s = time.monotonic()
        return reply

    def power_off(self):
        """End everything that runs there; answer nothing any more."""
        with self._lock:
            self.is_off = True
            ended = [(run.task, run.run) for run in self._runs.values()]
            self._runs.clear()
        self.shutdown()
        self.server_close()
        self._store.remove(f'servers/{self.worker_id}')
        return ended


class Machines(StandinServer):
    """The platform's machines, as PROTOCOL.md describes them.

    `upkeep_s` after its upkeep began a machine is up again with a new worker.
    A fence counts for each machine by itself. The next `unanswered` orders
    get no answer and are carried out `late_s` later.
    """

    def __init__(self, site, names, upkeep_s=2.0):
        super().__init__(HOST, 0)
        self._site = site
        self._upkeep_s = upkeep_s
        self._lives = dict.fromkeys(names, 1)
        self._states = dict.fromkeys(names, 'up')
        self._fences = dict.fromkeys(names, 0)
        self._done = set()
        self._lock = threading.Lock()
        self.unanswered = 0
        self.late_s = 10.0
        self.begun = []
        self.on_begin = lambda machine, holder: None
        for name in names:
            site.add_worker(self._worker_id(name))
        self.run_in_background()

    def _worker_id(self, machine):
        return f'{machine}-life{self._lives[machine]}'

    def serve(self, call):
        """Handle one call."""
        if call.method == 'GET':
            return self._list()
        if not call.path.endswith('/machine-upkeep'):
            return Reply(400, b'{}')
        order = json.loads(call.body)
        fence = int(call.headers['X-Fence-Token'])
        holder = call.headers['X-Lease-Holder']
        if self.unanswered:
            self.unanswered -= 1
            self._site.record.note(
                f'platform: no answer to {holder} (fence {fence}) upkeep of'
                f' {order["machine"]}; to be carried out in {self.late_s} s'
            )
            late = (order['machine'], order['wave'], fence, holder)
            threading.Timer(self.late_s, self._begin, late).start()
            time.sleep(self.late_s)
            raise ConnectionError('no answer')
        reply = self._begin(order['machine'], order['wave'], fence, holder)
        self._site.record.note(
            f'platform: {reply.status} to {holder} (fence {fence}) upkeep of'
            f' {order["machine"]} {reply.body.decode()}'
        )
        return reply

    def down(self):
        """Return the machines whose upkeep isn't over."""
        return [name for name, state in self._states.items() if state != 'up']

    def _list(self):
        with self._lock:
            rows = [
                {
                    'machine': name,
                    'pool': 'fitting',
                    'state': state,
                    'zone': 'a',
                    'labels': ['kind', 'r1'],
                    'capacity': {'cpu': 64000, 'mem_mb': 256000, 'gpus': 0},
                    'id': self._worker_id(name) if state == 'up' else None,
                }
                for name, state in self._states.items()
            ]
        return Reply(
            200, json.dumps({'machines': rows, 'next_token': None}).encode()
        )

    def _begin(self, machine, wave, fence, holder):
        with self._lock:
            if machine not in self._states:
                return Reply(400, b'{}')
            if fence < self._fences[machine]:
                return Reply(409, b'{"reason":"fence"}')
            self._fences[machine] = fence
            if (machine, wave) in self._done:
                return Reply(200, b'{}')
            if self._states[machine] != 'up':
                return Reply(409, b'{"reason":"busy"}')
            others = self.down()
            self._states[machine] = 'upkeep'
            self._done.add((machine, wave))
            worker = self._site.workers[self._worker_id(machine)]
        ended = worker.power_off()
        at_s = self._site.record.note(
            f'platform: upkeep of {machine} begins (order of {holder});'
            f' down for theirs already: {others}; ends {ended}'
        )
        self.begun.append((at_s, machine, holder, others, ended))
        threading.Timer(self._upkeep_s, self._end, (machine,)).start()
        self.on_begin(machine, holder)
        return Reply(200, b'{}')

    def _end(self, machine):
        with self._lock:
            self._lives[machine] += 1
            worker_id = self._worker_id(machine)
        if self._site.is_closed:
            return
        self._site.add_worker(worker_id)
        with self._lock:
            self._states[machine] = 'up'
        self._site.record.note(
            f'platform: {machine} is up again with worker {worker_id}'
        )


class Instance:
    """One machine of the system: its process, and its link to the store."""

    def __init__(self, site, name, more=()):
        self.name = name
        self.site = site
        self.link = TcpProxy(site.store.port)
        self.front = free_port()
        self.ready = free_port()
        cloud = f'{HOST}:{site.machines.port}' if site.machines else ''
        text = '\n'.join(
            (
                f'node={name}',
                'role=entry',
                'machine_class=front',
                'serves=front,control',
                f'ip={HOST}',
                'zone=a',
                'region=r',
                f'listen.front={HOST}:{self.front}',
                f'listen.ready={HOST}:{self.ready}',
                f'listen.metrics={HOST}:{free_port()}',
                'limits.cpu_share=0.537',
                'limits.cores=2',
                'limits.memory_mb=300',
                'limits.max_fds=4100',
                'limits.link_mbps=1000.0',
                'orders=invoke',
                'advice=',
                f'platform.addr={HOST}:{self.link.port}',
                'platform.form=kv',
                f'cloud_api.addr={cloud}',
                BOUNDS,
                *more,
                '',
            )
        )
        self._settings = site.folder / f'{name}.conf'
        self._settings.write_text(text)
        self.process = None
        self.start()

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(deploy['roles']['entry']['run'])
        env = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'GENTIANPULLEY_NODE_FILE': str(self._settings),
        }
        with (self.site.folder / f'{self.name}.log').open('ab') as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=output,
                stderr=subprocess.STDOUT,
            )

    def tell(self, number):
        """Send a signal to the process."""
        self.site.record.note(f'{number.name} to {self.name}')
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether the platform's check gets 200."""
        conn = HTTPConnection(HOST, self.ready, timeout=1)
        try:
            conn.request('GET', '/gentianpulley/ready')
            return conn.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()

    def call(self, method, path, body=None, *, quiet=False, timeout=4.0):
        """Send a client's request; return the status and the body."""
        encoded = None if body is None else json.dumps(body).encode()
        if not quiet:
            self.site.record.note(f'client: {method} {path} to {self.name}')
        conn = HTTPConnection(HOST, self.front, timeout=timeout)
        try:
            conn.request(
                method,
                path,
                encoded,
                {
                    'Host': QUEUE_HOST,
                    'X-Deadline-Ms': '3000',
                    'Content-Type': 'application/json',
                },
            )
            resp = conn.getresponse()
            status, answer = resp.status, resp.read()
        except (OSError, HTTPException) as exc:
            status, answer = 0, repr(exc).encode()
        finally:
            conn.close()
        if not quiet:
            self.site.record.note(
                f'client: {method} {path}: {status} {answer.decode()}'
            )
        return status, answer


class Site:
    """All parts of one site."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store()
        self.store.run_in_background()
        self.workers = {}
        self.all_workers = []
        self.machines = None
        self.instances = []
        self.is_closed = False

    def write_config(self, version=1, *routes):
        """Write the operator's configuration."""
        rows = routes or (
            ('r-quick', '/quick/', 0, 2),
            ('r-batch', '/batch/', 2, 3),
        )
        document = {
            'version': version,
            'routes': [
                {
                    'name': name,
                    'host': QUEUE_HOST,
                    'prefix': prefix,
                    'service': 'fitting',
                    'priority': priority,
                    'max_attempts': attempts,
                    'stretch': 2,
                    'target_latency_ms': 1000,
                    'timeout_ms': 3000,
                }
                for name, prefix, priority, attempts in rows
            ],
            'services': [
                {'name': 'fitting', 'rejects_overload': False, 'spare': False}
            ],
            'limits': {'max_body_bytes': 262144},
        }
        self.store.put('op/config', document)

    def add_worker(self, worker_id, **registration):
        """Start a worker and register it."""
        worker = Worker(self.store, worker_id, **registration)
        worker.run_in_background()
        self.workers[worker_id] = worker
        self.all_workers.append(worker)
        return worker

    def add_instances(self, count, more=()):
        """Start instances and wait until all are ready."""
        first = len(self.instances)
        for number in range(first, first + count):
            self.instances.append(Instance(self, f'n{number}', more))
        self.wait(
            lambda: all(each.is_ready() for each in self.instances),
            20,
            'the instances are ready',
        )

    def instance(self, name):
        """Return an instance by name."""
        return next(each for each in self.instances if each.name == name)

    def leader(self):
        """Return the instance that the store names as leader, or None."""
        text = self.store.text('gp/leader')
        return next(
            (each for each in self.instances if f'"{each.name}"' in text), None
        )

    def wait(self, holds, seconds, what):
        """Wait until something holds; raise `CannotRun` if it doesn't."""
        end_s = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > end_s:
                raise CannotRun(f'not in time: {what}')
            time.sleep(0.02)

    def close(self):
        """End all processes and stand-ins."""
        self.is_closed = True
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
            instance.process.wait()
            instance.link.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print('logs in', self.folder)


def is_trouble():
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def _stop(number, frame):
    raise CannotRun('stopped from outside')


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if unplayed.

    `play` gets the site and returns the breaks as texts.
    """
    site = Site(folder)
    status = 2
    signal.signal(signal.SIGTERM, _stop)
    try:
        breaks = play(site)
        for text in breaks:
            site.record.note(f'BROKEN: {text}')
            print('BROKEN:', text)
        if not breaks:
            site.record.note('the rule held')
            print('the rule held')
        status = 1 if breaks else 0
    except CannotRun as exc:
        site.record.note(f'could not run: {exc}')
        print('could not run:', exc)
    except Exception as exc:
        site.record.note(f'could not run: {exc!r}')
        print('could not run:', repr(exc))
    finally:
        site.close()
    sys.stdout.flush()
    os._exit(status)
