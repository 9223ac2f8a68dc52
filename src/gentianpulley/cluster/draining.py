"""Clearing a worker that is about to go: what is stopped, and what may end.

Rules of the scheduler for workers whose machines go down for upkeep. Tasks
that serve are stopped only while few enough others of their step are away.
"""

from collections.abc import Iterable

from gentianpulley.cluster.worker_protocol import StopOrder
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.maintenance import Drain
from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker
from gentianpulley.jobs.job import StepRun, Task, TaskPhase


def drain_workers(
    state: SchedulerState, drains: Iterable[Drain], now_ms: int
) -> list[StopOrder]:
    """Send these workers nothing more, and stop what has to go.

    Every other worker may be sent runs again.
    """
    until = {each.worker_id: each.deadline_ms for each in drains}
    orders: list[StopOrder] = []
    for worker in state.workers.values():
        worker.is_leaving = worker.worker_id in until
        if worker.is_leaving:
            left_ms = until[worker.worker_id] - now_ms
            orders.extend(_clear(state, worker, left_ms))
    return orders


def is_drained(state: SchedulerState, drain: Drain, now_ms: int) -> bool:
    """Tell whether a worker may go: nothing runs, or its time is over.

    Tasks that serve forbid it as long as too many of their step are away.
    """
    worker = state.workers.get(drain.worker_id)
    if worker is None or not worker.reservations:
        return True
    if now_ms < drain.deadline_ms:
        return False
    return not any(
        _is_protected(state, charge) for charge in worker.reservations.values()
    )


def should_stop(
    charge: Reservation, step: StepRun, workers: dict[str, Worker], left_ms: int
) -> bool:
    """Tell whether a run is stopped now, with so much time left for it.

    Batch work that cannot end in time is stopped only if it keeps what it has
    done; other batch work may go on until the worker goes.
    """
    if charge.is_stopping:
        return False
    if charge.spec.is_endless:
        return may_stop_serving(charge, step, workers)
    return charge.spec.checkpoints and charge.spec.estimated_ms > left_ms


def may_stop_serving(
    charge: Reservation, step: StepRun, workers: dict[str, Worker]
) -> bool:
    """Tell whether a task that serves may go, as few enough others are away.

    A step without a bound lets any number go.
    """
    if not charge.spec.max_away:
        return True
    others = [task for task in step.tasks if task.task_id != charge.key.task_id]
    away = sum(1 for task in others if not _is_at_work(task, workers))
    return away < charge.spec.max_away


def _clear(
    state: SchedulerState, worker: Worker, left_ms: int
) -> list[StopOrder]:
    orders = []
    for charge in worker.reservations.values():
        step = state.step_of(charge.key.task_id)
        if step and should_stop(charge, step, state.workers, left_ms):
            charge.is_stopping = True
            orders.append(StopOrder(worker.worker_id, charge.key))
    return orders


def _is_protected(state: SchedulerState, charge: Reservation) -> bool:
    """Tell whether a run forbids that its worker goes now."""
    step = state.step_of(charge.key.task_id)
    if step is None or charge.is_stopping or not charge.spec.is_endless:
        return False
    return not may_stop_serving(charge, step, state.workers)


def _is_at_work(task: Task, workers: dict[str, Worker]) -> bool:
    if task.phase is not TaskPhase.PLACED:
        return False
    worker = workers.get(task.worker_id)
    if worker is None:
        return False
    return any(
        charge.progress_percent >= FULL_PERCENT and not charge.is_stopping
        for charge in worker.reservations_of(task.task_id)
    )
