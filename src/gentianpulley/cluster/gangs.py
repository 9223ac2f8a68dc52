"""Stops gangs that lose a member before all members have started.

A gang works only if it is complete. When one member cannot start, the others
would occupy their capacity, wait in vain and end without it, so they are
stopped.
"""

from gentianpulley.cluster.worker_protocol import RunKey, StopOrder
from gentianpulley.cluster.scheduler_state import (
    LeaderTerm,
    SchedulerState,
    is_current_run,
)
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.jobs.job import StepRun, Task, TaskPhase
from gentianpulley.logs import EventLog


class GangTracker(SchedulerState):
    """Requeues runs, and stops the remaining members of their gangs."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Start without incomplete gangs."""
        super().__init__(term, log)
        self._incomplete_gangs: set[StepRun] = set()

    def requeue_run(self, worker: Worker, key: RunKey, reason: str) -> None:
        """Release a run that is certain not to exist; its task waits again."""
        released = worker.release(key)
        seen_ms = worker.clock.seen_at_ms
        self.log.run_returned(
            key,
            worker.worker_id,
            reason,
            released.seen_for_ms(seen_ms) if released else 0,
        )
        step = self.step_of(key.task_id)
        if step is None or not is_current_run(worker, step, key):
            return
        task = step.tasks[key.task_id.ordinal]
        step.requeue(task)
        self.mark_run_missing(key)
        step.job.is_dirty |= bool(task.checkpoint)

    def stop_uncertain_run(
        self, worker: Worker, reservation: Reservation
    ) -> StopOrder:
        """Return the stop of a run that may or may not exist."""
        reservation.is_stopping = True
        self.mark_run_missing(reservation.key)
        return StopOrder(worker.worker_id, reservation.key)

    def mark_run_missing(self, key: RunKey) -> None:
        """Mark the gang of a run that does not, or might not, start."""
        step = self.step_of(key.task_id)
        if step is not None and step.spec.is_gang:
            self._incomplete_gangs.add(step)

    def stop_incomplete_gangs(self) -> list[StopOrder]:
        """Stop the other members of gangs that cannot become complete."""
        incomplete = tuple(self._incomplete_gangs)
        members = [task for step in incomplete for task in step.tasks]
        orders: list[StopOrder] = []
        for task in members:
            if task.phase is TaskPhase.PLACED:
                orders.extend(self._stop_member(task))
        self._incomplete_gangs.clear()
        return orders

    def _stop_member(self, task: Task) -> list[StopOrder]:
        """Stop a member; one that was never sent is requeued at once."""
        worker = self.workers.get(task.worker_id)
        key = RunKey(task.task_id, task.run)
        reservation = worker.reservations.get(key) if worker else None
        if worker is None or reservation is None or reservation.is_stopping:
            return []
        if reservation.is_unsent:
            self.requeue_run(worker, key, 'never sent')
            return []
        reservation.is_stopping = True
        return [StopOrder(worker.worker_id, key)]
