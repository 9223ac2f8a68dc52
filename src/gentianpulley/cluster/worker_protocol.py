"""The interface to a worker, and the messages exchanged over it.

A worker runs tasks under one lease that covers all of them. It has a clock of
its own: times in these messages are milliseconds on that clock where a name
ends in `worker_ms`.
"""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import NamedTuple

from gentianpulley.jobs.spec import TaskId
from gentianpulley.resources import NO_RESOURCES, Resources


class EndCause(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class StartVerdict(enum.Enum):
    """Outcome of a start order; its run can exist if ACCEPTED or LOST."""

    ACCEPTED = enum.auto()
    FENCED = enum.auto()
    OUTDATED = enum.auto()
    TOO_LATE = enum.auto()
    NO_ROOM = enum.auto()
    NO_TICKET = enum.auto()
    UNHEALTHY = enum.auto()
    INVALID = enum.auto()
    GONE = enum.auto()
    NOT_SENT = enum.auto()
    LOST = enum.auto()


@dataclass(frozen=True, slots=True)
class WorkerRegistration:
    """A worker's registration.

    `labels` are its kind and its `rack`. `warmup_ms` is how much longer it is
    slow after its start. `incarnation_ms` distinguishes two incarnations under
    one id. `drain_remaining_ms` is the minimum time left while it drains.
    `revision` increases with each change, zero if the directory has none;
    `sequence` increases with each write of one incarnation, zero if unknown.
    """

    worker_id: str
    service: str
    address: str
    failure_domain: str
    capacity: Resources = NO_RESOURCES
    labels: frozenset[str] = frozenset()
    rack: str = ''
    is_draining: bool = False
    warmup_ms: int = 0
    incarnation_ms: int = 0
    drain_remaining_ms: int = 0
    revision: int = field(default=0, compare=False)
    sequence: int = field(default=0, compare=False)


class RunKey(NamedTuple):
    """One run of one task."""

    task_id: TaskId
    run: int


class RunningRow(NamedTuple):
    """A run that a worker lists as present.

    `progress_percent` is the run's progress; a long-running task is working
    once it is at 100. `measurement` is approximate: the tail latency in ms for
    a latency-critical task, else the processors in use, in thousandths.
    """

    key: RunKey
    checkpoint: str
    progress_percent: int
    measurement: int


@dataclass(frozen=True, slots=True)
class EndedRow:
    """A run listed as ended, numbered within the worker's incarnation."""

    number: int
    key: RunKey
    cause: EndCause
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Listing:
    """A worker's report on all of its runs."""

    clock_worker_ms: int
    incarnation_ms: int = 0
    running: tuple[RunningRow, ...] = ()
    ended: tuple[EndedRow, ...] = ()


@dataclass(frozen=True, slots=True)
class PollOrder:
    """Renews the lease, acknowledges ends and requests the listing.

    A `lease_deadline_worker_ms` of zero leaves the lease as it is. The response
    waits at most `wait_ms` for an end.
    """

    token: int
    acked_end_number: int
    lease_deadline_worker_ms: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Starts one run."""

    worker_id: str
    key: RunKey
    payload: str
    checkpoint: str
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Stops one run, or rejects its start if that has not arrived yet."""

    worker_id: str
    key: RunKey


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Lets a run work at `speed_percent` of its full speed."""

    worker_id: str
    key: RunKey
    speed_percent: int


@dataclass(frozen=True, slots=True)
class OrderContext:
    """The token and the lease under which an order is sent.

    A worker refuses a start that arrives after the deadline.
    """

    token: int
    lease_deadline_worker_ms: int


@dataclass(frozen=True, slots=True)
class StartReply:
    """The worker's reply to a start; what it did not report is zero."""

    verdict: StartVerdict
    clock_worker_ms: int = 0
    detail: str = field(default='')
    incarnation_ms: int = 0


class WorkerClient(ABC):
    """Connections to one incarnation of one worker, in one event loop.

    `poll`, `stop` and `pace` raise `WorkerUnreachableError` if nothing was
    sent, `WorkerSilentError` if the effect is unknown, and `WorkerFencedError`
    or `WorkerGoneError` if the answer of the worker says so. The latter is a
    `WorkerReplacedError` if a worker with another id answered.
    """

    @abstractmethod
    async def poll(self, order: PollOrder) -> Listing:
        """Renew the lease, acknowledge ends and return the listing."""

    @abstractmethod
    async def start(
        self, order: StartOrder, context: OrderContext
    ) -> StartReply:
        """Start a run; raises nothing, failures are verdicts."""

    @abstractmethod
    async def stop(self, order: StopOrder, context: OrderContext) -> None:
        """Stop a run or reject its start; returns after the reply."""

    @abstractmethod
    async def pace(self, order: PaceOrder, context: OrderContext) -> None:
        """Change the fraction of its speed at which a run works."""

    @abstractmethod
    def close(self) -> None:
        """Close all connections."""


class WorkerClientFactory(ABC):
    """Opens connections; each adapter implements a wire format."""

    @abstractmethod
    def connect(self, registration: WorkerRegistration) -> WorkerClient:
        """Return a client connected to one incarnation of a worker."""
