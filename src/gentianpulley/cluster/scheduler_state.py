"""What one leader knows: jobs, workers and the harm between images.

The base of the scheduler, without any decision. All of it is guarded by the
lock of the office.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from gentianpulley.cluster.advice import Tickets
from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.ended_jobs import EndedJobs
from gentianpulley.cluster.harm import create_harm_model
from gentianpulley.cluster.link import (
    LookOrder,
    PaceOrder,
    RunKey,
    StartOrder,
    StopOrder,
)
from gentianpulley.cluster.timing import Timing
from gentianpulley.cluster.worker import Charge, Worker
from gentianpulley.jobs.job import Job, StepRun, TaskPhase
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog

Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class Reign:
    """One leader's time in office.

    `token` fences off earlier leaders. `roster` names the workers that they
    may have sent orders to; where they have told so, `runs_until_ms` is until
    when runs of theirs may go on. `link_bytes_s` is what the leader's link
    carries.
    """

    token: int
    since_ms: int
    roster: frozenset[str]
    timing: Timing
    runs_until_ms: Mapping[str, int] = field(default_factory=dict)
    link_bytes_s: int = DEFAULT_LINK_BYTES_S

    @property
    def handover_until_ms(self) -> int:
        """Return until when a lease of an earlier leader may last."""
        return self.since_ms + self.timing.handover_ms

    def unsettled(self) -> dict[str, int]:
        """Return until when runs may go on unseen on each worker."""
        until_ms = self.handover_until_ms
        return {
            worker_id: min(
                until_ms, self.runs_until_ms.get(worker_id, until_ms)
            )
            for worker_id in self.roster
        }


class SchedulerState:
    """Jobs, workers and what was learned in one reign.

    `live_jobs` are those that go on or whose end is not written yet.
    `unsettled` tells until when a worker may run what no list has shown.
    """

    def __init__(self, reign: Reign, log: EventLog) -> None:
        """Know no job and no worker yet."""
        self.reign = reign
        self.log = log
        self.jobs: dict[str, Job] = {}
        self.live_jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.closed_domains: frozenset[str] = frozenset()
        self.change_number = 0
        self.harm = create_harm_model()
        self.tickets = Tickets()
        self._ended = EndedJobs()
        self.unsettled = reign.unsettled()
        self._gives_leases = True

    def add_job(self, job: Job) -> None:
        """Take up an accepted job; a known one stays as it is."""
        job_id = job.spec.job_id
        if job_id in self.jobs or self._ended.is_forgotten(job_id):
            return
        self.jobs[job_id] = job
        if job.is_changed or not job.state.is_final:
            self.live_jobs[job_id] = job

    def changed_jobs(self) -> list[Job]:
        """Return the jobs whose records have to be written.

        The record of a job that has ended is written once.
        """
        changed = [job for job in self.live_jobs.values() if job.is_changed]
        for job in changed:
            job.is_changed = False
            if job.state.is_final:
                self.live_jobs.pop(job.spec.job_id, None)
                self.tickets.forget_job(job.spec.job_id)
                self._ended.note(job)
        return changed

    def forget_ended(self, now_ms: int) -> None:
        """Drop the jobs of which nothing can arrive any more."""
        for job in self._ended.forget(self.live_jobs, now_ms):
            self.jobs.pop(job.spec.job_id, None)

    def note_unsaved(self, jobs: list[Job]) -> None:
        """Ask again for the writes of records that were not written."""
        for job in jobs:
            job.is_changed = True
            self.live_jobs[job.spec.job_id] = job

    def note_saved(self, change_number: int) -> list[str]:
        """Acknowledge the ends that went into records up to this number.

        Returns the workers all of whose ends are acknowledged now.
        """
        settled = []
        for worker in self.workers.values():
            ends = worker.unsaved_ends
            had_ends = bool(ends)
            while ends and ends[0][1] <= change_number:
                worker.acked_number = ends.popleft()[0]
            if had_ends and not ends:
                settled.append(worker.worker_id)
        return settled

    def waiting_jobs(self) -> int:
        """Return how many jobs have not begun."""
        return sum(1 for job in self.live_jobs.values() if not job.has_begun)

    def note_begun(self, key: RunKey) -> None:
        """Note that a worker has begun a run; an order alone is no proof."""
        job = self.jobs.get(key.task_id.job_id)
        if job is not None:
            job.note_begun()

    def note_checkpoint(self, charge: Charge, checkpoint: str) -> None:
        """Note a run that is listed for the first time, or has saved more."""
        charge.checkpoint = checkpoint
        self.note_begun(charge.key)
        task_id = charge.key.task_id
        step = self.step_of(task_id)
        if step is not None:
            step.tasks[task_id.ordinal].note_running(checkpoint)

    def look_order(self, worker: Worker, wait_ms: int) -> LookOrder:
        """Return the next look at a worker; it renews the lease."""
        return LookOrder(
            self.reign.token,
            worker.acked_number,
            self.lease_for(worker),
            wait_ms,
        )

    def lease_for(self, worker: Worker) -> int:
        """Return the lease that an order to the worker carries."""
        if not self._gives_leases:
            return worker.clock.lease_worker_ms
        return worker.clock.next_lease(self.reign.timing.lease_ms)

    def is_handover_over(self, now_ms: int) -> bool:
        """Tell whether nothing of an earlier leader can run unseen."""
        return all(now_ms > until for until in self.unsettled.values())

    def is_closed(self, worker: Worker) -> bool:
        """Tell whether nothing may start in the worker's failure domain."""
        return worker.facts.failure_domain in self.closed_domains

    def step_of(self, task_id: TaskId) -> StepRun | None:
        job = self.jobs.get(task_id.job_id)
        return job.step_of(task_id) if job else None

    def charge_of(self, order: Order) -> Charge | None:
        """Return the charge of an order's run, None once it is over."""
        worker = self.workers.get(order.worker_id)
        return worker.charges.get(order.key) if worker else None


def is_current_run(worker: Worker, step: StepRun, key: RunKey) -> bool:
    """Tell whether a run is the one that its task's phase speaks of."""
    task = step.tasks[key.task_id.ordinal]
    if task.phase is TaskPhase.PLACED:
        return task.run == key.run and task.worker_id == worker.worker_id
    return task.phase is TaskPhase.WAITING and key.run >= task.run
