"""One task in the task table of its owner."""

import threading
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.deadline import (
    MS_PER_SECOND,
    deadline_in,
    has_passed,
    now_ms,
)
from gentianpulley.job import StoredJob
from gentianpulley.result_code import ACCEPTED
from gentianpulley.task import TaskOrder, TaskPhase, TaskReport

REPORT_RETENTION_MS: Final = 15_000
"""How long the report of an ended task can be requested again."""

NEVER_MS: Final = 9_000_000_000_000_000


@dataclass
class TaskEntry:
    """A task from its order to the end of its retention.

    `stored` is the job record as placed, None for work without a record.
    `start_deadline_ms` is the deadline after which the worker refuses the
    start; `confirmed_ms` is when the worker first confirmed that it has the
    task, zero before. `poll_lock` is held by the one thread that requests the
    answer.
    """

    order: TaskOrder
    report: TaskReport
    worker: str = ''
    stored: StoredJob | None = None
    was_sent: bool = False
    confirmed_ms: int = 0
    is_ending: bool = False
    start_deadline_ms: int = 0
    expires_at_ms: int = NEVER_MS
    ended: threading.Event = field(default_factory=threading.Event)
    poll_lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def task_id(self) -> str:
        """Return the id of the task."""
        return self.order.task_id

    @property
    def is_confirmed(self) -> bool:
        """Return whether the worker has confirmed that it has the task."""
        return self.confirmed_ms > 0

    def confirm(self) -> None:
        """Record that the worker has the task."""
        self.confirmed_ms = self.confirmed_ms or now_ms()

    def finish(self, report: TaskReport) -> None:
        """Publish the final report to all waiting threads."""
        self.report = report
        self.expires_at_ms = deadline_in(REPORT_RETENTION_MS)
        self.ended.set()

    def wait(self, wait_ms: int) -> TaskReport:
        """Wait for the end, up to `wait_ms`, and return the report."""
        self.ended.wait(wait_ms / MS_PER_SECOND)
        return self.report


def new_entry(order: TaskOrder) -> TaskEntry:
    """Return the entry of an order that was just received."""
    report = TaskReport(order.task_id, TaskPhase.RUNNING, ACCEPTED)
    return TaskEntry(order, report)


class TaskTable:
    """All tasks that this instance has on owned workers.

    Active tasks are indexed by worker, so that reconciling a worker costs no
    more than its slots. Ended tasks are kept for a while and then evicted in
    the order in which they ended.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._lock = threading.Lock()
        self._entries: dict[str, TaskEntry] = {}
        self._active: dict[str, dict[str, TaskEntry]] = {}
        self._ended: deque[TaskEntry] = deque()

    def add(self, entry: TaskEntry) -> tuple[TaskEntry, bool]:
        """Add the entry unless its task exists; True if it was added."""
        with self._lock:
            existing = self._entries.setdefault(entry.task_id, entry)
        return existing, existing is entry

    def bind(self, entry: TaskEntry, worker: str) -> None:
        """Record that the task was admitted to a worker."""
        entry.worker = worker
        with self._lock:
            self._active.setdefault(worker, {})[entry.task_id] = entry

    def mark_ended(self, entry: TaskEntry) -> None:
        """Record that the task has ended; its report is kept for a while."""
        with self._lock:
            self._active.get(entry.worker, {}).pop(entry.task_id, None)
            self._ended.append(entry)

    def remove(self, entry: TaskEntry) -> None:
        """Remove a task at once, so that its order may be sent again."""
        with self._lock:
            self._active.get(entry.worker, {}).pop(entry.task_id, None)
            self._entries.pop(entry.task_id, None)

    def remove_expired(self) -> None:
        """Remove ended tasks whose retention is over."""
        with self._lock:
            while self._ended and has_passed(self._ended[0].expires_at_ms):
                entry = self._ended.popleft()
                if self._entries.get(entry.task_id) is entry:
                    self._entries.pop(entry.task_id)

    def find(self, task_id: str) -> TaskEntry | None:
        """Return the entry of a task."""
        with self._lock:
            return self._entries.get(task_id)

    def active_on(self, worker: str) -> tuple[TaskEntry, ...]:
        """Return the tasks of a worker that have not ended."""
        with self._lock:
            return tuple(self._active.get(worker, {}).values())

    def size(self) -> int:
        """Return the number of tasks, ended ones included."""
        with self._lock:
            return len(self._entries)
