"""Cancelled jobs: their runs are stopped, and nothing new starts."""

from collections.abc import Iterable

from gentianpulley.cluster.gangs import GangTracker
from gentianpulley.cluster.worker_protocol import StopOrder
from gentianpulley.cluster.scheduler_state import Order, LeaderTerm
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import Job
from gentianpulley.logs import EventLog


class Cancellations(GangTracker):
    """Applies cancellations, whether they or their jobs arrive first."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start without pending cancellations."""
        super().__init__(term, log)
        self._pending_cancellations: set[str] = set()

    def add_job(self, job: Job) -> None:
        """Add an accepted job, also one whose cancellation came first."""
        super().add_job(job)
        job_id = job.spec.job_id
        if job_id in self._pending_cancellations:
            self._pending_cancellations.discard(job_id)
            job.cancel()

    def add_pending_cancellations(self, job_ids: Iterable[str]) -> None:
        """Record cancelled jobs not known here; they may come later."""
        self._pending_cancellations.update(job_ids)

    def discard_pending_cancellation(self, job_id: str) -> None:
        """Discard the cancellation of a job that is no longer stored."""
        self._pending_cancellations.discard(job_id)

    def cancel(self, job_id: str) -> list[Order]:
        """Cancel a job, also one that comes later, and stop its runs."""
        job = self.jobs.get(job_id)
        if job is None:
            self.add_pending_cancellations((job_id,))
        if job is None or job.state.is_final:
            return []
        job.cancel()
        return self.stop_job_runs(job)

    def stop_job_runs(self, job: Job) -> list[Order]:
        """Stop every run of a job that has ended."""
        orders: list[Order] = []
        for step in job.steps.values():
            for worker_id in tuple(step.tasks_per_worker):
                worker = self.workers.get(worker_id)
                if worker is not None:
                    orders.extend(_stop_orders(worker, job.spec.job_id))
        return orders


def _stop_orders(worker: Worker, job_id: str) -> list[StopOrder]:
    orders = []
    for reservation in worker.reservations.values():
        if (
            reservation.key.task_id.job_id == job_id
            and not reservation.is_stopping
        ):
            reservation.is_stopping = True
            orders.append(StopOrder(worker.worker_id, reservation.key))
    return orders
