"""Moves filling tasks away from places where they are slowed down.

Answers the pattern of a loaded site on which harm between images changes
within seconds: a filling task that is paced down holds a place that a
harmless one could use, and delays its whole job. A stop keeps the progress of
a task that checkpoints, so to move it costs a short restart.
"""

from collections.abc import Iterator
from typing import Final

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
"""How long a task is paced that low before it moves; reports lag as long."""

RESTORE_TIME_FACTOR: Final = 2
"""How many times the time to resume is waited before a task moves, so that a
move costs less than what it may spare."""


def plan_migrations(
    state: SchedulerState, view: PlacementContext
) -> list[StopOrder]:
    """Return the stops of tasks that are better off elsewhere.

    On a busy site they wait for a place in the order of all steps; on another
    one they stay until a harmless place is free.
    """
    orders: list[StopOrder] = []
    taken: set[str] = set()
    for worker, charge, step in _slowed(state, view.now_ms):
        place = _harmless_place(taken | {worker.worker_id}, step, view)
        if place or view.is_busy:
            taken.add(place)
            charge.is_stopping = True
            state.log.run_moved(charge.key, worker.worker_id)
            orders.append(StopOrder(worker.worker_id, charge.key))
    return orders


def _slowed(
    state: SchedulerState, now_ms: int
) -> Iterator[tuple[Worker, Reservation, StepRun]]:
    """Yield the tasks that have been slowed down for long enough."""
    restoring_ms = RESTORE_TIME_FACTOR * state.term.timing.restore_ms
    wait_ms = MIGRATE_AFTER_MS + restoring_ms
    for worker in state.workers.values():
        for charge in worker.reservations.values():
            if not _has_to_move(charge, now_ms, wait_ms):
                continue
            step = state.step_of(charge.key.task_id)
            if step is not None:
                yield worker, charge, step


def _has_to_move(charge: Reservation, now_ms: int, wait_ms: int) -> bool:
    if not charge.spec.fills_spare or not charge.spec.checkpoints:
        return False
    if charge.is_stopping or not charge.throttled_since_ms:
        return False
    return now_ms - charge.throttled_since_ms > wait_ms


def _harmless_place(
    excluded: set[str], step: StepRun, view: PlacementContext
) -> str:
    """Return another worker that the step harms nobody on, or no name."""
    for worker in eligible_workers(step, view):
        if worker.worker_id in excluded or not may_place(worker, step):
            continue
        if is_interference_acceptable(worker, step.spec, view):
            return worker.worker_id
    return ''
