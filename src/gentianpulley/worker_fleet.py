"""Tracks the workers that this instance owns and admits tasks to them."""

import threading

from gentianpulley.instance_list import ListedInstance, Presence
from gentianpulley.logs import EventLog
from gentianpulley.owned_worker import OwnedWorker
from gentianpulley.peer import Headroom
from gentianpulley.placement import PlacementPolicy, WorkerView
from gentianpulley.resources import NO_RESOURCES, Resources
from gentianpulley.task_finalizer import TaskFinalizer
from gentianpulley.task_entry import TaskEntry, TaskTable
from gentianpulley.worker import WorkerConnector


class WorkerFleet:
    """Owned workers by name; all share one `table` and one `finalizer`."""

    def __init__(
        self,
        connector: WorkerConnector,
        policy: PlacementPolicy,
        table: TaskTable,
        finalizer: TaskFinalizer,
        log: EventLog,
    ) -> None:
        """Start with no owned workers."""
        self.table = table
        self.finalizer = finalizer
        self._connector = connector
        self._policy = policy
        self._log = log
        self._lock = threading.Lock()
        self._workers: dict[str, OwnedWorker] = {}
        self._leaving: frozenset[str] = frozenset()

    def add_worker(
        self, listed: ListedInstance, epoch: int, *, may_start: bool
    ) -> OwnedWorker:
        """Add a worker under a new epoch; it admits no tasks yet.

        Unless `may_start` is set, it never admits any, because the owner is
        only a caretaker.
        """
        conn = self._connector.connect(listed.http)
        worker = OwnedWorker(listed.name, epoch, conn, may_start=may_start)
        with self._lock:
            self._workers[listed.name] = worker
        return worker

    def remove_worker(self, name: str) -> None:
        """Stop owning a worker and mark its active tasks as moved."""
        with self._lock:
            worker = self._workers.pop(name, None)
        if worker is None:
            return
        worker.close()
        for entry in self.table.active_on(name):
            self.finalizer.mark_moved(entry)
        self._log.worker_released(name, worker.epoch)

    def find(self, name: str) -> OwnedWorker | None:
        """Return an owned worker."""
        with self._lock:
            return self._workers.get(name)

    def workers(self) -> tuple[OwnedWorker, ...]:
        """Return all owned workers."""
        with self._lock:
            return tuple(self._workers.values())

    def update_leaving(self, listed: tuple[ListedInstance, ...]) -> None:
        """Stop admitting tasks to workers that are listed as leaving."""
        self._leaving = frozenset(
            worker.name
            for worker in listed
            if worker.presence is Presence.LEAVING
        )

    def is_leaving(self, name: str) -> bool:
        """Return whether a worker is leaving."""
        worker = self.find(name)
        is_reported = worker is not None and worker.is_leaving
        return is_reported or name in self._leaving

    def admit(self, entry: TaskEntry) -> OwnedWorker | None:
        """Reserve capacity on the best worker; None if no worker has enough."""
        views = [
            view
            for view in self._views()
            if view.free_slots > 0 and entry.order.need.fits_in(view.free)
        ]
        for name in self._policy.rank(entry.order, views):
            worker = self.find(name)
            if worker is not None and worker.admit(entry.order):
                self.table.bind(entry, name)
                return worker
        return None

    def headroom(self) -> Headroom:
        """Return the free capacity of all owned workers."""
        total = NO_RESOURCES
        largest = NO_RESOURCES
        free_slots = 0
        views = self._views()
        for view in views:
            free = view.free.elementwise_max(NO_RESOURCES)
            total = total.plus(free)
            free_slots += view.free_slots
            if view.free_slots and _has_more_processors(free, largest):
                largest = free
        shapes = {worker_view.capacity for worker_view in views}
        return Headroom(total, largest, free_slots, len(views), tuple(shapes))

    def _views(self) -> tuple[WorkerView, ...]:
        views = (
            worker.view()
            for worker in self.workers()
            if not self.is_leaving(worker.name)
        )
        return tuple(view for view in views if view is not None)


def _has_more_processors(free: Resources, largest: Resources) -> bool:
    return free.processors_milli > largest.processors_milli
