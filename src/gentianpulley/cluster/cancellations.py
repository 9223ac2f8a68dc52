"""Cancelled jobs: what runs of them is stopped, and nothing new starts."""

from collections.abc import Iterable

from gentianpulley.cluster.gangs import GangTracker
from gentianpulley.cluster.worker_protocol import StopOrder
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import Job
from gentianpulley.logs import EventLog


class Cancellations(GangTracker):
    """Carries cancellations out, in whatever order they and jobs come."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Know no cancellation yet."""
        super().__init__(term, log)
        self._cancelled_unknown: set[str] = set()

    def add_job(self, job: Job) -> None:
        """Take up an accepted job, also one whose cancellation came first."""
        super().add_job(job)
        job_id = job.spec.job_id
        if job_id in self._cancelled_unknown:
            self._cancelled_unknown.discard(job_id)
            job.cancel()

    def add_pending_cancellations(self, job_ids: Iterable[str]) -> None:
        """Note cancelled jobs that are not known, as they may come later."""
        self._cancelled_unknown.update(job_ids)

    def discard_pending_cancellation(self, job_id: str) -> None:
        """Note that a job is not stored any more."""
        self._cancelled_unknown.discard(job_id)

    def cancel(self, job_id: str) -> list[Order]:
        """Cancel a job and stop what runs of it, also if it comes later."""
        job = self.jobs.get(job_id)
        if job is None:
            self.add_pending_cancellations((job_id,))
        if job is None or job.state.is_final:
            return []
        job.cancel()
        return self.stop_job_runs(job)

    def stop_job_runs(self, job: Job) -> list[Order]:
        """Stop every run of a job that has come to its end."""
        orders: list[Order] = []
        for step in job.steps.values():
            for worker_id in tuple(step.tasks_per_worker):
                worker = self.workers.get(worker_id)
                if worker is not None:
                    orders.extend(_stops(worker, job.spec.job_id))
        return orders


def _stops(worker: Worker, job_id: str) -> list[StopOrder]:
    orders = []
    for charge in worker.reservations.values():
        if charge.key.task_id.job_id == job_id and not charge.is_stopping:
            charge.is_stopping = True
            orders.append(StopOrder(worker.worker_id, charge.key))
    return orders
