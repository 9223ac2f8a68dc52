"""Drains workers before their machines go down: what is stopped, what may end.

These are the scheduler's rules for maintenance. Long-running tasks are stopped
only while few enough other tasks of their step are unavailable, or may be.
"""

from collections.abc import Collection

from gentianpulley.cluster.worker_protocol import StopOrder
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.maintenance import Drain
from gentianpulley.cluster.worker import FULL_PERCENT, Reservation, Worker
from gentianpulley.jobs.job import StepRun, Task, TaskPhase


def drain_workers(
    state: SchedulerState, drains: Collection[Drain], now_ms: int
) -> list[StopOrder]:
    """Mark these workers as leaving; returns stops of runs that have to go.

    A leaving worker gets no new runs. Every other worker may get runs again.
    """
    mark_leaving(state, drains)
    orders: list[StopOrder] = []
    for drain in drains:
        worker = state.workers.get(drain.worker_id)
        if worker is not None:
            orders.extend(_drain(state, worker, drain.deadline_ms - now_ms))
    return orders


def mark_leaving(state: SchedulerState, drains: Collection[Drain]) -> None:
    """Mark the workers of these drains as leaving, and no others."""
    leaving_ids = {drain.worker_id for drain in drains}
    for worker in state.workers.values():
        worker.is_leaving = worker.worker_id in leaving_ids


def is_drained(state: SchedulerState, drain: Drain, now_ms: int) -> bool:
    """Return whether a worker may go: no runs, or its deadline has passed.

    A long-running task blocks this as long as too many other tasks of its step
    are unavailable. So does a worker that an earlier leader used and that has
    not listed its runs to this one, until they are over.
    """
    if now_ms <= state.unseen_runs_until_ms.get(drain.worker_id, 0):
        return False
    worker = state.workers.get(drain.worker_id)
    if worker is None or not worker.reservations:
        return True
    if now_ms < drain.deadline_ms:
        return False
    return not any(
        _blocks_shutdown(state, reservation)
        for reservation in worker.reservations.values()
    )


def should_stop(
    reservation: Reservation,
    step: StepRun,
    workers: dict[str, Worker],
    left_ms: int,
) -> bool:
    """Return whether a run is stopped now, `left_ms` before the deadline.

    Batch work that cannot end in time is stopped only if it checkpoints its
    progress; other batch work may run until the worker goes.
    """
    if reservation.is_stopping:
        return False
    if reservation.spec.is_endless:
        return may_stop_serving(reservation, step, workers)
    return (
        reservation.spec.checkpoints and reservation.spec.estimated_ms > left_ms
    )


def may_stop_serving(
    reservation: Reservation, step: StepRun, workers: dict[str, Worker]
) -> bool:
    """Return whether few enough other tasks are unavailable to stop this one.

    A step without a limit allows any number of stops.
    """
    if not reservation.spec.max_away:
        return True
    others = [
        task for task in step.tasks if task.task_id != reservation.key.task_id
    ]
    unavailable = sum(1 for task in others if not _is_running(task, workers))
    return unavailable < reservation.spec.max_away


def _drain(
    state: SchedulerState, worker: Worker, left_ms: int
) -> list[StopOrder]:
    orders = []
    for reservation in worker.reservations.values():
        step = state.step_of(reservation.key.task_id)
        if step and should_stop(reservation, step, state.workers, left_ms):
            reservation.is_stopping = True
            orders.append(StopOrder(worker.worker_id, reservation.key))
    return orders


def _blocks_shutdown(state: SchedulerState, reservation: Reservation) -> bool:
    """Return whether a run blocks the shutdown of its worker now."""
    step = state.step_of(reservation.key.task_id)
    if (
        step is None
        or reservation.is_stopping
        or not reservation.spec.is_endless
    ):
        return False
    return not may_stop_serving(reservation, step, state.workers)


def _is_running(task: Task, workers: dict[str, Worker]) -> bool:
    """Return whether a task is at work on a worker that answers.

    One on a worker that does not is restarted elsewhere once its lease has
    expired, so this does not delay maintenance for good.
    """
    if task.phase is not TaskPhase.PLACED:
        return False
    worker = workers.get(task.worker_id)
    if worker is None or not _answers(worker):
        return False
    return any(
        reservation.progress_percent >= FULL_PERCENT
        and not reservation.is_stopping
        for reservation in worker.reservations_of(task.task_id)
    )


def _answers(worker: Worker) -> bool:
    """Return whether a worker answers, as far as is known.

    One that has left the directory may be dead until it answers again; its poll
    fails only seconds later.
    """
    if worker.unresponsive_since_ms:
        return False
    return worker.is_registered or (
        worker.last_contact_ms > worker.deregistered_ms
    )
