"""The interface to a worker: the endpoint that runs tasks under leases.

Every command carries the epoch of the owner. The worker refuses commands with
an epoch lower than the highest it has seen, never starts the same task id
twice, and stops a task whose lease expires.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from gentianpulley.http_conn import HttpAddress
from gentianpulley.resources import Resources


class TaskState(enum.StrEnum):
    """The state of a task as its worker reports it.

    `STOPPED` is reported only for tasks that an owner stopped: with a
    checkpoint if the task is to resume elsewhere, without one if it was
    cancelled.
    """

    RUNNING = 'running'
    FINISHED = 'finished'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    ABSENT = 'absent'

    def is_final(self) -> bool:
        """Return whether the task no longer holds resources."""
        return self is not TaskState.RUNNING


@dataclass(frozen=True, slots=True)
class WorkerDescription:
    """Describes a worker; `boot_id` changes when the worker loses its state."""

    name: str
    boot_id: str
    failure_domain: str
    rack: str
    capacity: Resources
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts a task.

    The worker refuses the command after `start_before_ms`; the lease lasts
    until `lease_deadline_ms`. `checkpoint` is empty for a fresh start.
    """

    task_id: str
    epoch: int
    work_class: str
    need: Resources
    start_before_ms: int
    lease_deadline_ms: int
    checkpoint: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """The status of a task as its worker reports it.

    `answer` is empty unless the task has finished or failed; `digest` is its
    SHA-256 in hex and `length` its size in bytes.
    """

    task_id: str
    state: TaskState
    answer: bytes = b''
    digest: str = ''
    length: int = 0
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class TaskSummary:
    """One row of a worker's task list."""

    task_id: str
    state: TaskState
    work_class: str
    need: Resources


@dataclass(frozen=True, slots=True)
class TaskList:
    """All tasks that a worker has stored, at one moment.

    `leaving` is set once the worker has been ordered to shut down.
    """

    boot_id: str
    epoch: int
    tasks: tuple[TaskSummary, ...]
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Renewal:
    """Renews the leases of all tasks and discards finished ones."""

    epoch: int
    lease_deadline_ms: int
    forget: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class UsageSample:
    """Measured usage of one task over an interval that ended at `at_ms`.

    `slowdown_milli` is the task's progress time relative to running alone, in
    thousandths.
    """

    task_id: str
    at_ms: int
    used: Resources
    slowdown_milli: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Usage samples of a worker, delivered with a delay."""

    samples: tuple[UsageSample, ...]


class WorkerConn(ABC):
    """Sends commands to one worker.

    Each method raises `WorkerUnreachableError` if nothing was sent,
    `WorkerRefusedError` if the worker refused, and `WorkerSilentError` if the
    effect is unknown.
    """

    address: HttpAddress

    @abstractmethod
    def describe(self) -> WorkerDescription:
        """Return the worker's identity and capacity."""

    @abstractmethod
    def fence(self, epoch: int) -> TaskList:
        """Refuse lower epochs from now on and return the task list."""

    @abstractmethod
    def start(self, command: StartCommand, wait_ms: int) -> TaskStatus:
        """Start a task and wait up to `wait_ms` for its answer."""

    @abstractmethod
    def status(self, task_id: str, wait_ms: int) -> TaskStatus:
        """Return a task's status, waiting up to `wait_ms` for its end."""

    @abstractmethod
    def renew(self, renewal: Renewal) -> TaskList:
        """Renew all leases in one call and return the task list."""

    @abstractmethod
    def checkpoint(self, task_id: str, epoch: int) -> TaskStatus:
        """Write a checkpoint and stop the task; returns its handle."""

    @abstractmethod
    def throttle(self, task_id: str, epoch: int, percent: int) -> TaskStatus:
        """Limit a task to `percent` of its processors."""

    @abstractmethod
    def stop(self, task_id: str, epoch: int) -> TaskStatus:
        """Stop a task; one unknown to the worker can no longer be started."""

    @abstractmethod
    def usage(self) -> UsageReport:
        """Return the latest usage samples."""


class WorkerConnector(ABC):
    """Opens connections to workers."""

    @abstractmethod
    def connect(self, address: HttpAddress) -> WorkerConn:
        """Return a connection object; no connection is opened yet."""
