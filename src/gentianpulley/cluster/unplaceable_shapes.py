"""What found no place, kept from plan to plan until a worker changes.

Answers the pattern of a full site: tens of steps wait that nobody has room
for, plans come every few milliseconds, and between two of them only a few
workers have changed. What found no place before is held against these alone.
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


_Offer = tuple[float, Worker]
"""What a worker has left at most, and the worker."""


class _Full(NamedTuple):
    """Tasks of this size found no place, and why."""

    spec: StepSpec
    reason: WaitReason


class _Condition(NamedTuple):
    """What bears on whether an open worker takes one more task."""

    worker: Worker
    facts: WorkerRegistration
    ledger_number: int
    is_resting: bool


class UnplaceableShapes:
    """What found no place; what needs as much finds none either.

    Room only shrinks within a plan, and a larger task harms no less. Between
    plans only workers whose condition has changed can have a place.
    """

    def __init__(self) -> None:
        """Take everything to find a place."""
        self._full: dict[Shape, list[_Full]] = {}
        self._former: dict[Shape, list[_Full]] = {}
        self._conditions: dict[str, _Condition] = {}
        self._changed: dict[str, Worker] = {}
        self._offers: dict[bool, list[_Offer]] = {}

    def begin_plan(self, view: PlacementContext) -> None:
        """Note which workers have changed since the plan before.

        What no step of that plan was held against is not known any more.
        """
        self._former = self._full
        self._full = {}
        conditions = {
            worker.worker_id: _condition(worker, view.now_ms)
            for worker in view.workers.workers
        }
        self._offers.clear()
        self._changed = {
            worker_id: condition.worker
            for worker_id, condition in conditions.items()
            if condition != self._conditions.get(worker_id)
        }
        self._conditions = conditions

    def mark_worker_changed(self, worker: Worker) -> None:
        """Note that a worker was given a task, and is weighed anew."""
        self._changed[worker.worker_id] = worker
        self._offers.clear()

    def add(
        self, step: StepRun, reason: WaitReason = WaitReason.NO_ROOM
    ) -> None:
        """Note that a task of the step found no place."""
        known = self._full.setdefault(step.shape, [])
        known.append(_Full(step.spec, reason))

    def is_unplaceable(self, step: StepRun) -> bool:
        """Return whether a task of the step can find no place either."""
        return _covering(self._full.get(step.shape, ()), step) is not None

    def wait_reason(
        self, step: StepRun, view: PlacementContext
    ) -> WaitReason | None:
        """Return why a step finds no place, None if that is not known."""
        if self.is_unplaceable(step):
            return WaitReason.SHAPE_BLOCKED
        former = _covering(self._former.get(step.shape, ()), step)
        if former is None or self._is_taken(step, view):
            return None
        self.add(step, former.reason)
        return former.reason

    def _is_taken(self, step: StepRun, view: PlacementContext) -> bool:
        """Return whether a worker that has changed takes a task of the step."""
        spec = step.spec
        service = step.job.spec.policy.service
        return any(
            matches_constraints(worker, service, spec.required_label)
            and is_interference_acceptable(worker, spec, view)
            for worker in self._offered(spec, view.now_ms)
            if worker.has_room(spec)
        )

    def _offered(self, spec: StepSpec, now_ms: int) -> Iterator[Worker]:
        """Yield the changed workers that may have processors to spare."""
        offers = self._offers.get(spec.fills_spare)
        if offers is None:
            offers = sorted(
                _offers(self._changed.values(), spec, now_ms),
                key=itemgetter(0),
                reverse=True,
            )
            self._offers[spec.fills_spare] = offers
        for processors, worker in offers:
            if processors < spec.resources.processors_milli:
                break
            yield worker


def _covering(known: Iterable[_Full], step: StepRun) -> _Full | None:
    """Return something that needs no more than a task of the step."""
    need = step.spec.resources
    for full in known:
        if full.spec.resources.fits_in(need):
            return full
    return None


def _condition(worker: Worker, now_ms: int) -> _Condition:
    return _Condition(
        worker,
        worker.registration,
        worker.state_version,
        now_ms < worker.best_effort_paused_until_ms,
    )


def _offers(
    workers: Iterable[Worker], spec: StepSpec, now_ms: int
) -> Iterator[_Offer]:
    """Yield what workers have left for tasks that fill, or that reserve."""
    if not spec.fills_spare:
        yield from ((free_milli(worker), worker) for worker in workers)
        return
    for worker in workers:
        if now_ms >= worker.best_effort_paused_until_ms:
            yield headroom(worker), worker
