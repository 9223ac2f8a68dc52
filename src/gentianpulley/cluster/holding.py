"""Keeps a worker for an overdue endless task that finds no place.

Answers the pattern of a full site on which places come free one by one: each
would do for a short task, so that none grows large enough for a task that needs
several of them. Nothing is stopped for its sake; what runs there may end.
"""

from collections.abc import Iterable
from dataclasses import replace

from gentianpulley.cluster.placing import PlacingView, candidates
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.job import StepRun
from gentianpulley.jobs.spec import NO_LIMIT, StepSpec
from gentianpulley.resources import Resources


def worker_to_hold(
    workers: Iterable[Worker], step: StepRun, view: PlacingView
) -> Worker | None:
    """Return the worker where room comes soonest, None if nowhere.

    The roomiest one stays the roomiest while it is held.
    """
    fitting = [
        worker
        for worker in candidates(workers, step, view)
        if _could_hold(worker, step)
    ]
    return max(fitting, key=_free_milli, default=None)


def _could_hold(worker: Worker, step: StepRun) -> bool:
    """Tell whether a task fits once all work that ends has ended."""
    spec = step.spec
    placed = step.per_worker.get(worker.worker_id, 0)
    if spec.max_per_worker != NO_LIMIT and placed >= spec.max_per_worker:
        return False
    needed = _reserved(spec)
    for charge in worker.charges.values():
        if charge.spec.is_endless:
            needed = needed.plus(_reserved(charge.spec))
    return needed.fits_in(worker.facts.capacity)


def _reserved(spec: StepSpec) -> Resources:
    """Return what a task of the step takes of a worker's declared room."""
    if spec.fills_spare:
        return replace(spec.resources, processors_milli=0)
    return spec.resources


def _free_milli(worker: Worker) -> int:
    return worker.facts.capacity.processors_milli - worker.processors
