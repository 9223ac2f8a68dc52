"""Workers that are slow or stand still are found by the progress of runs."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunningRow,
    StopOrder,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

LOOK_MS = 500


def _watch(
    site: SchedulerHarness, progress: tuple[int, ...], gauge: int = 8000
) -> list[Order]:
    """Start a task of 2 s and list its progress, twice a second."""
    (order,) = site.start_all()
    orders: list[Order] = []
    for percent in progress:
        site.at_ms += LOOK_MS
        row = RunningRow(order.key, '', percent, gauge)
        orders.extend(site.report_listing('w1', (row,)))
    return orders


@pytest.mark.parametrize(
    ('progress', 'is_stopped'),
    [
        # As estimated, a third slower, and twice as slow.
        ((25, 50, 75, 99), False),
        ((17, 33, 50, 67), False),
        ((12, 25, 37, 50), False),
        # Seven times as slow: to start anew is worth it.
        ((4, 8, 11, 14), True),
        # Stands still from the beginning, and after a while.
        ((0, 0, 0, 0), True),
        ((25, 50, 50, 50, 50, 50), True),
        # Slow, but nearly done.
        ((60, 60, 60, 92, 92, 93), False),
    ],
)
def test_a_run_that_ends_sooner_elsewhere_is_stopped(
    progress: tuple[int, ...], *, is_stopped: bool
) -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _watch(site, progress)
    assert any(isinstance(each, StopOrder) for each in orders) is is_stopped


@pytest.mark.parametrize(
    ('gauge', 'progress', 'is_stopped'),
    [
        # Left a quarter of its processors: slow by the others' doing.
        (2000, (6, 12, 18, 25), False),
        # Left all of them, and slow by the worker's doing: others are full.
        (8000, (4, 8, 11, 14), False),
        (8000, (0, 0, 0, 0, 0), True),
        # Left nothing, or paced down to nothing.
        (0, (0, 0, 0, 0), False),
    ],
)
def test_filling_tasks_are_stopped_only_where_they_stand_still(
    gauge: int, progress: tuple[int, ...], *, is_stopped: bool
) -> None:
    site = create_harness('w1')
    spec = step(estimated_ms=2000, fills_spare=True, image='fill')
    site.scheduler.add_job(job(spec))
    orders = _watch(site, progress, gauge)
    assert any(isinstance(each, StopOrder) for each in orders) is is_stopped


@pytest.mark.parametrize('changes', [{'is_endless': True}, {'is_gang': True}])
def test_other_runs_prove_nothing(changes: dict[str, object]) -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(1, estimated_ms=2000, **changes)))
    assert not _watch(site, (0, 0, 0, 0, 0))


def test_a_task_that_takes_longer_than_estimated_is_stopped_once() -> None:
    """Some callers' jobs take many times as long as they say, everywhere."""
    site = create_harness('w1')
    site.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _watch(site, (0, 4, 8, 10))
    (stop,) = [each for each in orders if isinstance(each, StopOrder)]
    site.end('w1', stop.key, EndCause.STOPPED)
    assert not _watch(site, (0, 4, 8, 10, 14, 18))


def test_one_slow_run_among_others_is_its_own_doing() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(3, estimated_ms=2000)))
    orders = site.start_all()
    for percent in (25, 50, 75):
        site.at_ms += LOOK_MS
        rows = tuple(
            RunningRow(order.key, '', 4 if number == 0 else percent, 8000)
            for number, order in enumerate(orders)
        )
        assert not site.report_listing('w1', rows)
    assert site.scheduler.workers['w1'].suspect_until_ms == 0


def test_a_slow_worker_gets_new_work_last_and_is_tried_again() -> None:
    site = create_harness('w1')
    site.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _watch(site, (0, 0, 0, 0))
    (stop,) = [each for each in orders if isinstance(each, StopOrder)]
    site.end('w1', stop.key, EndCause.STOPPED)
    site.add_worker('w2')
    half = Resources(20_000, 1000)
    site.scheduler.add_job(
        job(step(2, resources=half), job_id='b' * 16, priority=0)
    )
    assert {order.worker_id for order in site.start_all()} == {'w2'}
    site.at_ms += 3000
    site.scheduler.add_job(
        job(step(resources=half), job_id='c' * 16, priority=0)
    )
    (order,) = site.plan()
    assert order.worker_id == 'w1'
