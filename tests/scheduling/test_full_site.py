"""A full site plans cheaply, and passes over nothing that finds a place."""

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

MIDDLE = Resources(8000, 4000)


@pytest.mark.parametrize(
    ('spec', 'is_covered'),
    [
        (step(resources=MIDDLE), True),
        (step(resources=Resources(9000, 4000)), True),
        (step(resources=Resources(7000, 4000)), False),
        (step(resources=Resources(9000, 3000)), False),
        (step(resources=MIDDLE, image='other'), False),
        (step(resources=MIDDLE, required_label='kind'), False),
        (step(resources=MIDDLE, data_rack='r1'), False),
        (step(resources=MIDDLE, fills_spare=True), False),
    ],
)
def test_what_needs_as_much_finds_no_place_either(
    spec: StepSpec, *, is_covered: bool
) -> None:
    full = UnplaceableShapes()
    full.add(job(step(resources=MIDDLE)).steps[(0, 0)])
    assert full.is_unplaceable(job(spec).steps[(0, 0)]) is is_covered


def test_a_smaller_task_is_placed_beside_a_larger_one_that_waits() -> None:
    site = create_harness('w1')
    for number, milli in enumerate((60_000, 8000, 3000)):
        spec = step(resources=Resources(milli, 1000))
        site.scheduler.add_job(job(spec, job_id=f'{number:016x}'))
    placed = [order.key.task_id.job_id for order in site.plan()]
    assert placed == ['0' * 16, f'{2:016x}']


WHOLE = step(resources=Resources(64_000, 1000))
LATER = 'b' * 16
FOREVER_MS = 10**15


def _taken_site() -> SchedulerHarness:
    """Return a full worker."""
    site = create_harness('w1')
    site.scheduler.add_job(job(WHOLE))
    assert len(site.start_all()) == 1
    return site


def _waiting_site() -> SchedulerHarness:
    """Return a full worker, and a job that found no place in two plans."""
    site = _taken_site()
    site.scheduler.add_job(job(WHOLE, job_id=LATER))
    assert not site.plan()
    assert not site.plan()
    return site


def _placed(site: SchedulerHarness) -> list[tuple[str, str]]:
    return [
        (order.key.task_id.job_id, order.worker_id) for order in site.plan()
    ]


def test_what_waited_gets_the_place_of_a_run_that_ended() -> None:
    site = _waiting_site()
    (key,) = site.scheduler.workers['w1'].reservations
    assert key.task_id.job_id == JOB_ID
    site.end('w1', key)
    assert _placed(site) == [(LATER, 'w1')]


def test_what_waited_goes_to_a_worker_that_came() -> None:
    site = _waiting_site()
    site.add_worker('w2')
    assert _placed(site) == [(LATER, 'w2')]


def test_what_waited_goes_to_a_worker_that_registers_more_room() -> None:
    site = _waiting_site()
    larger = registration('w1', capacity=Resources(128_000, 256_000))
    site.scheduler.update_worker(larger, site.at_ms)
    assert _placed(site) == [(LATER, 'w1')]


def test_what_waited_goes_to_a_worker_that_accepts_runs_again() -> None:
    site = _taken_site()
    site.add_worker('w2')
    other = site.scheduler.workers['w2']
    assert not site.plan()
    other.quarantined_until_ms = FOREVER_MS
    site.scheduler.add_job(job(WHOLE, job_id=LATER))
    assert not site.plan()
    assert not site.plan()
    other.quarantined_until_ms = 0
    assert _placed(site) == [(LATER, 'w2')]


def test_what_waited_goes_where_filling_tasks_rest_no_longer() -> None:
    site = create_harness('w1')
    resting = site.scheduler.workers['w1']
    resting.best_effort_paused_until_ms = site.at_ms + 100
    site.scheduler.add_job(job(step(fills_spare=True), job_id=LATER))
    assert not site.plan()
    site.at_ms += 99
    assert not site.plan()
    site.at_ms += 1
    assert _placed(site) == [(LATER, 'w1')]


def test_workers_that_did_not_change_are_not_weighed_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each plan tried every kind of waiting step at every worker."""
    site = _waiting_site()
    weighed: list[str] = []
    monkeypatch.setattr(
        Worker, 'has_room', lambda worker, _: weighed.append(worker.worker_id)
    )
    monkeypatch.setattr(
        'gentianpulley.cluster.scheduler.RankedWorkers',
        lambda allowed, *_: weighed.extend(map(str, allowed)),
    )
    assert not site.plan()
    assert not weighed
