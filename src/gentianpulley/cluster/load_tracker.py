"""Records which work ends, as a base class of the scheduler."""

from gentianpulley.cluster.absent_workers import AbsentWorkers
from gentianpulley.cluster.ended_work import EndedWork
from gentianpulley.cluster.scheduler_state import LeaderTerm, Order
from gentianpulley.cluster.worker import Worker
from gentianpulley.cluster.worker_protocol import EndedRow
from gentianpulley.logs import EventLog


class LoadTracker(AbsentWorkers):
    """Records the tasks and jobs that ends of runs complete."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start with nothing ended."""
        super().__init__(term, log)
        self.ended_work = EndedWork()

    def _handle_end(
        self, worker: Worker, row: EndedRow, now_ms: int
    ) -> list[Order]:
        """Process the end of a run, and record what it completes."""
        step = self.step_of(row.key.task_id)
        if step is None:
            return super()._handle_end(worker, row, now_ms)
        job = step.job
        done_count = step.done_count
        was_final = job.state.is_final
        orders = super()._handle_end(worker, row, now_ms)
        ended = step.done_count - done_count
        self.ended_work.record_tasks(step, ended, now_ms)
        if job.state.is_final and not was_final:
            self.ended_work.record_job(job.spec.policy.queue, now_ms)
        return orders
