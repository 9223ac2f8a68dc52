"""The admission ledger of one worker.

The ledger counts what every task on the worker may use, from before its start
command is sent until the worker itself has said that the task is over. A task
whose start was sent without an answer keeps its share meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.worker import TaskSummary, WorkerDescription


@dataclass(frozen=True, slots=True)
class Reservation:
    """What one task may use."""

    task_id: str
    need: Resources


class WorkerReservations:
    """Admits tasks to one worker; callers serialize access.

    The capacity of the worker bounds the sum of all rows, and its slots bound
    their number. Tasks that the worker reports on its own are entered without
    a check: they run whether they fit or not, and only shut out others.
    """

    def __init__(self, description: WorkerDescription) -> None:
        """Start empty, with the worker's capacity."""
        self._capacity = description.capacity
        self._slots = description.slots
        self._rows: dict[str, Reservation] = {}
        self._used = NO_RESOURCES

    @property
    def free(self) -> Resources:
        """Return the capacity that no row claims; may be negative."""
        return self._capacity.minus(self._used)

    @property
    def free_slots(self) -> int:
        """Return the number of tasks that may still be admitted."""
        return max(0, self._slots - len(self._rows))

    @property
    def capacity(self) -> Resources:
        """Return the worker's capacity."""
        return self._capacity

    def fits(self, need: Resources) -> bool:
        """Tell whether such a task would be admitted now."""
        return self.free_slots > 0 and need.fits_in(self.free)

    def admit(self, task_id: str, need: Resources) -> bool:
        """Enter a task if it fits; True if it stands in the ledger."""
        if task_id in self._rows:
            return True
        if not self.fits(need):
            return False
        self._enter(Reservation(task_id, need))
        return True

    def add_running(self, tasks: Iterable[TaskSummary]) -> None:
        """Enter tasks that the worker reports as running."""
        for task in tasks:
            if task.task_id not in self._rows:
                self._enter(Reservation(task.task_id, task.need))

    def carry_over(self, former: 'WorkerReservations') -> None:
        """Enter the rows of a ledger that this one replaces."""
        for task_id, row in former._rows.items():
            if task_id not in self._rows:
                self._enter(row)

    def release(self, task_id: str) -> None:
        """Remove a task that holds nothing any more; idempotent."""
        row = self._rows.pop(task_id, None)
        if row is not None:
            self._used = self._used.minus(row.need)

    def task_ids(self) -> frozenset[str]:
        """Return the ids of all tasks in the ledger."""
        return frozenset(self._rows)

    def _enter(self, row: Reservation) -> None:
        self._rows[row.task_id] = row
        self._used = self._used.plus(row.need)
