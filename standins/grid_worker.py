"""A stand-in of a worker of the users' platform, over loopback.

It keeps the published rules of runs: fencing tokens, rising run numbers, one
lease for all, numbered ends that are listed until acknowledged. A task's
payload says how it goes: `{"ms": 200}` ends as done after 200 ms, and
`{"ms": 50, "fail": 1}` fails. `faults`: `lose_orders` carries out the next N
orders without an answer, `late_orders` carries them out `LATE_S` later,
`silent` answers nothing. With `needs_tickets`, only the tickets of
`grid_adviser` start a task. `events` is the worker's append-only record; its
steady clock runs at `clock_rate`.
"""

import enum
import json
import threading
import time
from dataclasses import dataclass
from typing import Any, Final

from standins.grid_store import GridStore
from standins.http_server import OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
HANG_S: Final = 2.0
LATE_S: Final = 1.2
TICK_S: Final = 0.01
STOP_S: Final = 0.05
MAX_LEASE_MS: Final = 6000
MS: Final = 1000
CONFLICT: Final = 409
BAD_REQUEST: Final = 400
MISDIRECTED: Final = 421

Json = dict[str, Any]


class EventKind(enum.Enum):
    """What happened at a worker.

    `NOTED` is the acknowledgement of an end, `LAPSED` the end of the lease,
    `CRASHED` the end of a life, `CLOSED` and `OPENED` a change of whether the
    worker should be sent anything.
    """

    STARTED = 'started'
    ENDED = 'ended'
    NOTED = 'noted'
    LAPSED = 'lapsed'
    CRASHED = 'crashed'
    CLOSED = 'closed'
    OPENED = 'opened'


@dataclass(frozen=True, slots=True)
class WorkerEvent:
    """One event; `at_s` is the machine's steady time.

    `detail` is the payload of a start and the cause of an end.
    """

    at_s: float
    worker_id: str
    kind: EventKind
    task: str = ''
    run: int = 0
    detail: str = ''


@dataclass
class _Run:
    task: str
    run: int
    work: Json
    ends_s: float
    stops_s: float = 0
    percent: int = 100


class GridWorker(StandinServer):
    """One worker; `started` records every run that ever began."""

    def __init__(
        self,
        store: GridStore,
        worker_id: str,
        zone: str = 'a',
        clock_rate: float = 1.0,
        **facts: Any,
    ) -> None:
        """Listen and register."""
        super().__init__(HOST, 0)
        self.worker_id = worker_id
        self.events: list[WorkerEvent] = []
        self.faults: Json = {}
        self.started: list[tuple[str, int]] = []
        self.needs_tickets = False
        self.done: list[str] = []
        self._store = store
        self._clock_rate = clock_rate
        self._has_lapsed = True
        self._facts = {'service': 'fitting', 'zone': zone, **facts}
        self._lock = threading.Condition()
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * MS)
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, _Run] = {}
        self._barred: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._count = 0
        threading.Thread(target=self._work, daemon=True).start()
        self.register('ready')

    @property
    def zone(self) -> str:
        """Return the failure domain that the worker stands in."""
        return str(self._facts['zone'])

    def register(self, state: str, **facts: Any) -> None:
        """Write the registration with a state, and other facts than so far."""
        self._facts.update(facts)
        entry = {
            'addr': f'{HOST}:{self.port}',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'capacity': {'cpu': 64_000, 'mem_mb': 256_000, 'gpus': 0},
            'labels': ['kind', 'r1'],
            'born': self._born_ms,
            **self._facts,
        }
        self._store.put(f'servers/{self.worker_id}', entry)

    def note(
        self, kind: EventKind, task: str = '', run: int = 0, detail: str = ''
    ) -> None:
        """Add to the record."""
        at_s = time.monotonic()
        event = WorkerEvent(at_s, self.worker_id, kind, task, run, detail)
        self.events.append(event)

    def crash(self) -> None:
        """Forget everything and start a new life at the same address."""
        with self._lock:
            self.note(EventKind.CRASHED)
            self._runs.clear()
            self._barred.clear()
            self._ended.clear()
            self._count = 0
            self._token = 0
            self._lease_ms = 0
            self._born_s = time.monotonic()
            self._born_ms += 1 + int((time.time() * MS) % 1000)
        self.register('ready')

    def running(self) -> list[str]:
        """Return the tasks that run now."""
        with self._lock:
            return sorted(self._runs)

    def serve(self, call: Call) -> Reply:
        """Answer one order."""
        while self.faults.get('silent'):
            time.sleep(0.05)
        expected = call.headers.get('X-Target-Instance', self.worker_id)
        if expected != self.worker_id:
            return self._reply({}, MISDIRECTED)
        try:
            order = json.loads(call.body)
        except ValueError:
            return self._reply({}, BAD_REQUEST)
        verb = call.path.rsplit('/', maxsplit=1)[-1]
        if verb != 'hold' and self._takes('late_orders'):
            threading.Timer(LATE_S, self._carry_out, (verb, order)).start()
            time.sleep(HANG_S)
        reply = self._carry_out(verb, order)
        if verb != 'hold' and self._takes('lose_orders'):
            time.sleep(HANG_S)
        return reply

    def _carry_out(self, verb: str, order: Json) -> Reply:
        with self._lock:
            token = order.get('fence_token', 0)
            if token < self._token:
                return self._reply({'reason': 'fence'}, CONFLICT)
            self._token = token
            verbs = {
                'hold': self._hold,
                'run-start': self._start,
                'run-stop': self._stop,
                'pace': self._pace,
            }
            return verbs[verb](order)

    def _pace(self, order: Json) -> Reply:
        run = self._runs.get(order['task'])
        if run is not None and run.run == order['run']:
            run.percent = order['percent']
        return self._reply({})

    def _start(self, order: Json) -> Reply:
        task, number = order['task'], order['run']
        known = self._runs.get(task)
        step = task.rpartition('.')[0]
        is_told = order.get('ticket') == f'{step}/{self.worker_id}'
        if self.needs_tickets and not is_told:
            return self._reply({'reason': 'ticket'}, CONFLICT)
        if order['deadline_ms'] <= self._clock():
            return self._reply({'reason': 'late'}, CONFLICT)
        self._extend_lease(order['deadline_ms'])
        if known is not None and known.run == number:
            return self._reply({})
        if known is not None or number <= self._barred.get(task, 0):
            return self._reply({'reason': 'old'}, CONFLICT)
        work = json.loads(order['task_spec'] or '{}')
        ends_s = time.monotonic() + work.get('ms', 100) / MS
        self._runs[task] = _Run(task, number, work, ends_s)
        self.started.append((task, number))
        self.note(EventKind.STARTED, task, number, order['task_spec'])
        return self._reply({})

    def _stop(self, order: Json) -> Reply:
        run = self._runs.get(order['task'])
        if run is not None and run.run <= order['run']:
            run.stops_s = run.stops_s or time.monotonic() + STOP_S
        barred = self._barred.get(order['task'], 0)
        self._barred[order['task']] = max(barred, order['run'])
        return self._reply({})

    def _hold(self, order: Json) -> Reply:
        self._extend_lease(order.get('deadline_ms', 0))
        acked = order.get('acked_upto', 0)
        for number, task, ended_run, how, _ in self._ended:
            if number <= acked:
                self.note(EventKind.NOTED, task, ended_run, how)
        self._ended = [row for row in self._ended if row[0] > acked]
        ends_s = time.monotonic() + order.get('wait_ms', 0) / MS
        while not self._ended and time.monotonic() < ends_s:
            self._lock.wait(TICK_S)
        running = [
            [run.task, run.run, '', 100, 10] for run in self._runs.values()
        ]
        return self._reply({'running': running, 'ended': self._ended})

    def _extend_lease(self, until_ms: int) -> None:
        """Take a lease, shortened to the longest that the site allows."""
        longest_ms = self._clock() + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest_ms))

    def _work(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self._lock:
                self._end_due()

    def _end_due(self) -> None:
        has_lapsed = self._clock() > self._lease_ms
        if has_lapsed and not self._has_lapsed:
            self.note(EventKind.LAPSED)
        self._has_lapsed = has_lapsed
        for run in tuple(self._runs.values()):
            how = 'lapsed' if has_lapsed else _how_it_ends(run)
            if how:
                self._end(run, how)

    def _end(self, run: _Run, how: str) -> None:
        self._runs.pop(run.task)
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        self._count += 1
        self.note(EventKind.ENDED, run.task, run.run, how)
        if how == 'done':
            self.done.append(run.task)
        saved = f'saved-{run.run}' if run.work.get('saves') else ''
        self._ended.append([self._count, run.task, run.run, how, saved])
        self._lock.notify_all()

    def _clock(self) -> int:
        lived_s = time.monotonic() - self._born_s
        return int(lived_s * MS * self._clock_rate) + 1

    def _takes(self, fault: str) -> bool:
        with self._lock:
            left = int(self.faults.get(fault, 0))
            if left > 0:
                self.faults[fault] = left - 1
            return left > 0

    def _reply(self, answer: Json, status: int = OK) -> Reply:
        told = {'clock_ms': self._clock(), 'born': self._born_ms, **answer}
        return Reply(status, json.dumps(told).encode())


def _how_it_ends(run: _Run) -> str:
    now_s = time.monotonic()
    if run.stops_s and now_s >= run.stops_s:
        return 'stopped'
    if now_s < run.ends_s:
        return ''
    return 'failed' if run.work.get('fail') else 'done'
