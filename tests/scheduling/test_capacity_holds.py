"""Workers held for overdue restarts, and what other work gets meanwhile."""

import pytest

from gentianpulley.cluster.capacity_holds import (
    HOLD_MARGIN_MS,
    MAX_HELD_SHARE,
)
from gentianpulley.cluster.worker_protocol import EndCause, StartOrder
from gentianpulley.jobs.job import RESTART_DEADLINE_MS
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    SchedulerHarness,
    create_harness,
    job,
    step,
)

BATCH_MS = 10_000
PLANS = 20
HALF = Resources(32_000, 1000)


def _harness_with_overdue_restarts(
    workers: int, restarts: int
) -> SchedulerHarness:
    """Return workers with two halves each, full of batch work.

    Restarts that need a whole worker are overdue.
    """
    harness = create_harness(*(f'w{number}' for number in range(workers)))
    whole = Resources(64_000, 1000)
    endless = step(restarts, is_endless=True, resources=whole)
    harness.scheduler.add_job(job(endless))
    for order in harness.start_all():
        harness.end(order.worker_id, order.key, EndCause.FAILED)
    batch = step(2 * workers, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(batch, job_id='b' * 16))
    assert len(harness.start_all()) == 2 * workers
    harness.at_ms += RESTART_DEADLINE_MS
    _plan_often(harness)
    return harness


def _plan_often(harness: SchedulerHarness) -> list[StartOrder]:
    """Plan several times: a plan searches for few workers."""
    return [order for _ in range(PLANS) for order in harness.start_all()]


def _held_ids(harness: SchedulerHarness) -> set[str]:
    """Return the workers that other work does not get, though half is free."""
    scheduler = harness.scheduler
    for worker in tuple(scheduler.workers.values()):
        key = next(iter(worker.reservations))
        harness.end(worker.worker_id, key)
    narrow = step(len(scheduler.workers), resources=HALF)
    scheduler.add_job(job(narrow, job_id='c' * 16))
    placed = {order.worker_id for order in _plan_often(harness)}
    return scheduler.workers.keys() - placed


@pytest.mark.parametrize(
    ('workers', 'restarts', 'held'),
    [(1, 1, 1), (5, 2, 1), (20, 1, 1), (20, 2, 2), (20, 8, 2)],
)
def test_few_workers_are_held_however_many_restarts_wait(
    workers: int, restarts: int, held: int
) -> None:
    harness = _harness_with_overdue_restarts(workers, restarts)
    assert len(_held_ids(harness)) == held
    assert held <= max(1, MAX_HELD_SHARE * workers)


def test_a_held_worker_goes_to_the_restart_and_is_released() -> None:
    harness = _harness_with_overdue_restarts(workers=2, restarts=1)
    for worker in tuple(harness.scheduler.workers.values()):
        for key in tuple(worker.reservations):
            harness.end(worker.worker_id, key)
    (restarted,) = harness.start_all()
    narrow = step(2, resources=HALF)
    harness.scheduler.add_job(job(narrow, job_id='c' * 16))
    others = {order.worker_id for order in harness.start_all()}
    assert others == harness.scheduler.workers.keys() - {restarted.worker_id}


def test_a_hold_expires_when_a_run_outlasts_its_estimate() -> None:
    """Otherwise one run that does not end would keep the restart waiting."""
    harness = _harness_with_overdue_restarts(workers=2, restarts=1)
    (held_id,) = _held_ids(harness)
    harness.at_ms += BATCH_MS + HOLD_MARGIN_MS
    _plan_often(harness)
    assert _held_ids(harness) != {held_id}


def test_no_worker_is_held_beside_runs_that_do_not_end() -> None:
    """The restart would not fit there, and batch work would wait for it."""
    harness = create_harness('w1')
    wide = step(1, is_endless=True, resources=Resources(40_000, 1000))
    harness.scheduler.add_job(job(wide))
    (started,) = harness.start_all()
    harness.add_worker('w2')
    half = step(1, is_endless=True, resources=HALF)
    harness.scheduler.add_job(job(half, job_id='b' * 16))
    assert [order.worker_id for order in harness.start_all()] == ['w2']
    harness.scheduler.workers['w1'].is_leaving = True
    harness.end('w1', started.key, EndCause.STOPPED)
    harness.plan()
    harness.at_ms += RESTART_DEADLINE_MS
    harness.plan()
    batch = step(1, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(batch, job_id='c' * 16))
    (placed,) = harness.start_all()
    assert placed.key.task_id.job_id == 'c' * 16


def test_restarts_that_fit_nowhere_do_not_keep_others_from_a_worker() -> None:
    """A plan searches for few workers, always for the earliest deadlines."""
    harness = create_harness()
    harness.add_worker('large', capacity=Resources(200_000, 256_000))
    for number in range(2):
        spec = step(1, is_endless=True, resources=Resources(100_000, 1000))
        harness.scheduler.add_job(job(spec, job_id=f'{number:016x}'))
    unplaceable = harness.start_all()
    assert len(unplaceable) == 2
    harness.scheduler.workers['large'].is_leaving = True
    harness.add_worker('small')
    harness.scheduler.add_job(job(step(1, is_endless=True, resources=HALF)))
    (placeable,) = harness.start_all()
    for order in (*unplaceable, placeable):
        harness.end(order.worker_id, order.key, EndCause.STOPPED)
    batch = step(2, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(batch, job_id='b' * 16))
    assert len(harness.start_all()) == 2
    harness.at_ms += RESTART_DEADLINE_MS
    held = []
    for _ in range(2):
        harness.plan()
        held.append(harness.scheduler.create_report(harness.at_ms).held_count)
    assert held == [0, 1]
