"""Migrates best-effort tasks away from workers where they are throttled.

Handles a loaded cluster on which the interference between images changes
within seconds. A throttled best-effort task holds capacity that one without
interference could use, and delays its whole job. A stop keeps the progress of
a task that checkpoints, so migrating it costs only a short restart.
"""

from collections.abc import Iterator
from typing import Final

from gentianpulley.cluster.customer_usage import CustomerUsage
from gentianpulley.cluster.worker_protocol import StopOrder
from gentianpulley.cluster.task_placement import (
    PlacementContext,
    eligible_workers,
    is_interference_acceptable,
    may_place,
)
from gentianpulley.cluster.scheduler_state import SchedulerState
from gentianpulley.cluster.worker import Reservation, Worker
from gentianpulley.jobs.job import StepRun

MIGRATE_AFTER_MS: Final = 500
"""Time for which a task must be throttled below the low-speed limit before it
migrates. Reports lag by as much."""

RESTORE_TIME_FACTOR: Final = 2
"""Multiple of the restore time added to the wait before a task migrates, so
that a migration costs less than it may save."""


def plan_migrations(
    state: SchedulerState, view: PlacementContext, usage: CustomerUsage
) -> list[StopOrder]:
    """Return the stops of tasks that run better elsewhere.

    On a busy cluster they are stopped and wait to be placed in the order of all
    steps. Otherwise they stay until a worker without excessive interference has
    free capacity. Tasks of a customer above its ceiling stay as well, as they
    could not start again.
    """
    orders: list[StopOrder] = []
    reserved_ids: set[str] = set()
    for worker, reservation, step in _throttled(state, usage, view.now_ms):
        target_id = _find_safe_worker(
            reserved_ids | {worker.worker_id}, step, view
        )
        if target_id or view.is_busy:
            reserved_ids.add(target_id)
            reservation.is_stopping = True
            state.log.run_moved(
                reservation.key,
                worker.worker_id,
                reservation.target_speed_percent,
                view.now_ms - reservation.throttled_since_ms,
            )
            orders.append(StopOrder(worker.worker_id, reservation.key))
    return orders


def _throttled(
    state: SchedulerState, usage: CustomerUsage, now_ms: int
) -> Iterator[tuple[Worker, Reservation, StepRun]]:
    """Yield the tasks that have been throttled for long enough."""
    restoring_ms = RESTORE_TIME_FACTOR * state.term.timing.restore_ms
    wait_ms = MIGRATE_AFTER_MS + restoring_ms
    for worker in state.workers.values():
        for reservation in worker.reservations.values():
            if not _should_migrate(reservation, now_ms, wait_ms):
                continue
            step = _step_to_move(reservation, state, usage)
            if step is not None:
                yield worker, reservation, step


def _step_to_move(
    reservation: Reservation, state: SchedulerState, usage: CustomerUsage
) -> StepRun | None:
    """Return the step of a run, None if its task could not start again."""
    if usage.exceeds_ceiling(reservation.customer):
        return None
    return state.step_of(reservation.key.task_id)


def _should_migrate(
    reservation: Reservation, now_ms: int, wait_ms: int
) -> bool:
    if not reservation.spec.fills_spare or not reservation.spec.checkpoints:
        return False
    if reservation.is_stopping or not reservation.throttled_since_ms:
        return False
    return now_ms - reservation.throttled_since_ms > wait_ms


def _find_safe_worker(
    excluded: set[str], step: StepRun, view: PlacementContext
) -> str:
    """Return the id of another worker for the step, or an empty text.

    On that worker the step may cause no excessive interference.
    """
    for worker in eligible_workers(step, view):
        if worker.worker_id in excluded or not may_place(worker, step, view):
            continue
        if is_interference_acceptable(worker, step.spec, view):
            return worker.worker_id
    return ''
