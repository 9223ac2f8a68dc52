"""Waits and starts that holds for overdue restarts must not cause."""

import pytest

from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.cluster.worker_protocol import (
    EndCause,
    StartOrder,
    StartVerdict,
    StopOrder,
)
from gentianpulley.jobs.job import RESTART_DEADLINE_MS, TaskPhase
from gentianpulley.jobs.spec import TaskId
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

TICK_MS = 100
BATCH_MS = 10_000
LOST_BOUND_MS = 9000
"""Deployments count a long-running task as lost that has free capacity and
does not run nine seconds after its last run."""

FAILURE_INTERVAL_MS = RESTART_DEADLINE_MS - 2 * TICK_MS
LABEL = 'kind'
PLANS = 5
WORKERS = 20
WHOLE = Resources(64_000, 1000)
HALF = Resources(32_000, 1000)
NARROW = Resources(8000, 1000)
BATCH_ID = 'b' * 16
NARROW_ID = 'c' * 16


def _plan_often(harness: SchedulerHarness) -> list[StartOrder]:
    """Plan several times: a plan searches for few workers."""
    return [order for _ in range(PLANS) for order in harness.start_all()]


def _end_all(harness: SchedulerHarness, worker_id: str) -> None:
    for key in tuple(harness.scheduler.workers[worker_id].reservations):
        harness.end(worker_id, key)


def _harness_with_holds(workers: int, restarts: int) -> SchedulerHarness:
    """Return workers full of batch work, with overdue restarts of one step.

    Each restart needs a whole worker. One half of each worker is free, but
    nothing was placed since.
    """
    harness = create_harness(*(f'w{number}' for number in range(workers)))
    endless = step(restarts, is_endless=True, resources=WHOLE)
    harness.scheduler.add_job(job(endless))
    for order in harness.start_all():
        harness.end(order.worker_id, order.key, EndCause.FAILED)
    batch = step(2 * workers, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(batch, job_id=BATCH_ID))
    assert len(harness.start_all()) == 2 * workers
    harness.at_ms += RESTART_DEADLINE_MS
    _plan_often(harness)
    for worker_id, worker in tuple(harness.scheduler.workers.items()):
        harness.end(worker_id, next(iter(worker.reservations)))
    return harness


def _fill(harness: SchedulerHarness) -> set[str]:
    """Submit tasks for each free half; return the workers without any."""
    scheduler = harness.scheduler
    halves = step(len(scheduler.workers), resources=HALF, estimated_ms=BATCH_MS)
    scheduler.add_job(job(halves, job_id=NARROW_ID))
    placed = {order.worker_id for order in _plan_often(harness)}
    return scheduler.workers.keys() - placed


@pytest.mark.parametrize('first', [0, 1])
def test_a_hold_that_was_used_is_the_one_that_ends(first: int) -> None:
    """The other worker is about to become free for the other restart."""
    harness = _harness_with_holds(WORKERS, restarts=2)
    held = sorted(_fill(harness))
    assert len(held) == 2
    freed, other = held[first], held[1 - first]
    _end_all(harness, freed)
    assert [order.worker_id for order in _plan_often(harness)] == [freed]
    narrow = step(1, resources=NARROW)
    harness.scheduler.add_job(job(narrow, job_id='d' * 16))
    assert other not in {order.worker_id for order in _plan_often(harness)}


def test_a_hold_ends_when_its_worker_drains() -> None:
    """The restart would wait there for as long as the runs are expected."""
    harness = _harness_with_holds(WORKERS, restarts=1)
    (held_id,) = _fill(harness)
    harness.scheduler.update_worker(
        registration(held_id, is_draining=True), harness.at_ms
    )
    _plan_often(harness)
    open_ids = harness.scheduler.workers.keys() - {held_id}
    for worker_id in open_ids:
        key = next(iter(harness.scheduler.workers[worker_id].reservations))
        harness.end(worker_id, key)
    halves = step(len(open_ids), resources=HALF)
    harness.scheduler.add_job(job(halves, job_id='d' * 16))
    placed = {order.worker_id for order in _plan_often(harness)}
    assert len(open_ids - placed) == 1


def test_a_hold_ends_when_the_domain_of_its_worker_closes() -> None:
    """An evacuated domain gets nothing, the restart included."""
    harness = create_harness()
    harness.add_worker('w1', failure_domain='a')
    harness.add_worker('w2', failure_domain='b')
    endless = step(1, is_endless=True, resources=WHOLE)
    harness.scheduler.add_job(job(endless))
    (started,) = harness.start_all()
    harness.end(started.worker_id, started.key, EndCause.FAILED)
    batch = step(4, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(batch, job_id=BATCH_ID))
    harness.start_all()
    harness.at_ms += RESTART_DEADLINE_MS
    harness.plan()
    for worker_id, worker in tuple(harness.scheduler.workers.items()):
        harness.end(worker_id, next(iter(worker.reservations)))
    (held_id,) = _fill(harness)
    held = harness.scheduler.workers[held_id]
    (open_id,) = harness.scheduler.workers.keys() - {held_id}
    harness.scheduler.closed_domains = frozenset(
        (held.registration.failure_domain,)
    )
    harness.plan()
    opened = harness.scheduler.workers[open_id]
    harness.end(open_id, next(iter(opened.reservations)))
    narrow = step(1, resources=NARROW)
    harness.scheduler.add_job(job(narrow, job_id='d' * 16))
    assert not _plan_often(harness)


def test_a_hold_does_not_keep_a_smaller_overdue_restart_waiting() -> None:
    """It has room in plain sight on the worker that is held."""
    harness = create_harness('w1')
    wide = step(1, is_endless=True, resources=WHOLE)
    harness.scheduler.add_job(job(wide))
    (started,) = harness.start_all()
    harness.add_worker('w2')
    narrow = step(1, is_endless=True, resources=NARROW)
    harness.scheduler.add_job(job(narrow, job_id=NARROW_ID))
    (smaller,) = harness.start_all()
    harness.scheduler.workers['w2'].is_leaving = True
    harness.end('w1', started.key, EndCause.FAILED)
    halves = step(2, resources=HALF, estimated_ms=BATCH_MS)
    harness.scheduler.add_job(job(halves, job_id=BATCH_ID))
    batch = harness.start_all()
    harness.end('w2', smaller.key, EndCause.FAILED)
    _run_for(harness, RESTART_DEADLINE_MS)
    harness.end('w1', batch[0].key)
    _run_for(harness, LOST_BOUND_MS)
    task = harness.task(smaller.key.task_id)
    assert task.phase is TaskPhase.PLACED


def test_restarts_bound_to_a_label_do_not_delay_new_tasks_elsewhere() -> None:
    """The tasks never compete for a worker: only their service is the same."""
    harness, runs = _harness_with_failing_runs()
    harness.end('failing', runs[0].key, EndCause.FAILED)
    endless = step(1, is_endless=True)
    harness.scheduler.add_job(job(endless, job_id=NARROW_ID))
    _fail_in_turn(harness, runs[1:])
    task = harness.task(TaskId(NARROW_ID, 0, 0, 0))
    assert task.phase is TaskPhase.PLACED


@pytest.mark.parametrize('is_endless', [False, True])
def test_a_job_with_no_worker_but_a_quarantined_one_starts(
    *, is_endless: bool
) -> None:
    """Each failure of a task that runs there prolongs the quarantine."""
    harness, runs = _harness_with_failing_runs()
    harness.end('failing', runs[0].key, EndCause.FAILED)
    harness.end('failing', runs[1].key, EndCause.FAILED)
    spec = step(1, is_endless=is_endless, required_label=LABEL)
    harness.scheduler.add_job(job(spec, job_id=NARROW_ID))
    _fail_in_turn(harness, runs[2:])
    task = harness.task(TaskId(NARROW_ID, 0, 0, 0))
    assert task.phase is TaskPhase.PLACED


def test_a_start_that_is_never_answered_is_given_up() -> None:
    """The worker answers polls and lists no run; another one has room."""
    harness = create_harness('w1', 'w2')
    harness.scheduler.add_job(job(step(1, is_endless=True)))
    (order,) = harness.plan()
    following: list[Order] = [order]
    for _ in range(LOST_BOUND_MS // TICK_MS):
        harness.at_ms += TICK_MS
        if harness.scheduler.claim_start_send(order, harness.at_ms):
            following.extend(harness.answer(order, StartVerdict.LOST))
        following.extend(harness.report_listing(order.worker_id))
    assert StopOrder(order.worker_id, order.key) in following


def _run_for(harness: SchedulerHarness, duration_ms: int) -> None:
    for _ in range(duration_ms // TICK_MS):
        harness.at_ms += TICK_MS
        harness.start_all()


def _harness_with_failing_runs() -> tuple[SchedulerHarness, list[StartOrder]]:
    """Return a half-used worker of a label, the tasks there, and idle ones."""
    harness = create_harness()
    harness.add_worker(
        'failing',
        labels=frozenset((LABEL,)),
        capacity=Resources(128_000, 256_000),
    )
    endless = step(8, is_endless=True, required_label=LABEL)
    harness.scheduler.add_job(job(endless))
    runs = harness.start_all()
    assert len(runs) == 8
    for worker_id in ('idle1', 'idle2'):
        harness.add_worker(worker_id, labels=frozenset())
    return harness, runs


def _fail_in_turn(harness: SchedulerHarness, runs: list[StartOrder]) -> None:
    """Fail one run after the other, each before the last one is overdue."""
    for run in runs:
        harness.end('failing', run.key, EndCause.FAILED)
        _run_for(harness, FAILURE_INTERVAL_MS)
