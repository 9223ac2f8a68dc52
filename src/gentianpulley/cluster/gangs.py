"""Gangs that lost a member before all of it were there.

A gang works only as a whole. When one member cannot start, the others would
hold their room, wait in vain and end alone, so they are stopped.
"""

from gentianpulley.cluster.link import RunKey, StopOrder
from gentianpulley.cluster.scheduler_state import (
    Reign,
    SchedulerState,
    is_current_run,
)
from gentianpulley.cluster.worker import Charge, Worker
from gentianpulley.jobs.job import StepRun, Task, TaskPhase
from gentianpulley.logs import EventLog


class GangKeeper(SchedulerState):
    """Gives runs back, and stops what is left of their gangs."""

    def __init__(self, reign: Reign, log: EventLog) -> None:
        """Know no gang yet."""
        super().__init__(reign, log)
        self._torn: set[StepRun] = set()

    def return_run(self, worker: Worker, key: RunKey, reason: str) -> None:
        """Release a run that is surely not there and let its task wait."""
        worker.release(key)
        self.log.run_returned(key, worker.worker_id, reason)
        step = self.step_of(key.task_id)
        if step is None or not is_current_run(worker, step, key):
            return
        task = step.tasks[key.task_id.ordinal]
        step.give_back(task)
        self.note_absent(key)
        step.job.is_changed |= bool(task.checkpoint)

    def halt_uncertain(self, worker: Worker, charge: Charge) -> StopOrder:
        """Return the stop of a run that may be there or not."""
        charge.is_stopping = True
        self.note_absent(charge.key)
        return StopOrder(worker.worker_id, charge.key)

    def note_absent(self, key: RunKey) -> None:
        """Note that a run does not come, or may not."""
        step = self.step_of(key.task_id)
        if step is not None and step.spec.is_gang:
            self._torn.add(step)

    def stop_torn_gangs(self) -> list[StopOrder]:
        """Stop the other members of gangs that cannot become whole."""
        torn = tuple(self._torn)
        members = [task for step in torn for task in step.tasks]
        orders: list[StopOrder] = []
        for task in members:
            if task.phase is TaskPhase.PLACED:
                orders.extend(self._stop_member(task))
        self._torn.clear()
        return orders

    def _stop_member(self, task: Task) -> list[StopOrder]:
        """Stop a member; one that was never sent waits at once."""
        worker = self.workers.get(task.worker_id)
        key = RunKey(task.task_id, task.run)
        charge = worker.charges.get(key) if worker else None
        if worker is None or charge is None or charge.is_stopping:
            return []
        if charge.is_unsent:
            self.return_run(worker, key, 'never sent')
            return []
        charge.is_stopping = True
        return [StopOrder(worker.worker_id, key)]
