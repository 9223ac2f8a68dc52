"""Gangs that lost a member before all of it were there.

A gang works only as a whole. When one member cannot start, the others would
hold their room, wait in vain and end alone, so they are stopped.
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
    """Gives runs back, and stops what is left of their gangs."""

    def __init__(self, term: LeaderTerm, log: EventLog) -> None:
        """Know no gang yet."""
        super().__init__(term, log)
        self._incomplete_gangs: set[StepRun] = set()

    def requeue_run(self, worker: Worker, key: RunKey, reason: str) -> None:
        """Release a run that is surely not there and let its task wait."""
        worker.release(key)
        self.log.run_returned(key, worker.worker_id, reason)
        step = self.step_of(key.task_id)
        if step is None or not is_current_run(worker, step, key):
            return
        task = step.tasks[key.task_id.ordinal]
        step.requeue(task)
        self.mark_run_missing(key)
        step.job.is_dirty |= bool(task.checkpoint)

    def stop_uncertain_run(
        self, worker: Worker, charge: Reservation
    ) -> StopOrder:
        """Return the stop of a run that may be there or not."""
        charge.is_stopping = True
        self.mark_run_missing(charge.key)
        return StopOrder(worker.worker_id, charge.key)

    def mark_run_missing(self, key: RunKey) -> None:
        """Note that a run does not come, or may not."""
        step = self.step_of(key.task_id)
        if step is not None and step.spec.is_gang:
            self._incomplete_gangs.add(step)

    def stop_incomplete_gangs(self) -> list[StopOrder]:
        """Stop the other members of gangs that cannot become whole."""
        torn = tuple(self._incomplete_gangs)
        members = [task for step in torn for task in step.tasks]
        orders: list[StopOrder] = []
        for task in members:
            if task.phase is TaskPhase.PLACED:
                orders.extend(self._stop_member(task))
        self._incomplete_gangs.clear()
        return orders

    def _stop_member(self, task: Task) -> list[StopOrder]:
        """Stop a member; one that was never sent waits at once."""
        worker = self.workers.get(task.worker_id)
        key = RunKey(task.task_id, task.run)
        charge = worker.reservations.get(key) if worker else None
        if worker is None or charge is None or charge.is_stopping:
            return []
        if charge.is_unsent:
            self.requeue_run(worker, key, 'never sent')
            return []
        charge.is_stopping = True
        return [StopOrder(worker.worker_id, key)]
