"""Chooses a worker for a task.

Answers the pattern of few wide workers and many small tasks: load is spread,
data nearness and failed workers are costs, and tasks that live on spare
processors go where the others are expected to leave some.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from gentianpulley.cluster.harm import HarmModel
from gentianpulley.cluster.pacing import excess_after
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun, Task
from gentianpulley.jobs.spec import NO_LIMIT, StepSpec

ENDLESS_USE: Final = 0.6
"""Expected share of its processors that an endless task uses: their load
swings around a half."""

FAR_COST: Final = 2.0
"""Cost of a worker off the data's rack, in full loads of a worker."""

FAILED_COST: Final = 4.0
"""Cost of a worker on which the task has failed before."""

COLD_COST: Final = 1.0
"""Cost of a worker that has just started and is still slow."""

STRANGER_COST: Final = 0.3
"""Cost of each other image that serves on the worker."""

NEVER: Final = float('inf')

SUSPECT_COST: Final = 0.5
"""Cost of each failure in a row."""


@dataclass(frozen=True, slots=True)
class PlacingView:
    """What bears on placing besides the workers themselves."""

    closed_domains: frozenset[str]
    now_ms: int
    harm: HarmModel


def candidates(
    workers: Iterable[Worker], step: StepRun, view: PlacingView
) -> list[Worker]:
    """Return the workers that may be sent a task of the step at all."""
    spec = step.spec
    service = step.job.spec.policy.service
    return [
        worker
        for worker in workers
        if worker.facts.service == service
        and worker.accepts(view.now_ms)
        and worker.facts.failure_domain not in view.closed_domains
        and spec.required_label in {'', *worker.facts.labels}
    ]


def choose_worker(
    allowed: list[Worker], step: StepRun, task: Task, view: PlacingView
) -> Worker | None:
    """Return the cheapest worker with room, or None."""
    best: Worker | None = None
    best_cost = float('inf')
    for worker in allowed:
        if not _has_room(worker, step):
            continue
        cost = _cost(worker, step, task, view)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def spare_milli(worker: Worker) -> float:
    """Return the processors expected to be left by tasks that reserve."""
    busy = worker.processors - (1 - ENDLESS_USE) * worker.endless
    return worker.facts.capacity.processors_milli - busy


def _has_room(worker: Worker, step: StepRun) -> bool:
    spec = step.spec
    if not worker.has_room(spec):
        return False
    if spec.max_per_worker != NO_LIMIT:
        placed = step.per_worker.get(worker.worker_id, 0)
        if placed >= spec.max_per_worker:
            return False
    if not spec.fills_spare:
        return True
    need = spec.resources.processors_milli
    return not worker.filling or worker.filling + need <= spare_milli(worker)


def _cost(
    worker: Worker, step: StepRun, task: Task, view: PlacingView
) -> float:
    spec = step.spec
    cost = worker.failures_in_row * SUSPECT_COST
    if spec.data_rack and spec.data_rack not in worker.facts.labels:
        cost += FAR_COST
    if worker.worker_id in task.avoid:
        cost += FAILED_COST
    if view.now_ms < worker.cold_until_ms:
        cost += COLD_COST
    if spec.is_endless:
        return cost + _endless_cost(worker, spec)
    if spec.fills_spare:
        return cost + _filling_cost(worker, spec, view)
    return cost + _load(worker)


def _load(worker: Worker) -> float:
    capacity = max(1, worker.facts.capacity.processors_milli)
    return (capacity - spare_milli(worker) + worker.filling) / capacity


def _endless_cost(worker: Worker, spec: StepSpec) -> float:
    """Pack serving tasks of one image together.

    That leaves workers to filling tasks, and lets each image of these find
    serving tasks that it does not harm.
    """
    capacity = max(1, worker.facts.capacity.processors_milli)
    free = 1 - worker.processors / capacity
    images = worker.serving_images()
    strangers = len(images - {spec.image})
    return free + strangers * STRANGER_COST


def _filling_cost(worker: Worker, spec: StepSpec, view: PlacingView) -> float:
    """Keep away from serving tasks that the image is expected to harm."""
    need = spec.resources.processors_milli
    excess = excess_after(worker, view.harm, spec.image, need)
    if excess > 0:
        return NEVER
    return _load(worker)
