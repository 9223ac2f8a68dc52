"""Slow or stalled workers are found by the progress of their runs."""

import pytest

from gentianpulley.cluster.worker_protocol import (
    EndCause,
    RunningRow,
    StopOrder,
)
from gentianpulley.cluster.scheduler_state import Order
from gentianpulley.resources import Resources
from tests.scheduling.harness import SchedulerHarness, create_harness, job, step

POLL_INTERVAL_MS = 500


def _report_progress(
    harness: SchedulerHarness,
    progress: tuple[int, ...],
    measurement: int = 8000,
) -> list[Order]:
    """Start a task of 2 s and list its progress twice per second."""
    (order,) = harness.start_all()
    orders: list[Order] = []
    for percent in progress:
        harness.at_ms += POLL_INTERVAL_MS
        row = RunningRow(order.key, '', percent, measurement)
        orders.extend(harness.report_listing('w1', (row,)))
    return orders


@pytest.mark.parametrize(
    ('progress', 'is_stopped'),
    [
        # As estimated, a third slower, and twice as slow.
        ((25, 50, 75, 99), False),
        ((17, 33, 50, 67), False),
        ((12, 25, 37, 50), False),
        # Seven times as slow: a restart is worth it.
        ((4, 8, 11, 14), True),
        # Stalled from the start, and after a while.
        ((0, 0, 0, 0), True),
        ((25, 50, 50, 50, 50, 50), True),
        # Slow, but nearly done.
        ((60, 60, 60, 92, 92, 93), False),
    ],
)
def test_a_run_that_ends_sooner_elsewhere_is_stopped(
    progress: tuple[int, ...], *, is_stopped: bool
) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _report_progress(harness, progress)
    assert any(isinstance(each, StopOrder) for each in orders) is is_stopped


@pytest.mark.parametrize(
    ('gauge', 'progress', 'is_stopped'),
    [
        # Gets a quarter of its processors: other tasks slow it down.
        (2000, (6, 12, 18, 25), False),
        # Gets all of them, so the worker is slow; other workers are full.
        (8000, (4, 8, 11, 14), False),
        (8000, (0, 0, 0, 0, 0), True),
        # Gets no processors, or is suspended.
        (0, (0, 0, 0, 0), False),
    ],
)
def test_filling_tasks_are_stopped_only_where_they_stand_still(
    gauge: int, progress: tuple[int, ...], *, is_stopped: bool
) -> None:
    harness = create_harness('w1')
    spec = step(estimated_ms=2000, fills_spare=True, image='fill')
    harness.scheduler.add_job(job(spec))
    orders = _report_progress(harness, progress, gauge)
    assert any(isinstance(each, StopOrder) for each in orders) is is_stopped


@pytest.mark.parametrize('changes', [{'is_endless': True}, {'is_gang': True}])
def test_other_runs_prove_nothing(changes: dict[str, object]) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(1, estimated_ms=2000, **changes)))
    assert not _report_progress(harness, (0, 0, 0, 0, 0))


def test_a_task_that_takes_longer_than_estimated_is_stopped_once() -> None:
    """Some jobs take many times their estimate on every worker."""
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _report_progress(harness, (0, 4, 8, 10))
    (stop,) = [each for each in orders if isinstance(each, StopOrder)]
    harness.end('w1', stop.key, EndCause.STOPPED)
    assert not _report_progress(harness, (0, 4, 8, 10, 14, 18))


def test_one_slow_run_among_others_is_its_own_doing() -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(3, estimated_ms=2000)))
    orders = harness.start_all()
    for percent in (25, 50, 75):
        harness.at_ms += POLL_INTERVAL_MS
        rows = tuple(
            RunningRow(order.key, '', 4 if number == 0 else percent, 8000)
            for number, order in enumerate(orders)
        )
        assert not harness.report_listing('w1', rows)
    assert harness.scheduler.workers['w1'].suspect_until_ms == 0


def test_a_slow_worker_gets_new_work_last_and_is_tried_again() -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step(estimated_ms=2000)))
    orders = _report_progress(harness, (0, 0, 0, 0))
    (stop,) = [each for each in orders if isinstance(each, StopOrder)]
    harness.end('w1', stop.key, EndCause.STOPPED)
    harness.add_worker('w2')
    half = Resources(20_000, 1000)
    harness.scheduler.add_job(
        job(step(2, resources=half), job_id='b' * 16, priority=0)
    )
    assert {order.worker_id for order in harness.start_all()} == {'w2'}
    harness.at_ms += 3000
    harness.scheduler.add_job(
        job(step(resources=half), job_id='c' * 16, priority=0)
    )
    (order,) = harness.plan()
    assert order.worker_id == 'w1'
