"""A scheduler with in-memory workers, driven by the test without sockets."""

from dataclasses import dataclass, field, replace
from typing import Any

from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.customers import Customer, Customers
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    EndedRow,
    Listing,
    RunKey,
    RunningRow,
    StartOrder,
    StartReply,
    StartVerdict,
    WorkerRegistration,
)
from gentianpulley.cluster.scheduler import Scheduler, create_scheduler
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.timing import create_timing
from gentianpulley.jobs.job import Job, Task, create_job
from gentianpulley.jobs.spec import (
    JobSpec,
    QueuePolicy,
    Schedule,
    StepSpec,
    TaskId,
)
from gentianpulley.logs import EventLog
from gentianpulley.resources import Resources

SERVICE = 'fitting'
START_MS = 1_000_000
JOB_ID = 'a' * 16
RUN_ONCE = Schedule()
NO_WORKERS: frozenset[str] = frozenset()
TIMING = create_timing(
    max_lease_ms=6000, contact_ms=3000, stop_ms=900, poll_wait_ms=1000
)


def registration(worker_id: str, **changes: object) -> WorkerRegistration:
    """Return the registration of a worker with 64 cores and 256 GB."""
    fields: dict[str, object] = {
        'worker_id': worker_id,
        'service': SERVICE,
        'address': f'{worker_id}.example:80',
        'failure_domain': 'a',
        'capacity': Resources(64_000, 256_000, 0),
        'labels': frozenset(('kind', 'r1')),
        'rack': 'r1',
        'incarnation_ms': 1,
    }
    return WorkerRegistration(**{**fields, **changes})  # type: ignore[arg-type]


def step(count: int = 1, **changes: object) -> StepSpec:
    """Return a step of tasks that need 8 cores each."""
    fields: dict[str, object] = {
        'task_count': count,
        'resources': Resources(8000, 1000, 0),
        'estimated_ms': 1000,
    }
    return StepSpec(**{**fields, **changes})  # type: ignore[arg-type]


def job(
    *steps: StepSpec,
    job_id: str = JOB_ID,
    priority: int = 0,
    max_attempts: int = 3,
    schedule: Schedule = RUN_ONCE,
    submitted_ms: int = START_MS,
    inherited: bool = False,
) -> Job:
    """Return a job of a queue for the default service."""
    policy = QueuePolicy('queue', SERVICE, priority, max_attempts, 2, 1000)
    spec = JobSpec(job_id, 'payload', policy, steps, submitted_ms, schedule)
    return create_job(spec, is_inherited=inherited)


def customers_with(version: int, **ceilings_milli: int) -> Customers:
    """Return a cfg's customers, with ceilings of processors."""
    return Customers(
        version,
        {
            name: Customer(name, ceiling=Resources(milli, 0))
            for name, milli in ceilings_milli.items()
        },
    )


def customer_job(
    customer: str, *steps: StepSpec, inherited: bool = False, **changes: Any
) -> Job:
    """Return a job that a customer has submitted."""
    spec = replace(job(*steps, **changes).spec, customer=customer)
    return create_job(spec, is_inherited=inherited)


@dataclass
class SchedulerHarness:
    """A scheduler whose workers list the runs that the test gives them."""

    scheduler: Scheduler
    at_ms: int = START_MS
    ends: dict[str, int] = field(default_factory=dict)

    def add_worker(self, worker_id: str, **changes: object) -> None:
        """Register a worker that answers its first poll with no runs."""
        self.register(worker_id, **changes)
        self.report_listing(worker_id)

    def register(self, worker_id: str, **changes: object) -> list[Order]:
        """Register a worker; another incarnation answers that it is up."""
        return self.apply(registration(worker_id, **changes))

    def apply(self, registered: WorkerRegistration) -> list[Order]:
        """Apply a true registration; another incarnation answers at once."""
        worker_id = registered.worker_id
        orders = self.scheduler.update_worker(registered, self.at_ms)
        if self.scheduler.claim_of(worker_id) is None:
            return orders
        self.scheduler.end_incarnation(worker_id, self.at_ms)
        orders = self.scheduler.add_answered_worker(
            self.scheduler.registration_of(registered), self.at_ms
        )
        self.scheduler.workers[worker_id].is_registered = True
        return orders

    def report_listing(
        self,
        worker_id: str,
        running: tuple[RunningRow, ...] = (),
        ended: tuple[EndedRow, ...] = (),
        sent_ms: int = 0,
    ) -> list[Order]:
        """Report a listing of a worker, whose clock follows the harness."""
        worker = self.scheduler.workers[worker_id]
        listing = Listing(
            self.at_ms, worker.registration.incarnation_ms, running, ended
        )
        sent = sent_ms or self.at_ms
        worker.clock.update(self.at_ms, self.at_ms)
        self.scheduler.poll_order(worker, 0)
        return self.scheduler.handle_listing(worker, listing, sent, self.at_ms)

    def end(
        self,
        worker_id: str,
        key: RunKey,
        cause: EndCause = EndCause.DONE,
        checkpoint: str = '',
    ) -> list[Order]:
        """Report the end of one run in a listing of its worker."""
        number = self.ends.get(worker_id, 0) + 1
        self.ends[worker_id] = number
        row = EndedRow(number, key, cause, checkpoint)
        running = tuple(
            RunningRow(other, '', 100, 0)
            for other in self.scheduler.workers[worker_id].reservations
            if other != key
        )
        return self.report_listing(worker_id, running, (row,))

    def plan(self) -> list[StartOrder]:
        """Place the tasks that fit now, once all records are written."""
        self.scheduler.mark_saved(self.scheduler.change_number)
        return self.scheduler.plan(self.at_ms)

    def start_all(self) -> list[StartOrder]:
        """Place the tasks that fit, and accept every start."""
        orders = self.plan()
        for order in orders:
            self.answer(order, StartVerdict.ACCEPTED)
        return orders

    def answer(self, order: StartOrder, verdict: StartVerdict) -> list[Order]:
        """Reply to a start; return the orders to send next."""
        reply = StartReply(verdict, self.at_ms)
        return self.scheduler.handle_start_reply(order, reply, self.at_ms)

    def task(self, task_id: TaskId) -> Task:
        """Return a task of a job that the scheduler holds."""
        found = self.scheduler.jobs[task_id.job_id].step_of(task_id)
        assert found is not None
        return found.tasks[task_id.ordinal]


def create_harness(
    *worker_ids: str,
    roster: frozenset[str] = NO_WORKERS,
    link_bytes_s: int = DEFAULT_LINK_BYTES_S,
    token: int = 7,
) -> SchedulerHarness:
    """Return a harness with listed workers under a leader."""
    term = LeaderTerm(
        token, START_MS, roster, TIMING, link_bytes_s=link_bytes_s
    )
    harness = SchedulerHarness(create_scheduler(term, EventLog()))
    for worker_id in worker_ids:
        harness.add_worker(worker_id)
    return harness
