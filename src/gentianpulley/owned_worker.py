"""One worker that this instance owns: its epoch, ledger and connection."""

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
    """Commands a worker under one epoch.

    Starts are admitted only between a successful `take_over` and `close`. All
    methods may be called from any thread.
    """

    def __init__(
        self, name: str, epoch: int, conn: WorkerConn, *, may_start: bool
    ) -> None:
        """Own the worker on paper; `take_over` comes first."""
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
        self._ledger: WorkerReservations | None = None
        self._is_open = False
        self._classes: dict[str, str] = {}
        self._forget_after_ms: dict[str, int] = {}

    @property
    def is_admitting(self) -> bool:
        """Tell whether tasks may be admitted."""
        return self._is_open and self.may_start and not self.is_suspect

    @property
    def is_taken_over(self) -> bool:
        """Tell whether former owners are fenced out."""
        return self._is_open

    @property
    def boot_id(self) -> str:
        """Return the worker's boot id at take-over."""
        return self._description.boot_id if self._description else ''

    def take_over(self) -> TaskList:
        """Fence out former owners and learn what runs; then admit tasks.

        Leases are renewed before the first admission, so that running tasks
        survive the change of owner. When a worker is taken over again, after
        it lost its memory, starts that are on their way keep their shares.
        """
        description = self.conn.describe()
        listed = self.conn.fence(self.epoch)
        ledger = WorkerReservations(description)
        ledger.add_running(_running(listed))
        with self._lock:
            if self._ledger is not None:
                ledger.carry_over(self._ledger)
            self._description = description
            self._ledger = ledger
            self._classes = {
                task.task_id: task.work_class for task in _running(listed)
            }
        self.renew(())
        self._is_open = True
        return listed

    def close(self) -> None:
        """Admit nothing more."""
        self._is_open = False

    def admit(self, order: TaskOrder) -> bool:
        """Reserve what the task needs; False if it does not fit."""
        with self._lock:
            if self._ledger is None or not self.is_admitting:
                return False
            admitted = self._ledger.admit(order.task_id, order.need)
            if admitted:
                self._classes[order.task_id] = order.work_class
            return admitted

    def release(self, task_id: str) -> None:
        """Give back what a task had reserved; idempotent."""
        with self._lock:
            if self._ledger is not None:
                self._ledger.release(task_id)
            self._classes.pop(task_id, None)

    def view(self) -> WorkerView | None:
        """Return what placement may see; None while nothing is admitted."""
        with self._lock:
            if self._ledger is None or self._description is None:
                return None
            if not self.is_admitting:
                return None
            return WorkerView(
                name=self.name,
                rack=self._description.rack,
                free=self._ledger.free,
                capacity=self._ledger.capacity,
                free_slots=self._ledger.free_slots,
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
        """Renew the leases of all tasks and return the worker's list."""
        lease_deadline_ms = deadline_in(TASK_LEASE_MS)
        listed = self.conn.renew(Renewal(self.epoch, lease_deadline_ms, forget))
        self.lease_deadline_ms = lease_deadline_ms
        self.is_suspect = False
        self.is_leaving = listed.leaving
        return listed

    def schedule_forget(self, task_id: str, after_ms: int) -> None:
        """Let the worker forget an ended task after `after_ms`."""
        with self._lock:
            self._forget_after_ms.setdefault(task_id, after_ms)

    def pop_due_forgets(self) -> tuple[str, ...]:
        """Return the ended tasks that the worker may forget now."""
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
        self, listed: TaskList, known: frozenset[str]
    ) -> None:
        """Bring the ledger in line with the worker's list.

        Rows of tasks that have ended are released. Tasks that run without a
        row are entered. Rows of `known` tasks that are missing on the list
        stay: their start may still be on its way.
        """
        running = frozenset(task.task_id for task in _running(listed))
        ended = frozenset(
            task.task_id for task in listed.tasks if task.state.is_final()
        )
        with self._lock:
            if self._ledger is None:
                return
            ledger = self._ledger
            gone = ledger.task_ids().difference(running, known)
            for task_id in gone.union(ended):
                ledger.release(task_id)
                self._classes.pop(task_id, None)
            ledger.add_running(_running(listed))


def is_ownership_lost(exc: WorkerRefusedError) -> bool:
    """Tell whether a refusal means that another owner fenced the worker."""
    return exc.code is STALE_EPOCH


def _running(listed: TaskList) -> tuple[TaskSummary, ...]:
    return tuple(
        task for task in listed.tasks if task.state is TaskState.RUNNING
    )
