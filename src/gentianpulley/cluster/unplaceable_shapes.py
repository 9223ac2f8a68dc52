"""Tasks that fit no worker, kept from plan to plan until a worker changes.

Handles the load of a full cluster: tens of steps wait for which no worker has
free capacity, plans run every few milliseconds, and only a few workers change
between two of them. What did not fit before is checked against these alone.
"""

from collections.abc import Iterable, Iterator
from operator import itemgetter
from typing import NamedTuple

from gentianpulley.cluster.worker_protocol import WorkerRegistration
from gentianpulley.cluster.schedulable_workers import (
    free_milli,
    headroom,
    matches_constraints,
)
from gentianpulley.cluster.task_placement import (
    PlacementContext,
    is_interference_acceptable,
)
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import Shape, StepSpec


_FreeWorker = tuple[float, Worker]
"""The maximum processors that a worker has left, and the worker."""


class _UnplaceableTask(NamedTuple):
    """Tasks of this size fit no worker, and why."""

    spec: StepSpec
    reason: WaitReason


class _Condition(NamedTuple):
    """What decides whether a schedulable worker can take one more task."""

    worker: Worker
    registration: WorkerRegistration
    state_version: int
    is_suspended: bool


class UnplaceableShapes:
    """Tasks that fit no worker; those that need as much fit none either.

    Free capacity only shrinks within a plan, and a larger task causes no less
    interference. Between plans only workers whose condition has changed can
    have become able to take a task.
    """

    def __init__(self) -> None:
        """Start empty: every task may fit."""
        self._unplaceable: dict[Shape, list[_UnplaceableTask]] = {}
        self._previous: dict[Shape, list[_UnplaceableTask]] = {}
        self._conditions: dict[str, _Condition] = {}
        self._changed: dict[str, Worker] = {}
        self._free_workers: dict[bool, list[_FreeWorker]] = {}

    def begin_plan(self, view: PlacementContext) -> None:
        """Find the workers that have changed since the previous plan.

        Entries that no step of that plan was checked against are discarded.
        """
        self._previous = self._unplaceable
        self._unplaceable = {}
        conditions = {
            worker.worker_id: _condition(worker, view.now_ms)
            for worker in view.workers.workers
        }
        self._free_workers.clear()
        self._changed = {
            worker_id: condition.worker
            for worker_id, condition in conditions.items()
            if condition != self._conditions.get(worker_id)
        }
        self._conditions = conditions

    def mark_worker_changed(self, worker: Worker) -> None:
        """Record that a worker was given a task or is no longer held."""
        self._changed[worker.worker_id] = worker
        self._free_workers.clear()

    def add(
        self, step: StepRun, reason: WaitReason = WaitReason.NO_ROOM
    ) -> None:
        """Record that a task of the step fits no worker."""
        recorded = self._unplaceable.setdefault(step.shape, [])
        recorded.append(_UnplaceableTask(step.spec, reason))

    def is_unplaceable(self, step: StepRun) -> bool:
        """Return whether a recorded task shows that the step fits nowhere."""
        return (
            _covering(self._unplaceable.get(step.shape, ()), step) is not None
        )

    def wait_reason(
        self, step: StepRun, view: PlacementContext
    ) -> WaitReason | None:
        """Return why a step fits no worker, None if that is unknown."""
        if self.is_unplaceable(step):
            return WaitReason.SHAPE_BLOCKED
        previous = _covering(self._previous.get(step.shape, ()), step)
        if previous is None or self._fits_changed_worker(step, view):
            return None
        self.add(step, previous.reason)
        return previous.reason

    def _fits_changed_worker(
        self, step: StepRun, view: PlacementContext
    ) -> bool:
        """Return whether a changed worker can take a task of the step."""
        spec = step.spec
        service = step.job.spec.policy.service
        held_ids = view.held_ids(step)
        return any(
            matches_constraints(worker, service, spec.required_label)
            and is_interference_acceptable(worker, spec, view)
            for worker in self._changed_free_workers(spec, view.now_ms)
            if worker.has_room(spec) and worker.worker_id not in held_ids
        )

    def _changed_free_workers(
        self, spec: StepSpec, now_ms: int
    ) -> Iterator[Worker]:
        """Yield the changed workers that may have enough processors left."""
        free_workers = self._free_workers.get(spec.fills_spare)
        if free_workers is None:
            free_workers = sorted(
                _free_workers(self._changed.values(), spec, now_ms),
                key=itemgetter(0),
                reverse=True,
            )
            self._free_workers[spec.fills_spare] = free_workers
        for processors, worker in free_workers:
            if processors < spec.resources.processors_milli:
                break
            yield worker


def _covering(
    recorded: Iterable[_UnplaceableTask], step: StepRun
) -> _UnplaceableTask | None:
    """Return a recorded task that needs no more than one of the step."""
    need = step.spec.resources
    for task in recorded:
        if task.spec.resources.fits_in(need):
            return task
    return None


def _condition(worker: Worker, now_ms: int) -> _Condition:
    return _Condition(
        worker,
        worker.registration,
        worker.state_version,
        now_ms < worker.best_effort_paused_until_ms,
    )


def _free_workers(
    workers: Iterable[Worker], spec: StepSpec, now_ms: int
) -> Iterator[_FreeWorker]:
    """Yield the processors that workers have left for such tasks.

    For best-effort tasks this is the headroom, for others what is unreserved.
    """
    if not spec.fills_spare:
        yield from ((free_milli(worker), worker) for worker in workers)
        return
    for worker in workers:
        if now_ms >= worker.best_effort_paused_until_ms:
            yield headroom(worker), worker
