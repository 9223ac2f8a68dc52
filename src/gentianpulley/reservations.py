"""Reserves capacity of one worker for its tasks.

A reservation counts what a task on the worker may use, from before its start
command is sent until the worker itself reports that the task has ended. A task
whose start was sent but got no reply keeps its reservation meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.worker import TaskSummary, WorkerDescription


@dataclass(frozen=True, slots=True)
class Reservation:
    """The resources that one task may use."""

    task_id: str
    need: Resources


class WorkerReservations:
    """Admits tasks to one worker; callers serialize access.

    The worker's capacity limits the sum of all reservations, and its slots
    limit their number. Tasks that the worker itself reports are entered
    without a check: they run whether they fit or not, and only keep other
    tasks from being admitted.
    """

    def __init__(self, description: WorkerDescription) -> None:
        """Start empty, with the worker's capacity."""
        self._capacity = description.capacity
        self._slots = description.slots
        self._by_task: dict[str, Reservation] = {}
        self._used = NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Return the unreserved capacity; may be negative."""
        return self._capacity.minus(self._used)

    @property
    def free_slots(self) -> int:
        """Return the number of tasks that may still be admitted."""
        return max(0, self._slots - len(self._by_task))

    @property
    def capacity(self) -> Resources:
        """Return the worker's capacity."""
        return self._capacity

    def fits(self, need: Resources) -> bool:
        """Return whether such a task would be admitted now."""
        return self.free_slots > 0 and need.fits_in(self.free)

    def admit(self, task_id: str, need: Resources) -> bool:
        """Reserve what a task needs if it fits; True if it is reserved."""
        if task_id in self._by_task:
            return True
        if not self.fits(need):
            return False
        self._reserve(Reservation(task_id, need))
        return True

    def add_running(self, tasks: Iterable[TaskSummary]) -> None:
        """Add reservations for tasks that the worker reports as running."""
        for task in tasks:
            if task.task_id not in self._by_task:
                self._reserve(Reservation(task.task_id, task.need))

    def carry_over(self, previous: 'WorkerReservations') -> None:
        """Add the reservations of a predecessor that this object replaces."""
        for task_id, reservation in previous._by_task.items():
            if task_id not in self._by_task:
                self._reserve(reservation)

    def release(self, task_id: str) -> None:
        """Remove a task that no longer holds resources; idempotent."""
        reservation = self._by_task.pop(task_id, None)
        if reservation is not None:
            self._used = self._used.minus(reservation.need)

    def task_ids(self) -> frozenset[str]:
        """Return the ids of all tasks that have a reservation."""
        return frozenset(self._by_task)

    def _reserve(self, reservation: Reservation) -> None:
        self._by_task[reservation.task_id] = reservation
        self._used = self._used.plus(reservation.need)
