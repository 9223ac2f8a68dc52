"""Planning a full cluster is cheap and skips no task that fits a worker."""

import pytest

from gentianpulley.cluster.unplaceable_shapes import UnplaceableShapes
from gentianpulley.cluster.worker import Worker
from gentianpulley.jobs.spec import StepSpec
from gentianpulley.resources import Resources
from tests.scheduling.harness import (
    JOB_ID,
    SchedulerHarness,
    registration,
    create_harness,
    job,
    step,
)

MEDIUM = Resources(8000, 4000)


@pytest.mark.parametrize(
    ('spec', 'is_covered'),
    [
        (step(resources=MEDIUM), True),
        (step(resources=Resources(9000, 4000)), True),
        (step(resources=Resources(7000, 4000)), False),
        (step(resources=Resources(9000, 3000)), False),
        (step(resources=MEDIUM, image='other'), False),
        (step(resources=MEDIUM, required_label='kind'), False),
        (step(resources=MEDIUM, data_rack='r1'), False),
        (step(resources=MEDIUM, fills_spare=True), False),
    ],
)
def test_what_needs_as_much_finds_no_place_either(
    spec: StepSpec, *, is_covered: bool
) -> None:
    unplaceable = UnplaceableShapes()
    unplaceable.add(job(step(resources=MEDIUM)).steps[(0, 0)])
    assert unplaceable.is_unplaceable(job(spec).steps[(0, 0)]) is is_covered


def test_a_smaller_task_is_placed_beside_a_larger_one_that_waits() -> None:
    """The larger one is first in order, as its job is done with its end."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(resources=Resources(60_000, 1000))))
    assert len(harness.plan()) == 1
    larger = step(resources=Resources(8000, 1000))
    smaller = step(resources=Resources(3000, 1000))
    later = step(4, resources=Resources(64_000, 1000), after=(0,))
    harness.scheduler.add_job(job(larger, job_id='1' * 16))
    harness.scheduler.add_job(job(smaller, later, job_id='2' * 16))
    placed = [order.key.task_id.job_id for order in harness.plan()]
    assert placed == ['2' * 16]


WORKER_SIZED = step(resources=Resources(64_000, 1000))
LATER_ID = 'b' * 16
FOREVER_MS = 10**15


def _create_full_harness() -> SchedulerHarness:
    """Return a harness with a full worker."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(WORKER_SIZED))
    assert len(harness.start_all()) == 1
    return harness


def _harness_with_waiting_job() -> SchedulerHarness:
    """Return a full worker, and a job that did not fit in two plans."""
    harness = _create_full_harness()
    harness.scheduler.add_job(job(WORKER_SIZED, job_id=LATER_ID))
    assert not harness.plan()
    assert not harness.plan()
    return harness


def _plan_placements(harness: SchedulerHarness) -> list[tuple[str, str]]:
    return [
        (order.key.task_id.job_id, order.worker_id) for order in harness.plan()
    ]


def test_what_waited_gets_the_place_of_a_run_that_ended() -> None:
    harness = _harness_with_waiting_job()
    (key,) = harness.scheduler.workers['w1'].reservations
    assert key.task_id.job_id == JOB_ID
    harness.end('w1', key)
    assert _plan_placements(harness) == [(LATER_ID, 'w1')]


def test_what_waited_goes_to_a_worker_that_came() -> None:
    harness = _harness_with_waiting_job()
    harness.add_worker('w2')
    assert _plan_placements(harness) == [(LATER_ID, 'w2')]


def test_what_waited_goes_to_a_worker_that_registers_more_room() -> None:
    harness = _harness_with_waiting_job()
    larger = registration('w1', capacity=Resources(128_000, 256_000))
    harness.scheduler.update_worker(larger, harness.at_ms)
    assert _plan_placements(harness) == [(LATER_ID, 'w1')]


def test_what_waited_goes_to_a_worker_that_accepts_runs_again() -> None:
    harness = _create_full_harness()
    harness.add_worker('w2')
    other = harness.scheduler.workers['w2']
    assert not harness.plan()
    other.quarantined_until_ms = FOREVER_MS
    harness.scheduler.add_job(job(WORKER_SIZED, job_id=LATER_ID))
    assert not harness.plan()
    assert not harness.plan()
    other.quarantined_until_ms = 0
    assert _plan_placements(harness) == [(LATER_ID, 'w2')]


def test_what_waited_goes_where_filling_tasks_rest_no_longer() -> None:
    harness = create_harness('w1')
    paused = harness.scheduler.workers['w1']
    paused.best_effort_paused_until_ms = harness.at_ms + 100
    harness.scheduler.add_job(job(step(fills_spare=True), job_id=LATER_ID))
    assert not harness.plan()
    harness.at_ms += 99
    assert not harness.plan()
    harness.at_ms += 1
    assert _plan_placements(harness) == [(LATER_ID, 'w1')]


def test_workers_that_did_not_change_are_not_weighed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each plan used to try every kind of waiting step on every worker."""
    harness = _harness_with_waiting_job()
    evaluated: list[str] = []
    monkeypatch.setattr(
        Worker, 'has_room', lambda worker, _: evaluated.append(worker.worker_id)
    )
    monkeypatch.setattr(
        'gentianpulley.cluster.scheduler.RankedWorkers',
        lambda allowed, *_: evaluated.extend(map(str, allowed)),
    )
    assert not harness.plan()
    assert not evaluated
