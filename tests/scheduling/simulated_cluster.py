"""Simulated workers, the delivery of starts to them, and the invariants.

Workers follow the documented rules for runs. Starts may be carried out seconds
later, and every start is checked against the invariants.
"""

import random

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunKey,
    StartOrder,
    StartVerdict,
)
from gentianpulley.jobs.spec import JobSpec, TaskId
from tests.scheduling.harness import START_MS, TIMING
from tests.scheduling.simulated_leader import DelayedStart
from tests.scheduling.simulated_worker import ActiveRun, SimulatedWorker

ARRIVAL_DELAY_MS = (2000, 12_000)
WORKERS = 3
CAPACITY_MILLI = 64_000
FAILURE_PERCENT = 10


class SimulatedCluster:
    """Workers and jobs with one clock and one random generator.

    `arrival_delay_ms` is the range of how late starts may be carried out.
    """

    arrival_delay_ms = ARRIVAL_DELAY_MS

    def __init__(self, seed: int, durations_ms: tuple[int, ...]) -> None:
        """Start with some workers; runs last one of the durations."""
        self._durations_ms = durations_ms
        self.rng = random.Random(seed)
        self.now_ms = START_MS
        self.violations: list[str] = []
        self.workers = {
            f'w{number}': SimulatedWorker(
                f'w{number}',
                self.rng.choice((1, 0.98)),
                START_MS - 10_000 - number,
            )
            for number in range(WORKERS)
        }
        self.specs: dict[str, JobSpec] = {}
        self.completed_tasks: set[TaskId] = set()
        self.delayed_starts: list[DelayedStart] = []
        self.starts = 0

    def _happens(self, percent: int) -> bool:
        return self.rng.randrange(100) < percent

    def _is_accepted_late(self, late: DelayedStart) -> bool:
        """Return whether the incarnation that a start is meant for is up.

        An order names it; docs/QUESTIONS.md, 2.
        """
        worker = self.workers[late.order.worker_id]
        return worker.incarnation_ms == late.incarnation_ms

    def _delay(self, order: StartOrder, token: int, lease_ms: int) -> None:
        """Let a start arrive seconds later."""
        at_ms = self.now_ms + self.rng.randint(*self.arrival_delay_ms)
        worker_start_ms = self.workers[order.worker_id].incarnation_ms
        self.delayed_starts.append(
            DelayedStart(at_ms, order, token, lease_ms, worker_start_ms)
        )

    def _deliver(
        self, order: StartOrder, token: int, lease_ms: int
    ) -> StartVerdict:
        """Deliver a start to its worker, whatever its incarnation."""
        worker = self.workers[order.worker_id]
        task_id = order.key.task_id
        if token < worker.token:
            return StartVerdict.FENCED
        worker.token = token
        if lease_ms <= worker.clock(self.now_ms):
            return StartVerdict.TOO_LATE
        limit_ms = worker.clock(self.now_ms) + TIMING.max_lease_ms
        worker.lease_ms = max(worker.lease_ms, min(lease_ms, limit_ms))
        existing = worker.runs.get(task_id)
        if existing is not None and existing.key == order.key:
            return StartVerdict.ACCEPTED
        if existing or order.key.run <= worker.rejected_runs.get(task_id, 0):
            return StartVerdict.OUTDATED
        self._check_start(worker, order.key)
        duration_ms = self.rng.choice(self._durations_ms)
        fails = self._happens(FAILURE_PERCENT)
        ends_ms = self.now_ms + duration_ms
        worker.runs[task_id] = ActiveRun(order.key, ends_ms, fails)
        return StartVerdict.ACCEPTED

    # Invariants.

    def _check_start(self, worker: SimulatedWorker, key: RunKey) -> None:
        self.starts += 1
        task_id = key.task_id
        if task_id in self.completed_tasks:
            self.violations.append(f'{key} started after it was done')
        for other in self.workers.values():
            other.advance(self.now_ms)
            if task_id in other.runs:
                self.violations.append(f'{key} runs on {other.worker_id} too')
        used = worker.used_milli(self._needs) + self._needs(task_id)
        if used > CAPACITY_MILLI:
            self.violations.append(f'{worker.worker_id} holds {used}')

    def _acknowledge(self, worker: SimulatedWorker, number: int) -> None:
        for row in worker.ended:
            is_acked = row.number <= number
            has_expired = (
                worker.lease_expiries_at_end[row.number]
                != worker.lease_expiries
            )
            if is_acked and row.cause is EndCause.DONE and not has_expired:
                self.completed_tasks.add(row.key.task_id)
        worker.ended = [row for row in worker.ended if row.number > number]

    def _needs(self, task_id: TaskId) -> int:
        spec = self.specs[task_id.job_id].steps[task_id.step]
        return spec.resources.processors_milli
