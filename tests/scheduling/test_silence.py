"""What is no proof that the work of a worker is over.

The worker is slow to report or silent for less than its lease, and something
changes meanwhile that might be taken for the end of its work.
"""

from collections.abc import Callable
from typing import Final

import pytest

from gentianpulley.cluster.worker_protocol import StartVerdict
from gentianpulley.jobs.job import TaskPhase
from gentianpulley.jobs.spec import TaskId
from tests.scheduling.harness import (
    JOB_ID,
    TIMING,
    SchedulerHarness,
    create_harness,
    job,
    registration,
    step,
)

TASK: Final = TaskId(JOB_ID, 0, 0, 0)
STEP_MS: Final = 500
REVISION: Final = 20


def _is_silent(harness: SchedulerHarness) -> None:
    """Let every poll fail."""
    worker = harness.scheduler.workers['w1']
    harness.scheduler.mark_unresponsive(worker, harness.at_ms)


def _is_suspended(harness: SchedulerHarness) -> None:
    _is_silent(harness)
    harness.scheduler.suspend_unresponsive(harness.at_ms)


def _leaves_the_directory(harness: SchedulerHarness) -> None:
    harness.scheduler.mark_deregistered('w1', harness.at_ms)


def _registers_again(harness: SchedulerHarness) -> None:
    renewed = registration('w1', revision=REVISION)
    assert not harness.scheduler.update_worker(renewed, harness.at_ms)


def _drains(harness: SchedulerHarness) -> None:
    leaving = registration('w1', is_draining=True, drain_remaining_ms=60_000)
    assert not harness.scheduler.update_worker(leaving, harness.at_ms)


def _is_quarantined(harness: SchedulerHarness) -> None:
    """Let it refuse a start of another job as unhealthy."""
    if 'b' * 16 in harness.scheduler.jobs:
        return
    harness.scheduler.add_job(job(step(), job_id='b' * 16))
    (order,) = harness.plan()
    assert order.worker_id == 'w1'
    harness.answer(order, StartVerdict.UNHEALTHY)


Change = Callable[[SchedulerHarness], None]


def _case(change: Change, *guards: str) -> object:
    marks = [pytest.mark.proof(guard) for guard in guards]
    return pytest.param(change, id=change.__name__.strip('_'), marks=marks)


@pytest.mark.parametrize(
    'change',
    [
        _case(_is_silent, 'silence-is-no-end'),
        _case(_is_suspended, 'silence-is-no-end'),
        _case(_leaves_the_directory, 'removal-is-no-end'),
        _case(_registers_again, 'renewal-is-no-end'),
        _case(_drains, 'renewal-is-no-end'),
        _case(_is_quarantined, 'quarantine-is-no-end'),
    ],
)
def test_a_worker_that_reports_late_keeps_its_work(change: Change) -> None:
    harness = create_harness('w1')
    harness.scheduler.add_job(job(step()))
    (order,) = harness.start_all()
    harness.report_listing('w1')
    silent_from_ms = harness.at_ms
    while harness.at_ms < silent_from_ms + TIMING.lease_ms:
        change(harness)
        harness.scheduler.expire_leases(harness.at_ms)
        if 'w2' not in harness.scheduler.workers:
            harness.add_worker('w2')
        started = [each.key.task_id for each in harness.plan()]
        assert TASK not in started
        assert harness.task(TASK).phase is TaskPhase.PLACED
        harness.at_ms += STEP_MS
    harness.end('w1', order.key)
    assert harness.task(TASK).phase is TaskPhase.DONE
