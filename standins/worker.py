"""A fake worker that runs simulated tasks under leases, over HTTP.

Usage: python -m standins.worker SETTINGS-JSON

The payload of a task is JSON that controls its run: `run_ms` is its run time
without interference, `answer_bytes` the size of its answer, and `fails` makes
it fail. The answer contains the task id and the payload's `echo`, padded to
that size. Every start, end and resource change is written to standard output
as one JSON line. Tests check the guarantees against this record.
"""

import json
import secrets
import sys
import threading
import time
from hashlib import sha256
from typing import Any, Final
from urllib.parse import unquote

import msgspec

from gentianpulley.http_worker import EpochCommand, Refusal
from gentianpulley.resources import Resources
from gentianpulley.result_code import (
    START_TOO_LATE,
    STALE_EPOCH,
    WORKER_REFUSED,
    ResultCode,
)
from gentianpulley.worker import (
    Renewal,
    StartCommand,
    TaskList,
    TaskState,
    TaskStatus,
    TaskSummary,
    UsageReport,
    WorkerDescription,
)
from standins.http_server import NOT_FOUND, OK, Call, Reply, StandinServer

CONFLICT: Final = 409
SHORTEST_WAIT_S: Final = 0.0002
MS: Final = 1000


class WorkerSettings(msgspec.Struct, frozen=True):
    """The identity, address and capacity of a fake worker."""

    name: str
    failure_domain: str
    rack: str
    port: int
    processors_milli: int = 64_000
    memory_mib: int = 250_000
    accelerators: int = 0
    slots: int = 8
    host: str = '127.0.0.1'


class TaskSpec(msgspec.Struct, frozen=True):
    """The behaviour of a simulated task."""

    run_ms: int = 10
    answer_bytes: int = 0
    echo: str = ''
    fails: bool = False


class _Refused(Exception):
    def __init__(self, code: ResultCode, text: str) -> None:
        super().__init__(text)
        self.refusal = Refusal(code.number, text)


class _Task:
    """One task that the worker stores."""

    def __init__(self, command: StartCommand) -> None:
        self.command = command
        self.spec = msgspec.json.decode(command.payload, type=TaskSpec)
        self.state = TaskState.RUNNING
        self.lease_deadline_ms = command.lease_deadline_ms
        self.done_ms = int(command.checkpoint or 0)
        self.checkpoint = ''
        self.answer = b''
        self.started_ms = _now_ms()
        self.end_condition = threading.Condition()

    def progress_ms(self) -> int:
        """Return the completed part of the run in milliseconds."""
        return self.done_ms + _now_ms() - self.started_ms

    def due_in_ms(self) -> int:
        """Return the milliseconds until the task ends or its lease expires."""
        ends_in_ms = self.spec.run_ms - self.progress_ms()
        return min(ends_in_ms, self.lease_deadline_ms - _now_ms())

    def status(self) -> TaskStatus:
        """Return the status in the form of the protocol."""
        digest = sha256(self.answer).hexdigest() if self.answer else ''
        return TaskStatus(
            self.command.task_id,
            self.state,
            self.answer,
            digest,
            len(self.answer),
            self.checkpoint,
        )


class Worker(StandinServer):
    """A server of the worker protocol."""

    def __init__(self, settings: WorkerSettings) -> None:
        """Start without tasks and with a new boot id."""
        super().__init__(settings.host, settings.port)
        self._settings = settings
        self._boot_id = secrets.token_hex(4)
        self._lock = threading.Condition(threading.RLock())
        self._epoch = 0
        self._tasks: dict[str, _Task] = {}
        self._running: dict[str, _Task] = {}
        self._stopped_unseen: set[str] = set()
        self.leaving = False
        threading.Thread(target=self._run, daemon=True).start()

    def serve(self, call: Call) -> Reply:
        """Handle one request."""
        try:
            response = self._dispatch(call)
        except _Refused as refused:
            return Reply(CONFLICT, msgspec.json.encode(refused.refusal))
        if response is None:
            return Reply(NOT_FOUND)
        return Reply(OK, msgspec.json.encode(response))

    def _dispatch(self, call: Call) -> Any:
        parts = call.path.removeprefix('/v1/').split('/')
        if parts[0] == 'tasks':
            return self._dispatch_task(call, parts)
        return self._dispatch_command(call, parts[0])

    def _dispatch_command(self, call: Call, name: str) -> Any:
        match name:
            case 'worker':
                return self._describe()
            case 'fence':
                return self._fence(_decode(call.body, EpochCommand).epoch)
            case 'renewals':
                return self._renew(_decode(call.body, Renewal))
            case 'usage':
                return UsageReport(())
            case 'leaving':
                return self._leave()
        return None

    def _dispatch_task(self, call: Call, parts: list[str]) -> Any:
        wait_ms = int(call.query.get('wait_ms', 0))
        match parts[1:]:
            case []:
                return self._start(_decode(call.body, StartCommand), wait_ms)
            case [task_id]:
                return self._status(unquote(task_id), wait_ms)
            case [task_id, action]:
                epoch = _decode(call.body, EpochCommand).epoch
                return self._apply_action(unquote(task_id), action, epoch)
        return None

    def _leave(self) -> TaskList:
        self.leaving = True
        return self._list()

    def _describe(self) -> WorkerDescription:
        settings = self._settings
        return WorkerDescription(
            name=settings.name,
            boot_id=self._boot_id,
            failure_domain=settings.failure_domain,
            rack=settings.rack,
            capacity=Resources(
                settings.processors_milli,
                settings.memory_mib,
                settings.accelerators,
            ),
            slots=settings.slots,
            connections=64,
        )

    def _check_epoch(self, epoch: int) -> None:
        if epoch < self._epoch:
            raise _Refused(STALE_EPOCH, f'epoch {epoch} < {self._epoch}')
        self._epoch = epoch

    def _fence(self, epoch: int) -> TaskList:
        with self._lock:
            self._check_epoch(epoch)
            return self._list()

    def _renew(self, renewal: Renewal) -> TaskList:
        with self._lock:
            self._check_epoch(renewal.epoch)
            for task in self._running.values():
                task.lease_deadline_ms = renewal.lease_deadline_ms
            for task_id in renewal.forget:
                existing = self._tasks.get(task_id)
                if existing is not None and existing.state.is_final():
                    self._tasks.pop(task_id)
            return self._list()

    def _list(self) -> TaskList:
        rows = tuple(
            TaskSummary(
                task_id,
                task.state,
                task.command.work_class,
                task.command.need,
            )
            for task_id, task in self._tasks.items()
        )
        return TaskList(self._boot_id, self._epoch, rows, self.leaving)

    def _start(self, command: StartCommand, wait_ms: int) -> TaskStatus:
        with self._lock:
            self._check_epoch(command.epoch)
            task = self._tasks.get(command.task_id)
            if task is None:
                task = self._create_task(command)
        return _wait(task, wait_ms)

    def _create_task(self, command: StartCommand) -> _Task:
        if self.leaving or command.task_id in self._stopped_unseen:
            raise _Refused(WORKER_REFUSED, 'leaving or stopped')
        if _now_ms() > command.start_before_ms:
            raise _Refused(START_TOO_LATE, str(command.start_before_ms))
        task = _Task(command)
        self._tasks[command.task_id] = task
        self._running[command.task_id] = task
        self._record('start', task)
        self._advance(task)
        self._lock.notify_all()
        return task

    def _status(self, task_id: str, wait_ms: int) -> TaskStatus:
        with self._lock:
            task = self._tasks.get(task_id)
        if task is None:
            return TaskStatus(task_id, TaskState.ABSENT)
        return _wait(task, wait_ms)

    def _apply_action(
        self, task_id: str, action: str, epoch: int
    ) -> TaskStatus:
        with self._lock:
            self._check_epoch(epoch)
            task = self._tasks.get(task_id)
            if task is None:
                self._stopped_unseen.add(task_id)
                return TaskStatus(task_id, TaskState.ABSENT)
            running = task.state is TaskState.RUNNING
            if running and action == 'checkpoint':
                task.checkpoint = str(task.progress_ms())
            if running and action in {'checkpoint', 'stop'}:
                self._end(task, TaskState.STOPPED)
            return task.status()

    def _run(self) -> None:
        while True:
            with self._lock:
                self._advance_all()
                self._lock.wait(self._next_event_s())

    def _next_event_s(self) -> float:
        waits_ms = [task.due_in_ms() for task in self._running.values()]
        return max(SHORTEST_WAIT_S, min(waits_ms, default=MS) / MS)

    def _advance_all(self) -> None:
        for task in tuple(self._running.values()):
            self._advance(task)

    def _advance(self, task: _Task) -> None:
        if task.progress_ms() >= task.spec.run_ms:
            task.answer = _answer(task)
            failed = task.spec.fails
            self._end(task, TaskState.FAILED if failed else TaskState.FINISHED)
        elif _now_ms() > task.lease_deadline_ms:
            self._end(task, TaskState.LAPSED)

    def _end(self, task: _Task, state: TaskState) -> None:
        task.state = state
        self._running.pop(task.command.task_id, None)
        self._record(state.value, task)
        with task.end_condition:
            task.end_condition.notify_all()

    def _record(self, event: str, task: _Task) -> None:
        """Write one line to the append-only record on standard output."""
        running = [other.command.need for other in self._running.values()]
        line = {
            'at_ms': _now_ms(),
            'worker': self._settings.name,
            'failure_domain': self._settings.failure_domain,
            'event': event,
            'task_id': task.command.task_id,
            'work_class': task.command.work_class,
            'epoch': task.command.epoch,
            'checkpoint': task.command.checkpoint,
            'running': len(running),
            'processors_milli': sum(need.processors_milli for need in running),
            'memory_mib': sum(need.memory_mib for need in running),
            'accelerators': sum(need.accelerators for need in running),
        }
        sys.stdout.write(f'{json.dumps(line)}\n')
        sys.stdout.flush()


def main() -> None:
    """Serve until the process is killed."""
    settings = msgspec.json.decode(sys.argv[1], type=WorkerSettings)
    Worker(settings).serve_forever()


def _wait(task: _Task, wait_ms: int) -> TaskStatus:
    with task.end_condition:
        if task.state is TaskState.RUNNING and wait_ms > 0:
            task.end_condition.wait(wait_ms / MS)
    return task.status()


def _answer(task: _Task) -> bytes:
    task_id = task.command.task_id
    echo = task.spec.echo
    head = f'{task_id}:{echo}:'.encode()
    return head.ljust(task.spec.answer_bytes, b'.')


def _decode(body: bytes, command_type: Any) -> Any:
    return msgspec.json.decode(body, type=command_type)


def _now_ms() -> int:
    return time.time_ns() // 1_000_000


if __name__ == '__main__':
    main()
