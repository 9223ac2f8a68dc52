"""Where a task is tried again that may have crashed a worker."""

import heapq

from gentianpulley.cluster.worker import Worker, has_fresh_run
from gentianpulley.jobs.job import StepRun, Task

RankedWorker = tuple[float, int, Worker]
"""A worker's cost, its index among those that match a step, and the worker."""


def pop_trial_worker(
    heap: list[RankedWorker], step: StepRun, task: Task, now_ms: int
) -> RankedWorker | None:
    """Remove the worker for a trial from the heap; None if there is none.

    Whatever runs there is lost if the task crashes it, and what has just begun
    is suspect as well.
    """
    suitable = [
        ranked for ranked in heap if not has_other_trial(ranked[2], step)
    ]
    if not suitable:
        return None
    _, best = min(
        (_trial_cost(ranked, task, now_ms), ranked) for ranked in suitable
    )
    heap.remove(best)
    heapq.heapify(heap)
    return best


def has_other_trial(worker: Worker, step: StepRun) -> bool:
    """Return whether a suspect runs there that is not of the same gang."""
    if not step.spec.is_gang:
        return bool(worker.trial_runs)
    job_id = step.job.spec.job_id
    return any(
        (key.task_id.job_id, key.task_id.occurrence, key.task_id.step)
        != (job_id, step.occurrence, step.number)
        for key in worker.trial_runs
    )


def _trial_cost(
    ranked: RankedWorker, task: Task, now_ms: int
) -> tuple[bool, bool, int, int]:
    """Return what speaks against a worker, the gravest first."""
    _, index, worker = ranked
    return (
        worker.worker_id in task.excluded_workers,
        has_fresh_run(worker, now_ms),
        worker.reserved_processors_milli,
        index,
    )
