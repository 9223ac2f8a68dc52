"""A fake of a worker of the platform, on loopback.

It implements the published rules of runs: fencing tokens, increasing run
numbers, one lease for all runs, and numbered ends that are listed until
acknowledged. A task's payload controls its run: `{"ms": 200}` ends as done
after 200 ms, `{"ms": 50, "fail": 1}` fails, and `{"crash": 1}` crashes the
worker soon after its start. `resize` changes the capacity. `faults`:

- `lose_orders`: executes the next N orders, then hangs before it responds.
- `late_orders`: executes the next N orders `LATE_S` later, in whatever
  incarnation is up by then.
- `drop_orders`: never executes the next N orders.
- `verbs`: limits these three to these orders; polls count only if named.
- `silent`: responds to no request, polls included.

With `needs_tickets`, a task starts only with a ticket of `grid_adviser`.
`events` is the worker's append-only record. The worker's monotonic clock runs
at `clock_rate`.
"""

import enum
import json
import threading
import time
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, Final

from standins.grid_store import GridStore
from standins.http_server import OK, Call, Reply, StandinServer

HOST: Final = '127.0.0.1'
HANG_S: Final = 2.0
LATE_S: Final = 1.2
TICK_S: Final = 0.01
STOP_S: Final = 0.05
CRASH_S: Final = 0.01
MAX_LEASE_MS: Final = 6000
MS: Final = 1000
CONFLICT: Final = 409
BAD_REQUEST: Final = 400
MISDIRECTED: Final = 421
UNAVAILABLE: Final = 503
FULL_CAPACITY: Final = MappingProxyType(
    {'cpu': 64_000, 'mem_mb': 256_000, 'gpus': 0}
)
ORDERS: Final = frozenset(('run-start', 'run-stop', 'pace'))
CALLS: Final = ORDERS | {'hold'}

Json = dict[str, Any]


class EventKind(enum.Enum):
    """The kind of an event at a worker.

    `NOTED` is the acknowledgement of an end, `LAPSED` the expiry of the lease,
    `CRASHED` the end of an incarnation, and `RESIZED` a change of the
    capacity. `CLOSED` and `OPENED` mark a change of whether the worker should
    be sent anything.
    """

    STARTED = 'started'
    ENDED = 'ended'
    NOTED = 'noted'
    LAPSED = 'lapsed'
    CRASHED = 'crashed'
    RESIZED = 'resized'
    CLOSED = 'closed'
    OPENED = 'opened'


@dataclass(frozen=True, slots=True)
class WorkerEvent:
    """One event; `at_s` is the machine's monotonic time in seconds.

    `detail` is the payload of a start, the cause of an end, or the processors
    of a new capacity, in thousandths. A crash names the run that caused it.
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
    """One worker; `started` lists every run that it has started."""

    def __init__(
        self,
        store: GridStore,
        worker_id: str,
        zone: str = 'a',
        clock_rate: float = 1.0,
        **registration: Any,
    ) -> None:
        """Listen on a free port and register."""
        super().__init__(HOST, 0)
        self.worker_id = worker_id
        self.events: list[WorkerEvent] = []
        self.faults: Json = {}
        self.started: list[tuple[str, int]] = []
        self.needs_tickets = False
        self.done: list[str] = []
        self._store = store
        self._clock_rate = clock_rate
        self._is_lease_expired = True
        self._registration = {
            'service': 'fitting',
            'zone': zone,
            **registration,
        }
        self._lock = threading.Condition()
        self._incarnation_start_s = time.monotonic()
        self._incarnation_ms = int(time.time() * MS)
        self._writes = 0
        self._token = 0
        self._lease_ms = 0
        self._runs: dict[str, _Run] = {}
        self._rejected_upto: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._last_end_number = 0
        self._closed = threading.Event()
        threading.Thread(target=self._advance_loop, daemon=True).start()
        self.register('ready')

    def server_close(self) -> None:
        """Stop listening, and let no more time pass for runs."""
        super().server_close()
        self._closed.set()

    @property
    def zone(self) -> str:
        """Return the failure domain of the worker."""
        return str(self._registration['zone'])

    @property
    def has_lease(self) -> bool:
        """Return whether a leader that has heard from it granted a lease."""
        with self._lock:
            return self._lease_ms > 0

    def register(self, state: str, **registration: Any) -> None:
        """Write the registration with a state, after updating its fields."""
        self._registration.update(registration)
        self._writes += 1
        self._store.put(f'servers/{self.worker_id}', self.entry(state))

    def entry(self, state: str) -> Json:
        """Return the registration of the current incarnation."""
        return {
            'addr': f'{HOST}:{self.port}',
            'version': 'v1',
            'slots': 8,
            'state': state,
            'cold_left_ms': 0,
            'capacity': dict(FULL_CAPACITY),
            'labels': ['kind', 'r1'],
            'born': self._incarnation_ms,
            'seq': self._writes,
            **self._registration,
        }

    def note(
        self, kind: EventKind, task: str = '', run: int = 0, detail: str = ''
    ) -> None:
        """Append an event to the record."""
        at_s = time.monotonic()
        event = WorkerEvent(at_s, self.worker_id, kind, task, run, detail)
        self.events.append(event)

    def resize(self, processors_milli: int) -> None:
        """Declare another number of processors from now on."""
        capacity = dict(self._registration.get('capacity', FULL_CAPACITY))
        capacity['cpu'] = processors_milli
        self.note(EventKind.RESIZED, detail=str(processors_milli))
        self.register('ready', capacity=capacity)

    def crash(self, task: str = '', run: int = 0) -> None:
        """Lose all state and connections, and restart at the same address.

        What has arrived and is executed late reaches the next incarnation. The
        worker registers as a new incarnation. With `task` and `run`, that
        run is the cause.
        """
        with self._lock:
            self.note(EventKind.CRASHED, task, run)
            self._runs.clear()
            self._rejected_upto.clear()
            self._ended.clear()
            self._last_end_number = 0
            self._token = 0
            self._lease_ms = 0
            self._incarnation_start_s = time.monotonic()
            self._writes = 0
            self._incarnation_ms += 1 + int((time.time() * MS) % 1000)
        self.break_connections()
        self.register('ready')

    def running(self) -> list[str]:
        """Return the ids of the running tasks, sorted."""
        with self._lock:
            return sorted(self._runs)

    def serve(self, call: Call) -> Reply:
        """Handle one order."""
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
        if verb not in self.faults.get('verbs', ORDERS):
            return self._execute(verb, order)
        if self._consume_fault('late_orders'):
            time.sleep(LATE_S)
            reply = self._execute(verb, order)
            time.sleep(HANG_S - LATE_S)
            return reply
        if self._consume_fault('drop_orders'):
            time.sleep(HANG_S)
            return self._reply({}, UNAVAILABLE)
        reply = self._execute(verb, order)
        if self._consume_fault('lose_orders'):
            time.sleep(HANG_S)
        return reply

    def _execute(self, verb: str, order: Json) -> Reply:
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
        existing = self._runs.get(task)
        step = task.rpartition('.')[0]
        has_ticket = order.get('ticket') == f'{step}/{self.worker_id}'
        if self.needs_tickets and not has_ticket:
            return self._reply({'reason': 'ticket'}, CONFLICT)
        if order['deadline_ms'] <= self._clock():
            return self._reply({'reason': 'late'}, CONFLICT)
        self._extend_lease(order['deadline_ms'])
        if existing is not None and existing.run == number:
            return self._reply({})
        if existing is not None or number <= self._rejected_upto.get(task, 0):
            return self._reply({'reason': 'old'}, CONFLICT)
        work = json.loads(order['task_spec'] or '{}')
        ends_s = time.monotonic() + work.get('ms', 100) / MS
        self._runs[task] = _Run(task, number, work, ends_s)
        self.started.append((task, number))
        self.note(EventKind.STARTED, task, number, order['task_spec'])
        if work.get('crash'):
            threading.Timer(CRASH_S, self._crash_by, (task, number)).start()
        return self._reply({})

    def _crash_by(self, task: str, number: int) -> None:
        """Crash unless the run that causes it has ended."""
        run = self._runs.get(task)
        if run is not None and run.run == number:
            self.crash(task, number)

    def _stop(self, order: Json) -> Reply:
        run = self._runs.get(order['task'])
        if run is not None and run.run <= order['run']:
            run.stops_s = run.stops_s or time.monotonic() + STOP_S
        rejected_upto = self._rejected_upto.get(order['task'], 0)
        self._rejected_upto[order['task']] = max(rejected_upto, order['run'])
        return self._reply({})

    def _hold(self, order: Json) -> Reply:
        self._extend_lease(order.get('deadline_ms', 0))
        acked = order.get('acked_upto', 0)
        for number, task, ended_run, cause, _ in self._ended:
            if number <= acked:
                self.note(EventKind.NOTED, task, ended_run, cause)
        self._ended = [row for row in self._ended if row[0] > acked]
        ends_s = time.monotonic() + order.get('wait_ms', 0) / MS
        while not self._ended and time.monotonic() < ends_s:
            self._lock.wait(TICK_S)
        running = [
            [run.task, run.run, '', 100, 10] for run in self._runs.values()
        ]
        return self._reply({'running': running, 'ended': self._ended})

    def _extend_lease(self, until_ms: int) -> None:
        """Extend the lease, capped at the maximum that the cluster allows."""
        max_ms = self._clock() + MAX_LEASE_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, max_ms))

    def _advance_loop(self) -> None:
        while not self._closed.wait(TICK_S):
            with self._lock:
                self._end_due_runs()

    def _end_due_runs(self) -> None:
        is_lease_expired = self._clock() > self._lease_ms
        if is_lease_expired and not self._is_lease_expired:
            self.note(EventKind.LAPSED)
        self._is_lease_expired = is_lease_expired
        for run in tuple(self._runs.values()):
            cause = 'lapsed' if is_lease_expired else _cause_of_end(run)
            if cause:
                self._end(run, cause)

    def _end(self, run: _Run, cause: str) -> None:
        self._runs.pop(run.task)
        self._rejected_upto[run.task] = max(
            self._rejected_upto.get(run.task, 0), run.run
        )
        self._last_end_number += 1
        self.note(EventKind.ENDED, run.task, run.run, cause)
        if cause == 'done':
            self.done.append(run.task)
        saved = f'saved-{run.run}' if run.work.get('saves') else ''
        self._ended.append(
            [self._last_end_number, run.task, run.run, cause, saved]
        )
        self._lock.notify_all()

    def _clock(self) -> int:
        uptime_s = time.monotonic() - self._incarnation_start_s
        return int(uptime_s * MS * self._clock_rate) + 1

    def _consume_fault(self, fault: str) -> bool:
        with self._lock:
            remaining = int(self.faults.get(fault, 0))
            if remaining > 0:
                self.faults[fault] = remaining - 1
            return remaining > 0

    def _reply(self, fields: Json, status: int = OK) -> Reply:
        document = {
            'clock_ms': self._clock(),
            'born': self._incarnation_ms,
            **fields,
        }
        return Reply(status, json.dumps(document).encode())


def _cause_of_end(run: _Run) -> str:
    now_s = time.monotonic()
    if run.stops_s and now_s >= run.stops_s:
        return 'stopped'
    if now_s < run.ends_s:
        return ''
    return 'failed' if run.work.get('fail') else 'done'
