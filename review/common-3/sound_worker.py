"""A worker as the users' pages describe one, for the cases of this review.

It is reached through a proxy of its own, which can cut it off. It checks in at
the store, keeps one lease for all that runs, and numbers its ends anew in each
lifetime. Everything that it starts and ends goes into a shared record.
"""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins.grid_store import GridStore
from standins.http_server import OK, Call, Reply, StandinServer
from standins.tcp_proxy import LinkState, TcpProxy

HOST = '127.0.0.1'
HEARTBEAT_S = 1.1
MAX_HOLD_MS = 6000
GANG_WAIT_S = 4.0
STOP_S = 0.4
"""A stop takes at most `stop_ms`, which is 900."""
TICK_S = 0.005
MS = 1000
CONFLICT = 409
MISDIRECTED = 421

Json = dict[str, Any]


@dataclass
class Run:
    """A task that runs here."""

    task: str
    number: int
    since_s: float
    work_s: float
    fails: bool = False
    stops_s: float = 0
    gang: 'Gang | None' = None


@dataclass
class Gang:
    """One run of a gang: who is present, since when it works, how it ended."""

    size: int
    present: set[str] = field(default_factory=set)
    works_since_s: float = 0
    is_broken: bool = False


@dataclass
class Gangs:
    """The gangs of a site, by step and run."""

    by_run: dict[tuple[str, int], Gang] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def join(self, task: str, number: int, size: int) -> Gang:
        """Add a member; a gang works from when all are present."""
        key = (task.rpartition('.')[0], number)
        with self.lock:
            gang = self.by_run.setdefault(key, Gang(size))
            gang.present.add(task)
            if len(gang.present) == size and not gang.works_since_s:
                gang.works_since_s = time.monotonic()
        return gang


@dataclass
class Record:
    """What was sent, answered and run, in the order of events."""

    began_s: float = field(default_factory=time.monotonic)
    lines: list[str] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, text: str) -> None:
        """Append one line with the seconds since the start."""
        with self.lock:
            at_s = time.monotonic() - self.began_s
            self.lines.append(f'{at_s:9.3f} {text}')

    def at_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began_s


class Worker(StandinServer):
    """One worker; `work` tells how long a task works, and whether it fails."""

    def __init__(
        self,
        store: GridStore,
        record: Record,
        worker_id: str,
        work: Callable[[str, str], tuple[float, bool]],
        labels: tuple[str, ...] = ('a', 'r1-1'),
        zone: str = 'a',
        cpu: int = 64_000,
        gangs: Gangs | None = None,
    ) -> None:
        super().__init__(HOST, 0)
        self.worker_id = worker_id
        self.record = record
        self.link = TcpProxy(self.port)
        self.is_up = False
        self.started: list[tuple[float, str, int]] = []
        self.ended: list[tuple[float, str, int, str]] = []
        self.noted: list[tuple[float, str, int, str]] = []
        self.runs: dict[str, Run] = {}
        self._store = store
        self._work = work
        self._labels = labels
        self._zone = zone
        self._cpu = cpu
        self._gangs = gangs
        self._state = 'ready'
        self._left_until_s = 0.0
        self._changed = threading.Condition()
        self._life = 0
        self._forget()
        self._closed = threading.Event()
        self.run_in_background()
        threading.Thread(target=self._advance, daemon=True).start()
        threading.Thread(target=self._check_in, daemon=True).start()

    def come_up(self) -> None:
        """Begin a lifetime: nothing runs, and counts start anew."""
        with self._changed:
            self._forget()
            self.is_up = True
        self.link.switch(LinkState.UP)
        self.record.add(f'{self.worker_id} up, born {self._born}')
        self._register()

    def go_down(self) -> None:
        """Crash: everything here ends, and its channels are reset."""
        with self._changed:
            self.is_up = False
            lost = sorted(self.runs)
            self._forget()
        self.link.switch(LinkState.CUT)
        self.break_connections()
        self.record.add(f'{self.worker_id} crashed, lost {lost}')

    def go_dark(self) -> None:
        """Crash without a sign: everything here ends, channels hang."""
        with self._changed:
            self.is_up = False
            lost = sorted(self.runs)
            self._forget()
        self.link.silence_open()
        self.link.switch(LinkState.SILENT)
        self.record.add(f'{self.worker_id} went dark, lost {lost}')

    def replace(self, worker_id: str) -> None:
        """Let another worker come up at the same address."""
        self.link.silence_open()
        self.worker_id = worker_id
        self.come_up()

    def drain(self, left_ms: int) -> None:
        """Report that it drains, and leave after that time."""
        self._state = 'draining'
        self._left_until_s = time.monotonic() + left_ms / MS
        self.record.add(f'{self.worker_id} drains')
        self._register()

    def leave(self) -> None:
        """Exit after a drain; its entry is removed."""
        self.go_down()
        self._store.remove(f'servers/{self.worker_id}')

    def cut(self) -> None:
        """Partition it from all machines of the system; it runs on."""
        self.link.silence_open()
        self.link.switch(LinkState.SILENT)
        self.record.add(f'{self.worker_id} cut off from the system')

    def heal(self) -> None:
        """End the partition."""
        self.link.silence_open()
        self.link.switch(LinkState.UP)
        self.record.add(f'{self.worker_id} reached again')

    def close(self) -> None:
        """End its threads and listeners."""
        self._closed.set()
        self.link.close()
        self.shutdown()
        self.server_close()

    def serve(self, call: Call) -> Reply:
        """Handle one order."""
        target = call.headers.get('X-Target-Instance', self.worker_id)
        if target != self.worker_id:
            return self._reply({}, MISDIRECTED)
        order = json.loads(call.body)
        verb = call.path.rsplit('/', maxsplit=1)[-1]
        with self._changed:
            if order.get('fence_token', 0) < self._token:
                return self._reply({'reason': 'fence'}, CONFLICT)
            self._token = order.get('fence_token', 0)
            if verb == 'run-start':
                return self._start(order)
            if verb == 'run-stop':
                return self._stop(order)
            if verb == 'hold':
                return self._hold(order)
            return self._reply({})

    def _forget(self) -> None:
        self.runs = {}
        self._life += 1
        self._token = 0
        self._refused: dict[str, int] = {}
        self._unacked: list[list[Any]] = []
        self._last_end = 0
        self._lease_ms = 0
        self._writes = 0
        self._born = int(time.time() * MS)
        self._born_s = time.monotonic()

    def _clock(self) -> int:
        return int((time.monotonic() - self._born_s) * MS) + 1

    def _reply(self, fields: Json, status: int = OK) -> Reply:
        body = {'clock_ms': self._clock(), 'born': self._born, **fields}
        return Reply(status, json.dumps(body).encode())

    def _extend(self, deadline_ms: int) -> None:
        most_ms = self._clock() + MAX_HOLD_MS
        self._lease_ms = max(self._lease_ms, min(deadline_ms, most_ms))

    def _start(self, order: Json) -> Reply:
        task, number = order['task'], order['run']
        if order['deadline_ms'] <= self._clock():
            return self._reply({'reason': 'late'}, CONFLICT)
        self._extend(order['deadline_ms'])
        existing = self.runs.get(task)
        if existing is not None and existing.number == number:
            return self._reply({})
        if existing is not None or number <= self._refused.get(task, 0):
            return self._reply({'reason': 'old'}, CONFLICT)
        work_s, fails = self._work(self.worker_id, task)
        run = Run(task, number, time.monotonic(), work_s, fails)
        if self._gangs is not None:
            size = json.loads(order['task_spec'])['gang']
            run.gang = self._gangs.join(task, number, size)
        self.runs[task] = run
        self.started.append((self.record.at_s(), task, number))
        self.record.add(f'{self.worker_id} started {task} run {number}')
        return self._reply({})

    def _stop(self, order: Json) -> Reply:
        task, number = order['task'], order['run']
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.stops_s:
            run.stops_s = time.monotonic() + STOP_S
            self.record.add(
                f'{self.worker_id} told to stop {task} run {number}'
            )
        self._refused[task] = max(self._refused.get(task, 0), number)
        return self._reply({})

    def _hold(self, order: Json) -> Reply:
        life = self._life
        self._extend(order.get('deadline_ms', 0))
        acked = order.get('acked_upto', 0)
        for row in self._unacked:
            if row[0] <= acked:
                noted = (self.record.at_s(), row[1], row[2], row[3])
                self.noted.append(noted)
                if self._gangs is None:
                    self.record.add(
                        f'{self.worker_id} end of {row[1]} run {row[2]} noted'
                    )
        self._unacked = [row for row in self._unacked if row[0] > acked]
        until_s = time.monotonic() + order.get('wait_ms', 0) / MS
        while (
            not self._unacked
            and time.monotonic() < until_s
            and life == self._life
        ):
            self._changed.wait(TICK_S)
        running = [
            [run.task, run.number, '', _percent(run), 10]
            for run in self.runs.values()
        ]
        return self._reply({'running': running, 'ended': self._unacked})

    def _advance(self) -> None:
        while not self._closed.wait(TICK_S):
            with self._changed:
                self._end_due()

    def _end_due(self) -> None:
        is_lapsed = self._clock() > self._lease_ms
        now_s = time.monotonic()
        for run in tuple(self.runs.values()):
            how = ''
            if is_lapsed:
                how = 'lapsed'
            elif run.stops_s and now_s >= run.stops_s:
                how = 'stopped'
            elif run.gang is not None and not run.stops_s:
                how = _end_of_member(run, run.gang, now_s)
            elif now_s >= run.since_s + run.work_s and not run.stops_s:
                how = 'failed' if run.fails else 'done'
            if how:
                self._end(run, how)

    def _end(self, run: Run, how: str) -> None:
        if run.gang is not None and how != 'done':
            run.gang.is_broken = True
        self.runs.pop(run.task)
        self._refused[run.task] = max(
            self._refused.get(run.task, 0), run.number
        )
        self._last_end += 1
        self._unacked.append([self._last_end, run.task, run.number, how, ''])
        self.ended.append((self.record.at_s(), run.task, run.number, how))
        self.record.add(f'{self.worker_id} {how} {run.task} run {run.number}')
        self._changed.notify_all()

    def _check_in(self) -> None:
        while not self._closed.wait(HEARTBEAT_S):
            if self.is_up:
                self._register()

    def _register(self) -> None:
        self._writes += 1
        entry = {
            'service': 'fitting',
            'addr': f'{HOST}:{self.link.port}',
            'zone': self._zone,
            'version': 'v1',
            'slots': 8,
            'state': self._state,
            'cold_left_ms': 0,
            'seq': self._writes,
            'born': self._born,
            'capacity': {'cpu': self._cpu, 'mem_mb': 256_000, 'gpus': 0},
            'labels': list(self._labels),
        }
        if self._left_until_s:
            left_s = max(0, self._left_until_s - time.monotonic())
            entry['remaining_ms'] = int(left_s * MS)
        self._store.put(f'servers/{self.worker_id}', entry)


def _percent(run: Run) -> int:
    worked_s = time.monotonic() - run.since_s
    return min(99, int(100 * worked_s / run.work_s)) if run.work_s else 99


def _end_of_member(run: Run, gang: Gang, now_s: float) -> str:
    """Return how a member of a gang ends now, empty if it goes on."""
    if gang.is_broken:
        return 'broken'
    if not gang.works_since_s:
        return 'alone' if now_s >= run.since_s + GANG_WAIT_S else ''
    return 'done' if now_s >= gang.works_since_s + run.work_s else ''
