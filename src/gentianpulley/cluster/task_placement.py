"""Chooses a worker for a task.

Answers the pattern of few wide workers and many small tasks: load is spread,
data nearness and failed workers are costs, and tasks that live on spare
processors go where the others are expected to leave some.
"""

import heapq
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.advice import TicketCache
from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.interference_risk import is_interference_excessive
from gentianpulley.cluster.schedulable_workers import (
    SchedulableWorkers,
    IndexedWorker,
    spare_milli,
    with_free_capacity,
)
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun, Task
from gentianpulley.jobs.spec import NO_LIMIT, StepSpec

REMOTE_DATA_COST: Final = 2.0
"""Cost of a worker off the data's rack, in full loads of a worker."""

CROSS_RACK_COST: Final = 3.0
"""Cost of a worker off the rack of a step that should stay on one: dearer than
remote data, as it slows down every task of the step."""

SLOW_WORKER_COST: Final = 3.0
"""Cost of a worker whose runs are slow or stand still; dearer than one that is
full or far from the data."""

COLD_START_COST: Final = 1.0
"""Cost of a worker that has just started and is still slow."""

OTHER_IMAGE_COST: Final = 0.05
"""Cost of each other image that serves on the worker: to fill up a worker goes
first, as that leaves workers where nobody can be harmed."""

INTERFERENCE_COST: Final = 100.0
"""Cost of a worker where a filling task is expected to harm or to crowd."""

STARVATION_MS: Final = 1000
"""How long nothing of a job may run before one of its tasks goes to the least
bad worker, where it is paced; sites with room allow three seconds."""

BUSY_RESERVED_SHARE: Final = 0.6
"""Reserved share of the processors above which nobody has to be harmed: sites
ask that work starts while under half of the room is in use."""

FAILURE_COST: Final = 0.5
"""Cost of each failure in a row."""


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """What bears on placing besides the workers themselves.

    While the site is busy, filling tasks wait for a harmless place.
    """

    workers: SchedulableWorkers
    now_ms: int
    harm: InterferenceModel
    tickets: TicketCache
    is_busy: bool = False

    def ticket(self, step: StepRun, worker: Worker) -> str:
        """Return the ticket for a start, empty if none is needed or known."""
        if step.job.spec.policy.advice is None:
            return ''
        return self.tickets.ticket(step.step_id, worker, self.now_ms)


def eligible_workers(step: StepRun, view: PlacementContext) -> list[Worker]:
    """Return the workers that may be sent a task of the step now."""
    allowed = feasible_workers(step, view)
    if step.job.spec.policy.advice is None:
        return allowed
    return [worker for worker in allowed if view.ticket(step, worker)]


def feasible_workers(step: StepRun, view: PlacementContext) -> list[Worker]:
    """Return the workers that could run the step, with or without a ticket."""
    service = step.job.spec.policy.service
    return view.workers.matching(service, step.spec.required_label)


class RankedWorkers:
    """The workers for the equal tasks of one step, cheapest first.

    Costs are worked out once for the step, and again only for a worker that
    was given a task, so that a wide step costs little more than a narrow one.
    """

    def __init__(
        self, allowed: list[Worker], step: StepRun, view: PlacementContext
    ) -> None:
        """Work out the costs of all allowed workers."""
        self._step = step
        self._view = view
        self._is_starving = is_starving(step, view)
        self._rack = preferred_rack(step, allowed)
        self._heap: list[tuple[float, int, Worker]] = []
        self._taken: tuple[float, int, Worker] | None = None
        self._reasons: set[WaitReason] = set()
        offered: Iterable[IndexedWorker] = enumerate(allowed)
        if _must_spare(step) and not self._is_starving:
            offered = _fillable(step, view)
            self._reasons.add(WaitReason.INTERFERENCE)
        for place, worker in with_free_capacity(offered, step.spec):
            self._push(place, worker)

    @property
    def wait_reason(self) -> WaitReason:
        """Return why a task finds no place: what a worker with room lacks."""
        for reason in (WaitReason.INTERFERENCE, WaitReason.SPREAD):
            if reason in self._reasons:
                return reason
        return WaitReason.NO_ROOM

    def pop_best(self, task: Task) -> Worker | None:
        """Return the cheapest worker for a task, or None.

        The worker has to be charged before `reinsert` returns it.
        """
        passed = []
        found = None
        while self._heap:
            entry = heapq.heappop(self._heap)
            passed.append(entry)
            if entry[2].worker_id not in task.excluded_workers:
                found = entry
                break
        if found is None and passed:
            found = passed[0]
        self._taken = found
        for entry in passed:
            if entry is not found:
                heapq.heappush(self._heap, entry)
        return found[2] if found else None

    def reinsert(self) -> None:
        """Offer the worker taken last again, at its new cost."""
        overdue = self._step.overdue_restarts(self._view.now_ms)
        self._is_starving = bool(overdue)
        if self._taken is None:
            return
        _, place, worker = self._taken
        if worker.has_room(self._step.spec):
            self._push(place, worker)

    def _push(self, place: int, worker: Worker) -> None:
        """Offer a worker that has room, unless something else is against it."""
        if not is_below_worker_limit(worker, self._step):
            self._reasons.add(WaitReason.SPREAD)
            return
        harms_nobody = is_interference_acceptable(
            worker, self._step.spec, self._view
        )
        if harms_nobody or self._is_starving:
            cost = _cost(worker, self._step, self._view, self._rack)
            cost += 0 if harms_nobody else INTERFERENCE_COST
            heapq.heappush(self._heap, (cost, place, worker))
        else:
            self._reasons.add(WaitReason.INTERFERENCE)


def _must_spare(step: StepRun) -> bool:
    """Tell whether only spare processors decide where a step may go."""
    return step.spec.fills_spare and step.job.spec.policy.advice is None


def _fillable(step: StepRun, view: PlacementContext) -> Iterable[IndexedWorker]:
    spec = step.spec
    service = step.job.spec.policy.service
    need = spec.resources.processors_milli
    return view.workers.with_headroom(service, spec.required_label, need)


def preferred_rack(step: StepRun, allowed: list[Worker]) -> str:
    """Return the rack for a step that should stay on one, else no rack.

    It is where the step runs already; at first the data's rack if the step
    fits there, else the rack with the most room.
    """
    if not step.spec.same_rack:
        return ''
    rooms: Counter[str] = Counter()
    placed: Counter[str] = Counter()
    for worker in allowed:
        rack = worker.registration.rack
        rooms[rack] += worker.available_slots(step.spec)
        placed[rack] += step.tasks_per_worker.get(worker.worker_id, 0)
    if step.tasks_per_worker:
        return _largest(placed)
    if rooms[step.spec.data_rack] >= len(step.waiting):
        return step.spec.data_rack
    return _largest(rooms)


def _largest(counts: Counter[str]) -> str:
    return max(counts, key=lambda rack: counts[rack], default='')


def is_starving(step: StepRun, view: PlacementContext) -> bool:
    """Tell whether a step has waited too long to be choosy.

    An overdue endless task has, whatever else of its job runs and however busy
    the site is; other work waits as a job.
    """
    if step.overdue_restarts(view.now_ms):
        return True
    idle_ms = step.job.idle_ms(view.now_ms)
    return idle_ms > STARVATION_MS and not view.is_busy


def is_busy(workers: Iterable[Worker]) -> bool:
    """Tell whether most processors of the workers are reserved."""
    reserved = 0
    capacity = 0
    for worker in workers:
        reserved += worker.reserved_processors_milli
        capacity += worker.registration.capacity.processors_milli
    return reserved > BUSY_RESERVED_SHARE * capacity


def may_place(worker: Worker, step: StepRun) -> bool:
    """Tell whether the worker has the declared room, and the step a place."""
    return is_below_worker_limit(worker, step) and worker.has_room(step.spec)


def is_below_worker_limit(worker: Worker, step: StepRun) -> bool:
    """Tell whether the step's bound for each worker allows one more task."""
    limit = step.spec.max_per_worker
    if limit == NO_LIMIT:
        return True
    return step.tasks_per_worker.get(worker.worker_id, 0) < limit


def is_interference_acceptable(
    worker: Worker, spec: StepSpec, view: PlacementContext
) -> bool:
    """Tell whether a filling task finds spare processors and harms nobody."""
    if not spec.fills_spare:
        return True
    if view.now_ms < worker.best_effort_paused_until_ms:
        return False
    need = spec.resources.processors_milli
    is_crowded = worker.best_effort_milli + need > spare_milli(worker)
    if worker.best_effort_milli and is_crowded:
        return False
    return not is_interference_excessive(worker, view.harm, spec.image, need)


def _cost(
    worker: Worker, step: StepRun, view: PlacementContext, rack: str
) -> float:
    spec = step.spec
    cost = worker.consecutive_failures * FAILURE_COST
    if spec.data_rack and spec.data_rack not in worker.registration.labels:
        cost += REMOTE_DATA_COST
    if view.now_ms < worker.cold_until_ms:
        cost += COLD_START_COST
    if view.now_ms < worker.suspect_until_ms:
        cost += SLOW_WORKER_COST
    if rack and worker.registration.rack != rack:
        cost += CROSS_RACK_COST
    if spec.is_endless:
        return cost + _endless_cost(worker, spec)
    return cost + _load(worker)


def _load(worker: Worker) -> float:
    capacity = max(1, worker.registration.capacity.processors_milli)
    return (
        capacity - spare_milli(worker) + worker.best_effort_milli
    ) / capacity


def _endless_cost(worker: Worker, spec: StepSpec) -> float:
    """Pack serving tasks densely, of one image together where it fits.

    That leaves workers on which filling tasks harm nobody.
    """
    capacity = max(1, worker.registration.capacity.processors_milli)
    free = 1 - worker.reserved_processors_milli / capacity
    images = worker.serving_images()
    strangers = len(images - {spec.image})
    return free + strangers * OTHER_IMAGE_COST
