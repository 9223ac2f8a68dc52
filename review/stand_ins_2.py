"""Stand-ins and helpers of the cases 6 to 10 of the second review.

The driver of a case runs the store, the workers and the clients in its own
process. The instances of the project are separate processes, started with the
command of the deploy file. Everything is on loopback and the real clock.
"""

import json
import os
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.grid_store import GridStore  # noqa: E402
from standins.http_server import Call, Reply, StandinServer  # noqa: E402
from standins.ports import free_port  # noqa: E402

HOST = '127.0.0.1'
HEARTBEAT_S = 1.1
MAX_HOLD_MS = 6000
STOP_S = 0.05
GANG_WAIT_S = 3.0
TICK_S = 0.01
CALLER_MS = 3000
GRACE_S = 6
ROUTE_HOST = 'fit.example'
PREFIX = '/build/'
SETTINGS_VARIABLE = 'GENTIANPULLEY_NODE_FILE'

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w', buffering=1)
        self._started = time.monotonic()
        self._lock = threading.Lock()

    def note(self, text):
        with self._lock:
            at = time.monotonic() - self._started
            self._file.write(f'{at:8.3f} s  {text}\n')


class CannotRun(Exception):
    """The case could not run as meant; it tells nothing."""


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, now):
        self.task = task
        self.number = number
        self.work = json.loads(spec or '{}')
        self.started = now
        self.stops = 0.0
        self.is_doomed = False

    def percent(self, since):
        """Return how far the run has come, if it is at work since then."""
        if since is None:
            return 0
        worked_ms = (time.monotonic() - since) * 1000
        return min(99, int(100 * worked_ms / max(1, self.work.get('ms', 100))))


class Gangs:
    """Which members of each run of a gang are present, on all workers.

    Its members start to work once all are present, and end together.
    """

    def __init__(self):
        self.lock = threading.RLock()
        self.sizes = {}
        self.present = {}
        self.complete = {}
        self.over = {}

    def key(self, task, number):
        step = task.rpartition('.')[0]
        return (step, number) if step in self.sizes else None


class Worker(StandinServer):
    """One worker of the platform, as PROTOCOL.md describes it."""

    def __init__(self, store, name, zone, labels, record, gangs, cpu=16000):
        super().__init__(HOST, 0)
        self.name, self.zone, self.labels = name, zone, list(labels)
        self.cpu = cpu
        self.store, self.record, self.gangs = store, record, gangs
        self.is_grey = False
        self.is_down = False
        self.starts = []
        self.ends = []
        self._conns = set()
        self._lock = threading.Condition(gangs.lock)
        self._closed = threading.Event()
        self._seq = 0
        self._begin_life()
        self.run_in_background()
        threading.Thread(target=self._tick, daemon=True).start()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self._birth = time.monotonic()
        self._token = 0
        self._lease = 0
        self._runs = {}
        self._barred = {}
        self._ended = []
        self._last_end = 0

    # Connections: a crash resets all of them.

    def process_request(self, request, client_address):
        if self.is_down:
            _reset(request)
            return
        self._conns.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self._conns.discard(request)
        super().shutdown_request(request)

    def crash(self, down_s):
        """Lose all state, and start again under the same id and address."""
        with self._lock:
            self.is_down = True
            lost = [
                f'{each.task}/{each.number}' for each in self._runs.values()
            ]
            self.record.note(f'{self.name} crashes; running there: {lost}')
            runs = list(self._runs.values())
            self._runs = {}
            self._lock.notify_all()
        for run in runs:
            self._break_gang(run)
        for conn in tuple(self._conns):
            _reset(conn)
        threading.Timer(down_s, self._start_again).start()

    def _start_again(self):
        with self._lock:
            self._begin_life()
            self.is_down = False
        self.record.note(f'{self.name} starts again, born {self.born}')
        self.register()

    def register(self):
        self._seq += 1
        entry = {
            'service': 'fitting',
            'addr': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': self._seq,
            'born': self.born,
            'capacity': {'cpu': self.cpu, 'mem_mb': 64000, 'gpus': 0},
            'labels': self.labels,
        }
        self.store.put(f'servers/{self.name}', entry)

    def _heartbeat(self):
        while not self._closed.is_set():
            if not self.is_down:
                self.register()
            self._closed.wait(HEARTBEAT_S)

    def running(self):
        """Return the tasks that run here now."""
        with self._lock:
            return sorted(self._runs)

    def close(self):
        self._closed.set()
        self.shutdown()

    # Orders.

    def serve(self, call: Call) -> Reply:
        if call.headers.get('X-Target-Instance', self.name) != self.name:
            return self._reply({}, 421)
        order = json.loads(call.body)
        verb = call.path.rpartition('/')[2]
        with self._lock:
            if self.is_down:
                return self._reply({}, 503)
            token = order.get('fence_token', 0)
            if token < self._token:
                return self._reply({'reason': 'fence'}, 409)
            self._token = token
            if verb == 'hold':
                return self._hold(order)
            if verb == 'run-start':
                return self._start(order)
            if verb == 'run-stop':
                return self._stop(order)
            return self._reply({})

    def clock(self):
        return int((time.monotonic() - self._birth) * 1000) + 1

    def _extend(self, until):
        self._lease = max(self._lease, min(until, self.clock() + MAX_HOLD_MS))

    def _hold(self, order):
        self._extend(order.get('deadline_ms', 0))
        acked = order.get('acked_upto', 0)
        self._ended = [row for row in self._ended if row[0] > acked]
        until = time.monotonic() + order.get('wait_ms', 0) / 1000
        life = self.born
        while not self._ended and time.monotonic() < until:
            self._lock.wait(TICK_S)
            if self.is_down or self.born != life:
                return self._reply({}, 503)
        running = [
            [run.task, run.number, '', run.percent(self._since(run)), 100]
            for run in self._runs.values()
        ]
        return self._reply({'running': running, 'ended': self._ended[:500]})

    def _start(self, order):
        task, number = order['task'], order['run']
        if order['deadline_ms'] <= self.clock():
            return self._reply({'reason': 'late'}, 409)
        self._extend(order['deadline_ms'])
        there = self._runs.get(task)
        if there is not None and there.number == number:
            return self._reply({})
        if there is not None or number <= self._barred.get(task, 0):
            return self._reply({'reason': 'old'}, 409)
        run = Run(task, number, order['task_spec'], time.monotonic())
        run.is_doomed = self.is_grey
        self._runs[task] = run
        self.starts.append((time.monotonic(), task, number))
        self.record.note(f'{self.name} starts {task} run {number}')
        key = self.gangs.key(task, number)
        if key is not None:
            members = self.gangs.present.setdefault(key, set())
            members.add(task)
            if len(members) == self.gangs.sizes[key[0]]:
                self.gangs.complete.setdefault(key, time.monotonic())
        return self._reply({})

    def _stop(self, order):
        run = self._runs.get(order['task'])
        if run is not None and run.number <= order['run']:
            run.stops = run.stops or time.monotonic() + STOP_S
        barred = self._barred.get(order['task'], 0)
        self._barred[order['task']] = max(barred, order['run'])
        return self._reply({})

    def _tick(self):
        while not self._closed.wait(TICK_S):
            with self._lock:
                for run in tuple(self._runs.values()):
                    how = self._end_of(run)
                    if how:
                        self._end(run, how)

    def _since(self, run):
        """Return since when a run is at work, None if it waits."""
        key = self.gangs.key(run.task, run.number)
        return run.started if key is None else self.gangs.complete.get(key)

    def _end_of(self, run):
        """Return how a run ends now, or an empty text."""
        now = time.monotonic()
        key = self.gangs.key(run.task, run.number)
        if self.clock() > self._lease:
            return 'lapsed'
        if run.stops and now >= run.stops:
            return 'stopped'
        if run.is_doomed:
            return 'failed'
        since = self._since(run)
        if key is not None:
            if key in self.gangs.over:
                return self.gangs.over[key]
            if since is None:
                return 'alone' if now > run.started + GANG_WAIT_S else ''
        if now < since + run.work.get('ms', 100) / 1000:
            return ''
        return 'failed' if run.work.get('fail') else 'done'

    def _break_gang(self, run, how='broken'):
        key = self.gangs.key(run.task, run.number)
        if key is not None:
            self.gangs.over.setdefault(key, how)

    def _end(self, run, how):
        self._runs.pop(run.task)
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._break_gang(run, 'done' if how == 'done' else 'broken')
        self._last_end += 1
        self._ended.append([self._last_end, run.task, run.number, how, ''])
        self.ends.append((time.monotonic(), run.task, run.number, how))
        self.record.note(f'{self.name} ends {run.task} run {run.number}: {how}')
        self._lock.notify_all()

    def _reply(self, fields, status=200):
        body = {'clock_ms': self.clock(), 'born': self.born, **fields}
        return Reply(status, json.dumps(body).encode())


def _reset(conn):
    try:
        conn.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        conn.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    try:
        conn.close()
    except OSError:
        pass


class Instance:
    """One instance of the project, a process of its own."""

    def __init__(self, name, zone, store_port, folder, more=()):
        front, ready, metrics, control = (free_port() for _ in range(4))
        self.name, self.front, self.ready = name, front, ready
        self.folder = folder
        self._popen = None
        self._path = Path(folder) / f'{name}.conf'
        lines = (
            f'node={name}',
            'role=entry',
            'machine_class=front',
            'serves=front,control',
            f'ip={HOST}',
            f'zone={zone}',
            'region=loop',
            'zones.a=loop',
            'zones.b=loop',
            f'listen.front={HOST}:{front}',
            f'listen.ready={HOST}:{ready}',
            f'listen.control={HOST}:{control}',
            f'listen.metrics={HOST}:{metrics}',
            'bootstrap=true',
            'limits.cpu_share=0.537',
            'limits.cores=2',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            'limits.link_mbps=1000.0',
            'discovery=platform',
            'entry=vip',
            'heartbeat_ms=1100',
            'fault_tolerance.machines=1',
            'fault_tolerance.zones=1',
            'bounds.contact_ms=3000',
            'bounds.ack_ms=4000',
            'bounds.drain_ms=2000',
            f'bounds.grace_s={GRACE_S}',
            'bounds.config_apply_ms=2000',
            'bounds.evacuate_ms=5000',
            'bounds.recovery_s=12',
            f'bounds.max_hold_ms={MAX_HOLD_MS}',
            'bounds.stop_ms=900',
            'bounds.gang_wait_ms=3000',
            'bounds.cancel_ms=3000',
            'bounds.visible_ms=3000',
            'bounds.early_ms=250',
            'bounds.finish_s=14',
            'bounds.status_s=120',
            'bounds.checkpoint_interval_s=2',
            'bounds.restore_ms=100',
            'bounds.notice_ms=4500',
            'bounds.move_s=1.5',
            'bounds.upkeep_s=2',
            'bounds.require_fencing=true',
            'bounds.lease_ms=3000',
            'bounds.pace_ms=100',
            'bounds.harm_ms=4000',
            'orders=invoke',
            'advice=',
            f'platform.addr={HOST}:{store_port}',
            'platform.form=kv',
            'platform.writes_per_s=400',
            'platform.reads_per_s=2000',
            'platform.history_s=20',
            'platform.value_bytes=1048576',
            'platform.ttl_min_ms=1000',
            *more,
        )
        self._path.write_text('\n'.join(lines) + '\n')

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['entry']['run'])
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env[SETTINGS_VARIABLE] = str(self._path)
        with (Path(self.folder) / f'{self.name}.log').open('ab') as log:
            self._popen = subprocess.Popen(
                words,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        if self._popen is not None and self._popen.poll() is None:
            self._popen.send_signal(number)

    def is_running(self):
        return self._popen is not None and self._popen.poll() is None

    def kill(self):
        self.send(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def is_ready(self):
        conn = HTTPConnection(HOST, self.ready, timeout=2)
        try:
            conn.request('GET', '/gentianpulley/ready')
            return conn.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()

    def end(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self._popen is not None:
            try:
                self._popen.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.kill()


class Site:
    """The store, workers and instances of a case, and a caller."""

    def __init__(self, case_file, store_type=GridStore):
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.record = Record(Path(case_file).resolve().parent)
        self.gangs = Gangs()
        self.store = store_type()
        self.store.run_in_background()
        self.workers, self.instances = [], []

    def put_config(self, version=1, **route):
        route = {
            'name': 'r-build',
            'host': ROUTE_HOST,
            'prefix': PREFIX,
            'service': 'fitting',
            'timeout_ms': 3000,
            'target_latency_ms': 1000,
            'priority': 1,
            'max_attempts': 3,
            'stretch': 2.0,
            **route,
        }
        self.store.put(
            'op/config',
            {
                'version': version,
                'routes': [route],
                'services': [{'name': 'fitting', 'rejects_overload': False}],
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': 262144,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
            },
        )

    def add_worker(self, name, zone='a', labels=('a', 'r1'), cpu=16000):
        worker = Worker(
            self.store, name, zone, labels, self.record, self.gangs, cpu
        )
        self.workers.append(worker)
        return worker

    def start(self, count=2, more=()):
        for number in range(count):
            zone = 'ab'[number % 2]
            instance = Instance(
                f'front-{zone}-{number + 1}',
                zone,
                self.store.port,
                self.folder,
                more,
            )
            self.instances.append(instance)
            instance.start()
        wait_for(
            lambda: all(each.is_ready() for each in self.instances),
            20,
            'the instances to be ready',
        )
        wait_for(lambda: self.store.text('gp/leader'), 10, 'a leader')
        time.sleep(2)

    def leader(self):
        text = self.store.text('gp/leader')
        return next(
            (each for each in self.instances if f'"{each.name}"' in text), None
        )

    def call(self, method, path, body=None, instance=None):
        """Send one request; return the status (0: none) and the answer."""
        instance = instance or self.instances[0]
        conn = HTTPConnection(HOST, instance.front, timeout=CALLER_MS / 1000)
        payload = None if body is None else json.dumps(body)
        self.record.note(f'caller: {method} {path} at {instance.name}')
        try:
            conn.request(
                method,
                path,
                payload,
                {
                    'Host': ROUTE_HOST,
                    'Content-Type': 'application/json',
                    'X-Deadline-Ms': str(CALLER_MS),
                },
            )
            response = conn.getresponse()
            status, text = response.status, response.read()
        except (OSError, HTTPException) as error:
            self.record.note(f'caller: no answer, {error!r}')
            return 0, {}
        finally:
            conn.close()
        self.record.note(f'caller: answer {status} {text.decode()}')
        try:
            return status, json.loads(text or b'{}')
        except ValueError:
            return status, {}

    def submit(self, job_id, steps, **work):
        body = {'task_spec': json.dumps(work), 'phases': steps}
        return self.call('POST', PREFIX + job_id, body)[0]

    def state(self, job_id):
        return self.call('GET', PREFIX + job_id)[1].get('state', '')

    def starts(self, job_id):
        return sorted(
            (at, worker.name, task, number)
            for worker in self.workers
            for at, task, number in tuple(worker.starts)
            if task.startswith(job_id)
        )

    def ends(self, job_id):
        return sorted(
            (at, worker.name, task, number, how)
            for worker in self.workers
            for at, task, number, how in tuple(worker.ends)
            if task.startswith(job_id)
        )

    def close(self):
        for instance in self.instances:
            instance.end()
        for worker in self.workers:
            worker.close()
        self.store.faults = {}
        self.store.shutdown()


def wait_for(holds, seconds, what):
    """Wait until a condition holds, at most so long."""
    until = time.monotonic() + seconds
    while not holds():
        if time.monotonic() > until:
            raise CannotRun(f'waited in vain for {what}')
        time.sleep(0.05)


def _end_early(number, frame):
    raise CannotRun(f'ended by signal {number}')


def main(case_file, play, **options):
    """Play a case and exit: 0 held, 1 broken, 2 could not run."""
    signal.signal(signal.SIGTERM, _end_early)
    site = Site(case_file, **options)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    site.record.note(f'trouble: {has_trouble}')
    try:
        status, text = play(site, has_trouble)
    except Exception as error:
        status, text = NOT_RUN, f'could not run: {error!r}'
    try:
        site.close()
    except Exception as error:
        site.record.note(f'closing: {error!r}')
    shutil.rmtree(site.folder, ignore_errors=True)
    verdict = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}[status]
    site.record.note(f'{verdict}: {text}')
    print(f'{verdict}: {text}', flush=True)
    os._exit(status)
