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
    safe_workers = _SafeWorkers(view)
    for worker, reservation, step in _throttled(state, usage, view.now_ms):
        if not view.is_busy:
            target_id = safe_workers.first_id(
                step, reserved_ids | {worker.worker_id}
            )
            if not target_id:
                continue
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


class _SafeWorkers:
    """The workers on which steps cause no excessive interference.

    Nothing is placed during a search, so tasks that need the same share one
    pass over the workers. After the loss of many workers, 800 throttled tasks
    that each looked at all others took 0.5 s of a plan.
    """

    def __init__(self, view: PlacementContext) -> None:
        """Search among the workers of a plan."""
        self._view = view
        self._found: dict[object, list[str]] = {}

    def first_id(self, step: StepRun, excluded: set[str]) -> str:
        """Return the id of a worker for the step, or an empty text."""
        key = _search_key(step)
        worker_ids = self._found.get(key)
        if worker_ids is None:
            worker_ids = list(self._search(step))
            self._found[key] = worker_ids
        return next((each for each in worker_ids if each not in excluded), '')

    def _search(self, step: StepRun) -> Iterator[str]:
        for worker in eligible_workers(step, self._view):
            if not may_place(worker, step, self._view):
                continue
            if is_interference_acceptable(worker, step.spec, self._view):
                yield worker.worker_id


def _search_key(step: StepRun) -> object:
    """Return what decides which workers suit a best-effort step.

    Tickets and the limit per worker are those of the step itself.
    """
    is_bound = step.spec.max_per_worker or step.job.spec.policy.advice
    if is_bound:
        return step.step_id
    return step.shape, step.spec.resources
