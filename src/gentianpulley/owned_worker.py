"""One worker that this instance owns: epoch, reservations and connection."""

import threading
from typing import Final

from gentianpulley.deadline import deadline_in, has_passed
from gentianpulley.errors import WorkerRefusedError
from gentianpulley.reservations import WorkerReservations
from gentianpulley.placement import WorkerView
from gentianpulley.result_code import STALE_EPOCH
from gentianpulley.task import TaskOrder
from gentianpulley.task_entry import TaskEntry
from gentianpulley.worker import (
    Renewal,
    StartCommand,
    TaskList,
    TaskState,
    TaskStatus,
    TaskSummary,
    WorkerConn,
    WorkerDescription,
)

TASK_LEASE_MS: Final = 30_000


class OwnedWorker:
    """Sends commands to a worker under one epoch.

    Starts are admitted only between a successful `take_over` and `close`. All
    methods may be called from any thread.
    """

    def __init__(
        self, name: str, epoch: int, conn: WorkerConn, *, may_start: bool
    ) -> None:
        """Record the ownership only; `take_over` comes first."""
        self.address = conn.address
        self.may_start = may_start
        self.name = name
        self.epoch = epoch
        self.conn = conn
        self.lease_deadline_ms = 0
        self.is_suspect = False
        self.is_leaving = False
        self._lock = threading.Lock()
        self._description: WorkerDescription | None = None
        self._reservations: WorkerReservations | None = None
        self._is_open = False
        self._classes: dict[str, str] = {}
        self._forget_after_ms: dict[str, int] = {}

    @property
    def is_admitting(self) -> bool:
        """Return whether tasks may be admitted."""
        return self._is_open and self.may_start and not self.is_suspect

    @property
    def is_taken_over(self) -> bool:
        """Return whether previous owners are fenced out."""
        return self._is_open

    @property
    def boot_id(self) -> str:
        """Return the worker's boot id as of the takeover."""
        return self._description.boot_id if self._description else ''

    def take_over(self) -> TaskList:
        """Fence out previous owners, list the running tasks, then admit tasks.

        Leases are renewed before the first admission, so that running tasks
        survive the change of owner. When a worker is taken over again after it
        lost its state, starts in flight keep their reservations.
        """
        description = self.conn.describe()
        listed = self.conn.fence(self.epoch)
        reservations = WorkerReservations(description)
        reservations.add_running(_running(listed))
        with self._lock:
            if self._reservations is not None:
                reservations.carry_over(self._reservations)
            self._description = description
            self._reservations = reservations
            self._classes = {
                task.task_id: task.work_class for task in _running(listed)
            }
        self.renew(())
        self._is_open = True
        return listed

    def close(self) -> None:
        """Stop admitting tasks."""
        self._is_open = False

    def admit(self, order: TaskOrder) -> bool:
        """Reserve what the task needs; False if it does not fit."""
        with self._lock:
            if self._reservations is None or not self.is_admitting:
                return False
            admitted = self._reservations.admit(order.task_id, order.need)
            if admitted:
                self._classes[order.task_id] = order.work_class
            return admitted

    def release(self, task_id: str) -> None:
        """Release a task's reservation; idempotent."""
        with self._lock:
            if self._reservations is not None:
                self._reservations.release(task_id)
            self._classes.pop(task_id, None)

    def view(self) -> WorkerView | None:
        """Return what placement may see; None while no tasks are admitted."""
        with self._lock:
            if self._reservations is None or self._description is None:
                return None
            if not self.is_admitting:
                return None
            return WorkerView(
                name=self.name,
                rack=self._description.rack,
                free=self._reservations.free,
                capacity=self._reservations.capacity,
                free_slots=self._reservations.free_slots,
                running_classes=tuple(self._classes.values()),
            )

    def start(self, entry: TaskEntry, wait_ms: int) -> TaskStatus:
        """Send the start command of an admitted task."""
        order = entry.order
        command = StartCommand(
            task_id=order.task_id,
            epoch=self.epoch,
            work_class=order.work_class,
            need=order.need,
            start_before_ms=entry.start_deadline_ms,
            lease_deadline_ms=deadline_in(TASK_LEASE_MS),
            checkpoint=order.checkpoint,
            payload=order.payload,
        )
        return self.conn.start(command, wait_ms)

    def renew(self, forget: tuple[str, ...]) -> TaskList:
        """Renew the leases of all tasks and return the worker's task list."""
        lease_deadline_ms = deadline_in(TASK_LEASE_MS)
        listed = self.conn.renew(Renewal(self.epoch, lease_deadline_ms, forget))
        self.lease_deadline_ms = lease_deadline_ms
        self.is_suspect = False
        self.is_leaving = listed.leaving
        return listed

    def schedule_forget(self, task_id: str, after_ms: int) -> None:
        """Let the worker discard an ended task after `after_ms`."""
        with self._lock:
            self._forget_after_ms.setdefault(task_id, after_ms)

    def pop_due_forgets(self) -> tuple[str, ...]:
        """Remove and return the ended tasks that the worker may discard now."""
        with self._lock:
            due = tuple(
                task_id
                for task_id, after_ms in self._forget_after_ms.items()
                if has_passed(after_ms)
            )
            for task_id in due:
                self._forget_after_ms.pop(task_id)
        return due

    def reconcile_reservations(
        self, listed: TaskList, tracked: frozenset[str]
    ) -> None:
        """Reconcile the reservations with the worker's task list.

        Reservations of ended tasks are released. Running tasks without a
        reservation get one. Reservations of `tracked` tasks that are missing
        from the list stay, because their start may still be in flight.
        """
        running = frozenset(task.task_id for task in _running(listed))
        ended = frozenset(
            task.task_id for task in listed.tasks if task.state.is_final()
        )
        with self._lock:
            if self._reservations is None:
                return
            reservations = self._reservations
            gone = reservations.task_ids().difference(running, tracked)
            for task_id in gone.union(ended):
                reservations.release(task_id)
                self._classes.pop(task_id, None)
            reservations.add_running(_running(listed))


def is_ownership_lost(exc: WorkerRefusedError) -> bool:
    """Return whether a refusal means that another owner fenced the worker."""
    return exc.code is STALE_EPOCH


def _running(listed: TaskList) -> tuple[TaskSummary, ...]:
    return tuple(
        task for task in listed.tasks if task.state is TaskState.RUNNING
    )
