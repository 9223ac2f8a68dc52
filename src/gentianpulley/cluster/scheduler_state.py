"""State of one leader: jobs, workers and the interference between images.

Base class of the scheduler; it makes no decisions. All of the state is guarded
by the lock of the scheduler service.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.cluster.advice import AdviceQuery, Permit, TicketCache
from gentianpulley.cluster.capacity import DEFAULT_LINK_BYTES_S
from gentianpulley.cluster.delay_cost import create_delay_costs
from gentianpulley.cluster.ended_jobs import EndedJobs
from gentianpulley.cluster.interference import create_interference_model
from gentianpulley.cluster.worker_protocol import (
    PollOrder,
    PaceOrder,
    RunKey,
    StartOrder,
    StopOrder,
)
from gentianpulley.cluster.timing import (
    FOREVER,
    MAX_ORDER_DELAY_MS,
    Timing,
)
from gentianpulley.cluster.violation_guard import WATCH_SHARE, is_watched
from gentianpulley.cluster.worker import MAX_START_MS, Reservation, Worker
from gentianpulley.jobs.job import Job, StepRun, TaskPhase
from gentianpulley.jobs.spec import TaskId
from gentianpulley.logs import EventLog

SUSPENDED_WAIT_MS: Final = 100
"""Maximum wait of a poll whose lease cannot be renewed yet. A write of the
roster takes about as long, and little may be left of the lease."""

Order = StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class LeaderTerm:
    """The term of one leader.

    `token` fences off earlier leaders. `roster` holds the workers that they may
    have sent orders to. `predecessor_runs_until_ms` is the time until which
    their runs may continue, for each worker where they have recorded it.
    `link_bytes_s` is the bandwidth of the leader's link, and
    `late_starts_until_ms` until when starts of earlier leaders may arrive, for
    each worker at which some got no reply.
    """

    token: int
    since_ms: int
    roster: frozenset[str]
    timing: Timing
    predecessor_runs_until_ms: Mapping[str, int] = field(default_factory=dict)
    link_bytes_s: int = DEFAULT_LINK_BYTES_S
    late_starts_until_ms: Mapping[str, int] = field(default_factory=dict)

    @property
    def handover_until_ms(self) -> int:
        """Return the time until which an earlier leader's leases may last."""
        return self.since_ms + self.timing.handover_ms

    def earlier_runs_until_ms(self, worker_id: str) -> int:
        """Return until when an earlier leader's runs on a worker may last.

        This holds for every incarnation of the worker.
        """
        until_ms = self.handover_until_ms
        return min(
            until_ms, self.predecessor_runs_until_ms.get(worker_id, until_ms)
        )

    def unseen_runs_until_ms(self) -> dict[str, int]:
        """Return until when runs may continue unseen, by worker."""
        return {
            worker_id: self.earlier_runs_until_ms(worker_id)
            for worker_id in self.roster
        }


class SchedulerState:
    """Jobs, workers and learned data of one leader term.

    `live_jobs` are the jobs that have not ended or whose end is not written
    yet. `unseen_runs_until_ms` holds the time until which a worker may have
    runs that no listing has shown. `change_number` counts the changes that have
    to be written before something follows from them.
    """

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start empty, without jobs or workers."""
        self.term = term
        self.log = log
        self.jobs: dict[str, Job] = {}
        self.live_jobs: dict[str, Job] = {}
        self.workers: dict[str, Worker] = {}
        self.closed_domains: frozenset[str] = frozenset()
        self.change_number = 0
        self.interference = create_interference_model()
        self.tickets = TicketCache()
        self._delay_costs = create_delay_costs()
        self._ended = EndedJobs()
        self.unseen_runs_until_ms = term.unseen_runs_until_ms()
        self._grants_leases = True

    def add_job(self, job: Job) -> None:
        """Add an accepted job unless it exists or has been evicted."""
        job_id = job.spec.job_id
        if job_id in self.jobs or self._ended.is_evicted(job_id):
            return
        self.jobs[job_id] = job
        self._delay_costs.record_job(job)
        if job.is_dirty or not job.state.is_final:
            self.live_jobs[job_id] = job

    def changed_jobs(self) -> list[Job]:
        """Return the jobs whose records have to be written.

        The final record of a job that has ended is written once.
        """
        changed = [job for job in self.live_jobs.values() if job.is_dirty]
        for job in changed:
            job.is_dirty = False
            if job.state.is_final:
                self.live_jobs.pop(job.spec.job_id, None)
                self.tickets.evict_job(job.spec.job_id)
                self._ended.add(job)
        return changed

    def evict_ended_jobs(self, now_ms: int) -> None:
        """Drop the ended jobs for which nothing can arrive any more."""
        for job in self._ended.evict_expired(self.live_jobs, now_ms):
            self.jobs.pop(job.spec.job_id, None)

    def mark_unsaved(self, jobs: list[Job]) -> None:
        """Mark jobs dirty again whose records were not written."""
        for job in jobs:
            job.is_dirty = True
            self.live_jobs[job.spec.job_id] = job

    def acknowledge_saved_ends(
        self, change_number: int, now_ms: int
    ) -> list[str]:
        """Acknowledge the ends of runs recorded up to a change number.

        Returns the workers that had unacknowledged ends and have none left.
        """
        acknowledged = []
        for worker in self.workers.values():
            ends = worker.unacked_ends
            had_ends = bool(ends)
            while ends and ends[0].can_be_acked(change_number, now_ms):
                worker.acked_end_number = ends.popleft().number
            if had_ends and not ends:
                acknowledged.append(worker.worker_id)
        return acknowledged

    def store_advice(
        self, query: AdviceQuery, permits: Iterable[Permit], asked_ms: int
    ) -> None:
        """Store the advice service's response to a query."""
        asked = [
            self.workers[worker_id]
            for worker_id in query.worker_ids
            if worker_id in self.workers
        ]
        self.tickets.store_answer(query, permits, asked, asked_ms)

    def count_unstarted_jobs(self) -> int:
        """Return how many jobs have not started."""
        return sum(1 for job in self.live_jobs.values() if not job.has_started)

    def mark_started(self, key: RunKey) -> None:
        """Mark a run's job as started once a worker has started the run.

        A start order that was sent does not prove that the run has started.
        """
        job = self.jobs.get(key.task_id.job_id)
        if job is not None:
            job.mark_started()

    def update_checkpoint(
        self, reservation: Reservation, checkpoint: str
    ) -> None:
        """Record a run that is first listed or has a new checkpoint."""
        reservation.checkpoint = checkpoint
        self.mark_started(reservation.key)
        task_id = reservation.key.task_id
        step = self.step_of(task_id)
        if step is not None:
            step.tasks[task_id.ordinal].record_running(checkpoint)

    def poll_order(self, worker: Worker, wait_ms: int) -> PollOrder:
        """Return the next poll of a worker; it renews the lease.

        The poll waits less while a task may suffer interference there, while
        one may crash the worker, or while the lease cannot be renewed.
        """
        if worker.is_suspended:
            wait_ms = min(wait_ms, SUSPENDED_WAIT_MS)
        if worker.trial_runs:
            wait_ms = min(wait_ms, MAX_START_MS)
        if is_watched(worker):
            bound_ms = self.term.timing.interference_bound_ms
            wait_ms = min(wait_ms, int(WATCH_SHARE * bound_ms))
        return PollOrder(
            worker.token,
            _acked_end_number(worker),
            self.grant_lease(worker),
            wait_ms,
        )

    def grant_lease(self, worker: Worker) -> int:
        """Return the lease that an order to the worker carries."""
        if worker.is_suspended:
            return worker.max_lease_worker_ms
        if not self._grants_leases:
            return worker.clock.lease_deadline_worker_ms
        return worker.clock.next_lease(self.term.timing.lease_ms)

    def include_earlier_leases(self, worker: Worker) -> None:
        """Take leases of earlier leaders into account when a worker answers.

        None of them is longer than one that is granted now, but those that
        were meant for an earlier incarnation. Until its first answer to this
        leader, a worker may have accepted any that its own sessions have sent,
        and what others sent while it may arrive late.
        """
        if self._grants_leases:
            worker.clock.next_lease(self.term.timing.lease_ms)
        worker.clock.include_stray_lease(
            FOREVER if worker.is_restarted else MAX_ORDER_DELAY_MS,
            self.term.timing.max_lease_ms,
        )

    def is_domain_closed(self, worker: Worker) -> bool:
        """Return whether nothing may start in the worker's failure domain."""
        return worker.registration.failure_domain in self.closed_domains

    def step_of(self, task_id: TaskId) -> StepRun | None:
        job = self.jobs.get(task_id.job_id)
        return job.step_of(task_id) if job else None

    def reservation_of(self, order: Order) -> Reservation | None:
        """Return the reservation of an order's run, None once it is over."""
        worker = self.workers.get(order.worker_id)
        return worker.reservations.get(order.key) if worker else None


def _acked_end_number(worker: Worker) -> int:
    """Return up to which end the next poll may acknowledge.

    After a failed poll, another incarnation may be up, which numbers its ends
    anew.
    """
    return 0 if worker.unresponsive_since_ms else worker.acked_end_number


def is_current_run(worker: Worker, step: StepRun, key: RunKey) -> bool:
    """Return whether a run is the one that its task's phase refers to."""
    task = step.tasks[key.task_id.ordinal]
    if task.phase is TaskPhase.PLACED:
        return task.run == key.run and task.worker_id == worker.worker_id
    return task.phase is TaskPhase.WAITING and key.run >= task.run
