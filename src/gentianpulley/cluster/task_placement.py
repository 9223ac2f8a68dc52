"""Chooses a worker for a task.

Handles few large workers and many small tasks. Load is spread, remote data
and failed workers add to the cost, and best-effort tasks, which run on idle
processors, go where the other tasks are expected to leave some idle.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from typing import Final

from gentianpulley.cluster.advice import TicketCache
from gentianpulley.cluster.capacity_holds import (
    CapacityHolds,
    HoldableWorkers,
)
from gentianpulley.cluster.image_separation import ImageSeparation
from gentianpulley.cluster.interference import InterferenceModel
from gentianpulley.cluster.interference_risk import (
    expected_violations,
    is_interference_excessive,
)
from gentianpulley.cluster.schedulable_workers import (
    SchedulableWorkers,
    IndexedWorker,
    spare_milli,
    with_free_capacity,
)
from gentianpulley.cluster.trial_placement import (
    has_other_trial,
    pop_trial_worker,
)
from gentianpulley.cluster.wait_reasons import WaitReason
from gentianpulley.cluster.worker import Worker, has_fresh_trial
from gentianpulley.jobs.job import StepRun, Task
from gentianpulley.jobs.spec import NO_LIMIT, StepSpec

REMOTE_DATA_COST: Final = 2.0
"""Cost of a worker outside the data's rack. The unit of all costs is the load
of one fully used worker."""

CROSS_RACK_COST: Final = 3.0
"""Cost of a worker outside the rack of a step that should stay on one rack.
It exceeds the cost of remote data, as it slows down every task of the step."""

SLOW_WORKER_COST: Final = 3.0
"""Cost of a straggler, a worker whose runs are slow or stalled. It exceeds the
cost of a worker that is full or far from the data."""

COLD_START_COST: Final = 1.0
"""Cost of a worker that has just started and is still slow (cold)."""

INTERFERENCE_COST: Final = 100.0
"""Cost of a worker where a best-effort task is expected to interfere with
latency-critical tasks or to crowd other best-effort tasks."""

STARVATION_MS: Final = 1000
"""Time without any running task of a job after which one of its tasks goes to
the least bad worker, where it is throttled. Clusters with free capacity allow
three seconds."""

BUSY_RESERVED_SHARE: Final = 0.6
"""Reserved fraction of the processors above which the cluster counts as busy
and interference need not be accepted. Clusters require that work starts while
less than half of the capacity is in use."""

QUARANTINE_COST: Final = 1000.0
"""Cost of a quarantined worker, which only starving steps take. It exceeds the
cost of interference, as a task may fail there."""

FAILURE_COST: Final = 0.5
"""Cost of each consecutive failure."""


@dataclass(frozen=True, slots=True)
class PlacementContext:
    """The inputs of placement decisions.

    While the cluster is busy, best-effort tasks wait for a worker on which
    they cause no excessive interference.
    """

    workers: SchedulableWorkers
    now_ms: int
    harm: InterferenceModel
    tickets: TicketCache
    is_busy: bool = False
    holds: CapacityHolds = field(default_factory=CapacityHolds)
    separation: ImageSeparation = field(default_factory=ImageSeparation)

    def held_ids(self, step: StepRun) -> Collection[str]:
        """Return the workers that are held for overdue restarts of others.

        Any overdue restart may use what is free on a held worker.
        """
        if step.overdue_restarts(self.now_ms):
            return ()
        return self.holds.worker_ids

    def ticket(self, step: StepRun, worker: Worker) -> str:
        """Return the ticket for a start, empty if none is needed or cached."""
        if step.job.spec.policy.advice is None:
            return ''
        return self.tickets.ticket(step.step_id, worker, self.now_ms)


def eligible_workers(step: StepRun, view: PlacementContext) -> list[Worker]:
    """Return the workers to which a task of the step may be sent now."""
    return _with_tickets(feasible_workers(step, view), step, view)


def placeable_workers(step: StepRun, view: PlacementContext) -> list[Worker]:
    """Return the eligible workers, and quarantined ones for a starving step.

    No other worker may have its label or capacity for as long as failures
    prolong the quarantine.
    """
    allowed = feasible_workers(step, view)
    if is_starving(step, view):
        allowed = allowed + view.workers.quarantined(
            step.job.spec.policy.service, step.spec.required_label
        )
    return _with_tickets(allowed, step, view)


def _with_tickets(
    workers: list[Worker], step: StepRun, view: PlacementContext
) -> list[Worker]:
    """Return the workers for which the step needs or has a ticket."""
    if step.job.spec.policy.advice is None:
        return workers
    return [worker for worker in workers if view.ticket(step, worker)]


def feasible_workers(step: StepRun, view: PlacementContext) -> list[Worker]:
    """Return the workers that could run the step, with or without a ticket."""
    service = step.job.spec.policy.service
    return view.workers.matching(service, step.spec.required_label)


class PlaceableWorkers(HoldableWorkers):
    """The workers that may be held, from the inputs of one plan."""

    def __init__(self, view: PlacementContext) -> None:
        """Use the workers of a plan."""
        self._view = view

    @property
    def count(self) -> int:
        """Return how many workers accept runs."""
        return len(self._view.workers.workers)

    def for_step(self, step: StepRun) -> list[Worker]:
        """Return the workers for a task of a step, whatever is free there."""
        return [
            worker
            for worker in placeable_workers(step, self._view)
            if is_below_worker_limit(worker, step)
        ]

    def is_usable(self, worker: Worker, step: StepRun) -> bool:
        """Return whether a task of a step may still be sent to a worker."""
        is_open = self._view.workers.includes(worker)
        return is_open and is_below_worker_limit(worker, step)


class RankedWorkers:
    """The workers for the identical tasks of one step, cheapest first.

    Costs are computed once for the step, and again only for a worker that got
    a task, so that a wide step takes little more time than a narrow one.
    """

    def __init__(
        self, allowed: list[Worker], step: StepRun, view: PlacementContext
    ) -> None:
        """Compute the costs of all allowed workers."""
        self._step = step
        self._view = view
        self._is_starving = is_starving(step, view)
        self._held_ids = view.held_ids(step)
        self._rack = preferred_rack(step, allowed)
        self._heap: list[tuple[float, int, Worker]] = []
        self._last_popped: tuple[float, int, Worker] | None = None
        self._reasons: set[WaitReason] = set()
        candidates: Iterable[IndexedWorker] = enumerate(allowed)
        if _needs_idle_capacity(step) and not self._is_starving:
            candidates = _workers_with_headroom(step, view)
            self._reasons.add(WaitReason.INTERFERENCE)
        for index, worker in with_free_capacity(candidates, step.spec):
            self._push(index, worker)

    @property
    def wait_reason(self) -> WaitReason:
        """Return why no worker with free capacity accepts a task."""
        for reason in (
            WaitReason.TRIAL,
            WaitReason.INTERFERENCE,
            WaitReason.SPREAD,
        ):
            if reason in self._reasons:
                return reason
        return WaitReason.NO_ROOM

    def pop_best(self, task: Task) -> Worker | None:
        """Return the cheapest worker for a task, or None.

        Add the reservation to the worker before calling `reinsert`.
        """
        if self._step.crashes_of(task):
            return self._pop_for_trial(task)
        popped = []
        found = None
        while self._heap:
            entry = heapq.heappop(self._heap)
            popped.append(entry)
            if entry[2].worker_id not in task.excluded_workers:
                found = entry
                break
        if found is None and popped:
            found = popped[0]
        self._last_popped = found
        for entry in popped:
            if entry is not found:
                heapq.heappush(self._heap, entry)
        return found[2] if found else None

    def reinsert(self) -> None:
        """Put the last popped worker back, at its new cost."""
        overdue = self._step.overdue_restarts(self._view.now_ms)
        self._is_starving = bool(overdue)
        if self._last_popped is None:
            return
        _, index, worker = self._last_popped
        if worker.has_room(self._step.spec):
            self._push(index, worker)

    def _pop_for_trial(self, task: Task) -> Worker | None:
        """Return the worker for a task that may have crashed one, or None."""
        self._last_popped = pop_trial_worker(
            self._heap, self._step, task, self._view.now_ms
        )
        if self._last_popped is None:
            self._reasons.add(WaitReason.TRIAL)
            return None
        return self._last_popped[2]

    def _is_in_trial(self, worker: Worker) -> bool:
        """Return whether a run has begun there that may crash the worker."""
        return has_fresh_trial(worker, self._view.now_ms) and has_other_trial(
            worker, self._step
        )

    def _push(self, index: int, worker: Worker) -> None:
        """Add a worker with free capacity unless another rule excludes it."""
        if self._held_ids and worker.worker_id in self._held_ids:
            return
        if worker.trial_runs and self._is_in_trial(worker):
            self._reasons.add(WaitReason.TRIAL)
            return
        if not is_below_worker_limit(worker, self._step):
            self._reasons.add(WaitReason.SPREAD)
            return
        is_acceptable = is_interference_acceptable(
            worker, self._step.spec, self._view
        )
        if is_acceptable or self._is_starving:
            cost = _cost(worker, self._step, self._view, self._rack)
            cost += 0 if is_acceptable else INTERFERENCE_COST
            heapq.heappush(self._heap, (cost, index, worker))
        else:
            self._reasons.add(WaitReason.INTERFERENCE)


def _needs_idle_capacity(step: StepRun) -> bool:
    """Return whether only idle processors decide where a step may run."""
    return step.spec.fills_spare and step.job.spec.policy.advice is None


def _workers_with_headroom(
    step: StepRun, view: PlacementContext
) -> Iterable[IndexedWorker]:
    spec = step.spec
    service = step.job.spec.policy.service
    need = spec.resources.processors_milli
    return view.workers.with_headroom(service, spec.required_label, need)


def preferred_rack(step: StepRun, allowed: list[Worker]) -> str:
    """Return the rack for a step that should stay on one, else ''.

    This is the rack where most of the step's tasks run. If none run, it is the
    data's rack if the step fits there, else the rack with most free capacity.
    """
    if not step.spec.same_rack:
        return ''
    free_slots: Counter[str] = Counter()
    tasks_per_rack: Counter[str] = Counter()
    for worker in allowed:
        rack = worker.registration.rack
        free_slots[rack] += worker.available_slots(step.spec)
        tasks_per_rack[rack] += step.tasks_per_worker.get(worker.worker_id, 0)
    if step.tasks_per_worker:
        return _largest(tasks_per_rack)
    if free_slots[step.spec.data_rack] >= len(step.waiting):
        return step.spec.data_rack
    return _largest(free_slots)


def _largest(counts: Counter[str]) -> str:
    return max(counts, key=lambda rack: counts[rack], default='')


def is_starving(step: StepRun, view: PlacementContext) -> bool:
    """Return whether a step has waited so long that it takes any worker.

    This is so if the restart of a long-running task is overdue, whatever else
    of its job runs and however busy the cluster is. For other work, the time
    counts for which the whole job has had no running task, and only while the
    cluster is not busy.
    """
    if step.overdue_restarts(view.now_ms):
        return True
    idle_ms = step.job.idle_ms(view.now_ms)
    return idle_ms > STARVATION_MS and not view.is_busy


def is_busy(workers: Iterable[Worker]) -> bool:
    """Return whether most processors of the workers are reserved."""
    reserved = 0
    capacity = 0
    for worker in workers:
        reserved += worker.reserved_processors_milli
        capacity += worker.registration.capacity.processors_milli
    return reserved > BUSY_RESERVED_SHARE * capacity


def may_place(worker: Worker, step: StepRun, view: PlacementContext) -> bool:
    """Return whether a task fits the worker and the step's worker limit.

    The worker must not be held for another step.
    """
    if worker.worker_id in view.held_ids(step):
        return False
    return is_below_worker_limit(worker, step) and worker.has_room(step.spec)


def is_below_worker_limit(worker: Worker, step: StepRun) -> bool:
    """Return whether the step's limit per worker allows one more task."""
    limit = step.spec.max_per_worker
    if limit == NO_LIMIT:
        return True
    return step.tasks_per_worker.get(worker.worker_id, 0) < limit


def is_interference_acceptable(
    worker: Worker, spec: StepSpec, view: PlacementContext
) -> bool:
    """Return whether a task may run here as far as interference goes.

    A best-effort task needs idle processors and must not interfere too much
    with the latency-critical tasks of the worker.
    """
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
    if view.now_ms < worker.quarantined_until_ms:
        cost += QUARANTINE_COST
    if rack and worker.registration.rack != rack:
        cost += CROSS_RACK_COST
    separation = view.separation.decision(step.job.spec.policy.service)
    if spec.is_endless:
        other_image_cost = separation.other_image_cost
        return cost + _packing_cost(worker, spec, other_image_cost)
    cost += _load(worker)
    if spec.fills_spare and separation.violation_cost:
        need = spec.resources.processors_milli
        added = expected_violations(worker, spec.image, need)
        cost += separation.violation_cost * added
    return cost


def _load(worker: Worker) -> float:
    capacity = max(1, worker.registration.capacity.processors_milli)
    return (
        capacity - spare_milli(worker) + worker.best_effort_milli
    ) / capacity


def _packing_cost(
    worker: Worker, spec: StepSpec, other_image_cost: float
) -> float:
    """Return a cost that packs latency-critical tasks densely.

    Tasks of one image go together where they fit. This leaves workers on
    which best-effort tasks interfere with no other task.
    """
    capacity = max(1, worker.registration.capacity.processors_milli)
    free = 1 - worker.reserved_processors_milli / capacity
    images = worker.serving_images
    other_images = len(images) - (spec.image in images)
    return free + other_images * other_image_cost
